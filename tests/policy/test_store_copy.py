"""Choice of the relay from which a VM receives the store's changes."""

from __future__ import annotations

from azureramp import catalog
from azureramp.policy import store_copy
from azureramp.ports.store import api as store_api


def make_member(
    vm: str, zone: str = "a", cores: float = 1.0, keeper: str = ""
) -> catalog.Member:
    return catalog.Member(
        vm, zone, f"{vm}:80", f"{vm}:81", cores, leaving=False, keeper=keeper
    )


def test_the_vms_of_a_zone_choose_the_one_with_the_most_cores() -> None:
    members = [
        make_member("vm-1"),
        make_member("vm-2", cores=2.0),
        make_member("vm-3", zone="b", cores=4.0),
    ]
    for vm in ("vm-1", "vm-9"):
        chosen = store_copy.choose_relay(vm, "a", members, ["seed:81"], ())
        assert chosen == "vm-2:81"
    assert (
        store_copy.choose_relay("vm-2", "a", members, ["seed:81"], ()) is None
    )


def test_a_vm_that_already_announces_others_is_preferred() -> None:
    """Guards against a zone that changes its relay when a VM recovers."""
    members = [
        make_member("vm-1"),
        make_member("vm-2"),
        make_member("vm-3", keeper="vm-2"),
    ]
    assert store_copy.choose_relay("vm-1", "a", members, [], ()) == "vm-2:81"
    assert store_copy.choose_relay("vm-2", "a", members, [], ()) is None


def test_a_vm_that_did_not_answer_is_skipped() -> None:
    members = [make_member("vm-1"), make_member("vm-2"), make_member("vm-3")]
    chosen = store_copy.choose_relay("vm-3", "a", members, [], {"vm-1:81"})
    assert chosen == "vm-2:81"
    avoided = {"vm-1:81", "vm-2:81"}
    assert store_copy.choose_relay("vm-3", "a", members, [], avoided) is None


def test_seeds_are_used_while_no_vm_of_the_zone_is_known() -> None:
    members = [make_member("vm-1", zone="b")]
    seeds = ["s-1:81", "s-2:81"]
    assert store_copy.choose_relay("vm-9", "a", members, seeds, ()) == "s-1:81"
    chosen = store_copy.choose_relay("vm-9", "a", members, seeds, {"s-1:81"})
    assert chosen == "s-2:81"
    assert store_copy.choose_relay("vm-9", "a", members, [], ()) is None


def test_a_copy_gives_no_changes_from_before_its_entries_were_read() -> None:
    """Guards against a response that lacks deletions before a relay's start."""
    copy = store_copy.StoreCopy()
    copy.begin_history(20)
    copy.apply(store_api.Entry("a", b"1", 12))
    copy.revision = 20
    assert copy.list_changes(19) is None
    assert copy.list_changes(20) == ()
    copy.apply(store_api.Entry("a", None, 21))
    copy.revision = 21
    assert copy.list_changes(19) is None
    assert copy.list_changes(20) == (store_api.Entry("a", None, 21),)
    assert copy.list_changes(0) == ()


def test_first_changes_end_at_a_size_but_not_within_a_revision() -> None:
    """Guards against a batch of which a VM receives only some entries."""
    changes = [
        store_api.Entry(key, b"x" * 10, revision)
        for key, revision in (("a", 1), ("b", 2), ("c", 2), ("d", 3))
    ]
    assert store_copy.take_first_changes(changes, 5) == (changes[0],)
    assert store_copy.take_first_changes(changes, 25) == tuple(changes[:3])
    assert store_copy.take_first_changes(changes[1:], 5) == tuple(changes[1:3])
    assert store_copy.take_first_changes(changes, 30) == tuple(changes[:3])
    assert store_copy.take_first_changes(changes, 40) == tuple(changes)
    assert store_copy.take_first_changes((), 40) == ()
