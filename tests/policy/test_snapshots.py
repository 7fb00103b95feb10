"""Choice of the index version that a query is pinned to."""

from __future__ import annotations

import pytest

from azureramp import errors, resources
from azureramp.policy import snapshots
from tests.policy import query_parts

OLD = query_parts.make_map([10, 10], version=1)
NEW = query_parts.make_map([10, 10], version=2)
ALL = ("s0-0", "s0-1", "s1-0", "s1-1")


@pytest.mark.parametrize(
    ("case", "serves_new", "rolled_out", "pinned"),
    [
        ("all replicas have it", ALL, 0, 2),
        ("one replica a shard has it so far", ("s0-0", "s1-0"), 0, 1),
        ("a replica was lost after the rollout", ("s0-0", "s1-0"), 2, 2),
        ("a shard has no replica of it", ("s0-0", "s0-1"), 2, 1),
        ("no replica has it", (), 0, 1),
    ],
)
def test_the_newest_version_that_enough_replicas_serve_is_pinned(
    case: str, serves_new: tuple[str, ...], rolled_out: int, pinned: int
) -> None:
    states = {
        name: query_parts.make_state(
            name, (1, 2) if name in serves_new else (1,)
        )
        for name in ALL
    }

    chosen = snapshots.choose_version(
        (NEW, OLD),
        query_parts.make_sites(OLD),
        states,
        lambda name: True,
        rolled_out=rolled_out,
    )

    assert chosen.ok.shard_map.version == pinned, case


@pytest.mark.parametrize(
    "lost", ["out of service", "not usable", "no owner", "unknown"]
)
def test_without_a_complete_version_the_largest_coverage_is_chosen(
    lost: str,
) -> None:
    gone = ("s0-0", "s0-1")
    states = query_parts.make_states(OLD)
    for name in gone:
        if lost == "not usable":
            states[name] = query_parts.make_state(name, usable=False)
        elif lost == "unknown":
            del states[name]
    sites = query_parts.make_sites(
        OLD, gone if lost == "out of service" else ()
    )

    chosen = snapshots.choose_version(
        (OLD,),
        sites,
        states,
        lambda name: lost != "no owner" or name not in gone,
    )

    assert chosen.ok.replicas == {"0": (), "1": ("s1-0", "s1-1")}
    assert snapshots.compute_coverage(chosen.ok) == 0.5


def test_without_any_replica_there_is_no_snapshot() -> None:
    chosen = snapshots.choose_version(
        (NEW, OLD), query_parts.make_sites(OLD), {}, lambda name: True
    )

    assert chosen.error.kind is errors.Kind.NO_SNAPSHOT


def test_one_replica_is_enough_for_a_shard_declared_with_one() -> None:
    single = query_parts.make_map([10], version=2, replicas=1)

    chosen = snapshots.choose_version(
        (single, query_parts.make_map([10], version=1, replicas=1)),
        query_parts.make_sites(single),
        query_parts.make_states(single, (1, 2)),
        lambda name: True,
    )

    assert chosen.ok.shard_map.version == 2
    assert isinstance(chosen.ok.shard_map, resources.ShardMap)
