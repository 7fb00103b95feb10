"""Builders of shard maps, searcher states and sub-requests for policy tests."""

from __future__ import annotations

from collections.abc import Sequence

from azureramp import messages, resources
from azureramp.policy import assembly, topology


def make_map(
    sizes: Sequence[int], version: int = 1, replicas: int = 2
) -> resources.ShardMap:
    """Creates a shard map with ranges of 100 keys."""
    return resources.ShardMap(
        name=f"cover.{version}",
        index="cover",
        version=version,
        shards=tuple(
            resources.Shard(
                name=f"{number}",
                low=number * 100,
                high=number * 100 + 100,
                size=size,
                searchers=tuple(f"s{number}-{n}" for n in range(replicas)),
            )
            for number, size in enumerate(sizes)
        ),
    )


def make_sites(
    shard_map: resources.ShardMap, out: Sequence[str] = ()
) -> dict[str, topology.Site]:
    """Creates a site for each searcher, each on a different server."""
    return {
        name: topology.Site(
            resources.Searcher(name=name, address="10.0.0.1:1"),
            f"server-{name}",
            "zone",
            name not in out,
        )
        for shard in shard_map.shards
        for name in shard.searchers
    }


def make_state(
    name: str,
    versions: Sequence[int] = (1,),
    usable: bool = True,
    queued: int = 0,
    limit: int = 2,
) -> messages.SearcherState:
    """Creates the state that an owner reports of a searcher."""
    return messages.SearcherState(
        name,
        1,
        usable,
        limit,
        queued,
        10.0,
        tuple(f"cover.{version}" for version in versions),
    )


def make_states(
    shard_map: resources.ShardMap, versions: Sequence[int] = (1,)
) -> dict[str, messages.SearcherState]:
    """Creates a usable state for each searcher."""
    return {
        name: make_state(name, versions)
        for shard in shard_map.shards
        for name in shard.searchers
    }


def make_attempt(part: int, shard: resources.Shard) -> assembly.Attempt:
    """Creates an attempt at a shard's first searcher."""
    name = shard.searchers[0]
    return assembly.Attempt(
        part, shard, name, f"server-{name}", "vm-0", 1, 0.0, "first"
    )


def make_done(
    part: int,
    shard: resources.Shard,
    version: int = 1,
    items: bytes | None = None,
    high: int | None = None,
) -> messages.PartDone:
    """Creates a result whose only item is by default the shard's range."""
    return messages.PartDone(
        part,
        version,
        shard.low,
        shard.high if high is None else high,
        b"[[%d,%d]]" % (shard.low, shard.high) if items is None else items,
        10.0,
    )
