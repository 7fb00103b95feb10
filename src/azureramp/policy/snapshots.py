"""The choice of the one index version that an answer comes from."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Mapping

import expression

from azureramp import errors, messages, resources
from azureramp.policy import topology

ENOUGH_REPLICAS = 2
"""Usable replicas of every shard (or all that are declared, if fewer) that a
version must have before the first query is moved to it: a version that is
still being rolled out has one replica a shard, which would get all the load.
"""


Replicas = Mapping[str, tuple[str, ...]]
"""The usable searchers of each shard, by the shard's name."""


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """A pinned index version.

    Attributes:
        shard_map: The version's shard map, as it was at pinning.
        replicas: The usable searchers of each shard, by the shard's name.
    """

    shard_map: resources.ShardMap
    replicas: Replicas


def find_usable(
    shard: resources.Shard,
    version_name: str,
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
) -> tuple[str, ...]:
    """Finds the searchers that may get work of a shard now.

    Args:
        shard: The shard.
        version_name: The `index.version` that they must serve.
        sites: Every declared searcher.
        states: What the owners tell of their searchers.
        is_owned: Tells whether a searcher has an owner VM to send to.
    """
    usable = []
    for name in shard.searchers:
        site, state = sites.get(name), states.get(name)
        if site is None or state is None:
            continue
        if not site.in_service or not state.usable:
            continue
        if version_name in state.versions and is_owned(name):
            usable.append(name)
    return tuple(usable)


def choose(
    maps: Collection[resources.ShardMap],
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
    *,
    rolled_out: int = 0,
    after: int = 0,
) -> expression.Result[Snapshot, errors.Failure]:
    """Pins a version.

    In order: the newest version with enough replicas of every shard, or that
    had them once; the newest with a replica of every shard; the one that
    covers most. An answer that is short of a shard is still worth more than
    none, and it says so.

    Args:
        maps: The index's shard maps, the newest version first.
        sites: Every declared searcher.
        states: What the owners tell of their searchers.
        is_owned: Tells whether a searcher has an owner VM to send to.
        rolled_out: The newest version that has had enough replicas before; it
            needs but one from then on, so that the loss of a replica does not
            take answers back to an older version.
        after: Only versions newer than this one.

    Returns:
        The snapshot, or `NO_SNAPSHOT`.
    """
    candidates = [
        _make_snapshot(shard_map, sites, states, is_owned)
        for shard_map in maps
        if shard_map.version > after
    ]
    whole = [one for one in candidates if _is_served(one, 1)]
    for one in whole:
        version = one.shard_map.version
        if version <= rolled_out or _is_served(one, ENOUGH_REPLICAS):
            return expression.Ok(one)
    if whole:
        return expression.Ok(whole[0])
    best = max(candidates, key=measure_size, default=None)
    if best is None or not any(best.replicas.values()):
        return expression.Error(errors.Failure(errors.Kind.NO_SNAPSHOT))
    return expression.Ok(best)


def measure_size(snapshot: Snapshot) -> float:
    """Returns the share of the documents with a usable replica, 0 to 1."""
    shards = snapshot.shard_map.shards
    total = sum(shard.size for shard in shards)
    held = sum(s.size for s in shards if snapshot.replicas[s.name])
    return held / total if total else 0.0


def is_whole(snapshot: Snapshot) -> bool:
    """Tells whether every shard has a replica."""
    return _is_served(snapshot, 1)


def has_enough(snapshot: Snapshot) -> bool:
    """Tells whether every shard has enough replicas."""
    return _is_served(snapshot, ENOUGH_REPLICAS)


def _make_snapshot(
    shard_map: resources.ShardMap,
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
) -> Snapshot:
    """Finds the usable replicas of every shard of a version."""
    name = f"{shard_map.index}.{shard_map.version}"
    return Snapshot(
        shard_map,
        {
            shard.name: find_usable(shard, name, sites, states, is_owned)
            for shard in shard_map.shards
        },
    )


def _is_served(snapshot: Snapshot, wanted: int) -> bool:
    """Tells whether every shard has that many replicas, or all it can."""
    return all(
        len(snapshot.replicas[shard.name])
        >= max(1, min(wanted, len(shard.searchers)))
        for shard in snapshot.shard_map.shards
    )
