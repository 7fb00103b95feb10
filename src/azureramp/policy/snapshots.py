"""Choice of the index version that a query is pinned to."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Mapping

import expression

from azureramp import errors, messages, resources
from azureramp.policy import topology

MIN_REPLICAS = 2
"""Number of usable replicas that a version needs for every shard (or all
declared ones, if fewer) before the first query is pinned to it. A version that
is still being rolled out has one replica per shard, which would get the
whole load."""


UsableReplicas = Mapping[str, tuple[str, ...]]
"""The usable searchers of each shard, by the shard's name."""


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """A pinned index version.

    Attributes:
        shard_map: The version's shard map at the time of pinning.
        replicas: The usable searchers of each shard, by the shard's name.
    """

    shard_map: resources.ShardMap
    replicas: UsableReplicas


def list_usable_searchers(
    shard: resources.Shard,
    version_name: str,
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
) -> tuple[str, ...]:
    """Returns the searchers that may get sub-requests to a shard now.

    Args:
        shard: The shard.
        version_name: The `index.version` that they must serve.
        sites: All declared searchers.
        states: The states that the owners report.
        is_owned: Returns True if a searcher has an owner VM to send to.
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


def choose_version(
    maps: Collection[resources.ShardMap],
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
    *,
    rolled_out: int = 0,
    after: int = 0,
) -> expression.Result[Snapshot, errors.Failure]:
    """Chooses the version that a query is pinned to.

    In order of preference: the newest version that has enough replicas of every
    shard, or once had them; the newest version with a replica of every shard;
    the version that covers the largest share of the documents. An answer
    without some shards is more useful than none, and it lists what is missing.

    Args:
        maps: The index's shard maps, the newest version first.
        sites: All declared searchers.
        states: The states that the owners report.
        is_owned: Returns True if a searcher has an owner VM to send to.
        rolled_out: The newest version that has ever had enough replicas. One
            replica per shard is sufficient for it, so that the loss of a
            replica does not revert answers to an older version.
        after: Only versions newer than this one are considered.

    Returns:
        The snapshot, or `NO_SNAPSHOT`.
    """
    candidates = [
        _make_snapshot(shard_map, sites, states, is_owned)
        for shard_map in maps
        if shard_map.version > after
    ]
    complete = [one for one in candidates if _has_replicas(one, 1)]
    for one in complete:
        version = one.shard_map.version
        if version <= rolled_out or _has_replicas(one, MIN_REPLICAS):
            return expression.Ok(one)
    if complete:
        return expression.Ok(complete[0])
    best = max(candidates, key=compute_coverage, default=None)
    if best is None or not any(best.replicas.values()):
        return expression.Error(errors.Failure(errors.Kind.NO_SNAPSHOT))
    return expression.Ok(best)


def compute_coverage(snapshot: Snapshot) -> float:
    """Returns the share of the documents with a usable replica, 0 to 1."""
    shards = snapshot.shard_map.shards
    total = sum(shard.size for shard in shards)
    covered = sum(s.size for s in shards if snapshot.replicas[s.name])
    return covered / total if total else 0.0


def is_complete(snapshot: Snapshot) -> bool:
    """Returns True if every shard has a usable replica."""
    return _has_replicas(snapshot, 1)


def has_enough_replicas(snapshot: Snapshot) -> bool:
    """Returns True if every shard has `MIN_REPLICAS` usable replicas."""
    return _has_replicas(snapshot, MIN_REPLICAS)


def _make_snapshot(
    shard_map: resources.ShardMap,
    sites: Mapping[str, topology.Site],
    states: Mapping[str, messages.SearcherState],
    is_owned: Callable[[str], bool],
) -> Snapshot:
    """Collects the usable replicas of every shard of a version."""
    name = f"{shard_map.index}.{shard_map.version}"
    return Snapshot(
        shard_map,
        {
            shard.name: list_usable_searchers(
                shard, name, sites, states, is_owned
            )
            for shard in shard_map.shards
        },
    )


def _has_replicas(snapshot: Snapshot, required: int) -> bool:
    """Returns True if every shard has the required replicas.

    A shard with fewer declared searchers needs all of them, but at least one.
    """
    return all(
        len(snapshot.replicas[shard.name])
        >= max(1, min(required, len(shard.searchers)))
        for shard in snapshot.shard_map.shards
    )
