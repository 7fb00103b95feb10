"""One VM's copy of the configuration, and the choice of its watchers."""

from __future__ import annotations

import pytest

from azureramp import resources
from azureramp.policy import configuration_copy, watcher_selection

KIND = "availability_zone"


def make_entry(
    name: str, revision: int, *, deleted: bool = False
) -> resources.Versioned:
    zone = None if deleted else resources.Zone(name=name)
    return resources.Versioned(zone, KIND, name, revision)


def make_copy(
    *entries: resources.Versioned,
) -> configuration_copy.ConfigurationCopy:
    copy = configuration_copy.ConfigurationCopy()
    present = {(entry.kind, entry.name) for entry in entries}
    revision = max(entry.revision for entry in entries)
    copy.apply_snapshot(entries, present, revision)
    return copy


def get_revisions(copy: configuration_copy.ConfigurationCopy) -> dict[str, int]:
    return {
        name: entry.revision
        for (_, name), entry in copy.configuration.entries.items()
        if entry.resource is not None
    }


def test_an_outdated_complete_configuration_is_ignored() -> None:
    copy = make_copy(make_entry("a", 5), make_entry("b", 9))

    assert copy.apply_snapshot([make_entry("a", 3)], {(KIND, "a")}, 7) == []
    assert get_revisions(copy) == {"a": 5, "b": 9}


def test_absent_entries_are_deleted_unless_they_are_newer() -> None:
    copy = make_copy(make_entry("a", 5), make_entry("b", 6))
    copy.apply_newer([make_entry("c", 12)])

    copy.apply_snapshot([make_entry("a", 5)], {(KIND, "a")}, 10)

    assert get_revisions(copy) == {"a": 5, "c": 12}
    assert copy.configuration.revision == 10


def test_a_late_message_does_not_restore_a_deleted_entry() -> None:
    copy = make_copy(make_entry("a", 5), make_entry("b", 6))
    copy.apply_changes([make_entry("a", 8, deleted=True)], 6, 8)
    del copy.configuration.entries[(KIND, "a")]

    assert copy.apply_changes([make_entry("a", 7)], 6, 7) == []
    assert get_revisions(copy) == {"b": 6}


def test_changes_after_a_gap_apply_without_a_new_revision() -> None:
    copy = make_copy(make_entry("a", 5))

    assert copy.apply_changes([make_entry("b", 9)], 8, 9)
    assert get_revisions(copy) == {"a": 5, "b": 9}
    assert copy.configuration.revision == 5
    copy.apply_changes([make_entry("c", 7), make_entry("b", 9)], 5, 9)
    assert copy.configuration.revision == 9
    assert get_revisions(copy) == {"a": 5, "b": 9, "c": 7}


@pytest.mark.parametrize(("after", "whole"), [(4, True), (5, False)])
def test_a_copy_that_may_lack_a_deletion_gets_the_whole(
    after: int, whole: bool
) -> None:
    copy = make_copy(make_entry("a", 5))
    copy.apply_changes([make_entry("a", 6, deleted=True)], 5, 6)

    part = copy.make_update(after)

    assert (part.after == 0) is whole
    assert len(part.entries) == (0 if whole else 1)


def test_the_number_of_deleted_entries_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_copy, "MAX_TOMBSTONES", 4)
    copy = make_copy(make_entry("a", 5))
    for number in range(10):
        revision = 6 + number
        deletion = make_entry(f"n{number}", revision, deleted=True)
        copy.apply_changes([deletion], revision - 1, revision)

    assert len(copy.configuration.entries) <= 5
    assert copy.make_update(7).after == 0
    assert copy.make_update(copy.floor).after == copy.floor


@pytest.mark.parametrize("size", [1, 2, 8, 68])
def test_the_first_ranks_always_watch_and_the_others_take_turns(
    size: int,
) -> None:
    names = [f"vm-{number}" for number in range(size)]
    ranks = [
        watcher_selection.compute_rank(name, [n for n in names if n != name])
        for name in names
    ]
    assert sorted(ranks) == list(range(size))

    def count_watchers(age_s: float) -> int:
        return sum(
            watcher_selection.should_watch(rank, size, 2, age_s, 5.0)
            for rank in ranks
        )

    assert count_watchers(0.0) == min(2, size)
    assert max(count_watchers(float(age_s)) for age_s in range(2000)) <= 4
    turns = {
        rank
        for age_s in range(2000)
        for rank in ranks
        if watcher_selection.should_watch(rank, size, 2, float(age_s), 5.0)
    }
    assert turns == set(ranks)
