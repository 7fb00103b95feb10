"""The roster entries that a VM writes for its followers."""

from __future__ import annotations

import dataclasses

from azureramp import catalog
from azureramp.policy import roster

KEEPER = "vm-0"
NOW_S = 100.0


def make_member(vm: str, keeper: str = KEEPER) -> catalog.Member:
    return catalog.Member(
        vm, "zone", f"{vm}:80", f"{vm}:81", 1.0, leaving=False, keeper=keeper
    )


def make_follower(vm: str, written: int | None = None) -> roster.Follower:
    return roster.Follower(make_member(vm), NOW_S + 1.0, written)


def test_a_new_follower_s_entry_replaces_any_existing_one() -> None:
    followers = {vm: make_follower(vm) for vm in ("vm-1", "vm-2")}
    present = {"vm-2": roster.StoredEntry(make_member("vm-2", keeper=""), 7)}
    assert roster.plan_updates(KEEPER, followers, present, 9) == [
        roster.EntryUpdate("vm-1", make_member("vm-1"), 0),
        roster.EntryUpdate("vm-2", make_member("vm-2"), 7),
    ]


def test_unchanged_entries_are_not_written() -> None:
    followers = {"vm-1": make_follower("vm-1", written=8)}
    present = {"vm-1": roster.StoredEntry(make_member("vm-1"), 8)}
    assert roster.plan_updates(KEEPER, followers, present, 9) == []


def test_a_write_is_not_repeated_while_the_copy_lags() -> None:
    followers = {"vm-1": make_follower("vm-1", written=8)}
    assert roster.plan_updates(KEEPER, followers, {}, 7) == []
    roster.drop_inactive_followers(followers, {}, 7, NOW_S)
    assert "vm-1" in followers


def test_a_changed_follower_s_entry_is_written() -> None:
    followers = {"vm-1": make_follower("vm-1", written=8)}
    present = {"vm-1": roster.StoredEntry(make_member("vm-1"), 8)}
    busy = dataclasses.replace(make_member("vm-1"), busy=True)
    followers["vm-1"].member = busy
    (update,) = roster.plan_updates(KEEPER, followers, present, 9)
    assert update == roster.EntryUpdate("vm-1", busy, 8)


def test_an_entry_without_a_follower_is_deleted() -> None:
    """Guards against a stopped VM's entry that stays until its keeper stops."""
    present = {
        "vm-1": roster.StoredEntry(make_member("vm-1"), 8),
        "vm-2": roster.StoredEntry(make_member("vm-2", keeper="vm-9"), 8),
    }
    (update,) = roster.plan_updates(KEEPER, {}, present, 9)
    assert update == roster.EntryUpdate("vm-1", None, 8)


def test_followers_that_stopped_or_have_another_keeper_are_dropped() -> None:
    """Guards against two VMs that alternately overwrite the same entry."""
    followers = {
        vm: make_follower(vm, written=8)
        for vm in ("kept", "silent", "removed", "taken")
    }
    followers["silent"].alive_until_s = NOW_S
    present = {
        "kept": roster.StoredEntry(make_member("kept"), 8),
        "silent": roster.StoredEntry(make_member("silent"), 8),
        "taken": roster.StoredEntry(make_member("taken", keeper="vm-9"), 9),
    }
    roster.drop_inactive_followers(followers, present, 10, NOW_S)
    assert list(followers) == ["kept"]


def test_the_vm_asked_last_keeps_the_entry() -> None:
    """Guards against an earlier relay that replaces it and then deletes it."""
    followers = {vm: make_follower(vm) for vm in ("later", "same", "earlier")}
    present = {}
    for number, vm in enumerate(("earlier", "same", "later"), 4):
        member = dataclasses.replace(followers[vm].member, announcement=5)
        followers[vm].member = member
        stored = dataclasses.replace(member, keeper="", announcement=number)
        present[vm] = roster.StoredEntry(stored, 9)
    roster.drop_inactive_followers(followers, present, 10, NOW_S)
    assert sorted(followers) == ["earlier", "same"]


def test_a_write_with_a_lost_answer_counts_once_the_copy_has_it() -> None:
    followers = {"vm-1": make_follower("vm-1")}
    followers["vm-1"].attempt_revision = 8
    older = {"vm-1": roster.StoredEntry(make_member("vm-1"), 8)}
    roster.drop_inactive_followers(followers, older, 9, NOW_S)
    assert len(roster.plan_updates(KEEPER, followers, older, 9)) == 1
    present = {"vm-1": roster.StoredEntry(make_member("vm-1"), 9)}
    roster.drop_inactive_followers(followers, present, 9, NOW_S)
    assert roster.plan_updates(KEEPER, followers, present, 9) == []
