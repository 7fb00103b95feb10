"""Proof of contact, acceptance and recovery."""

from __future__ import annotations

import dataclasses
import math

import pytest

from azureramp.policy import quorum_contact

FIVE = ("a", "b", "c", "d", "e")


def make_view(
    now_s: float,
    revision: int,
    *,
    own: str = "a",
    listed: tuple[str, ...] = FIVE,
    **acknowledged: tuple[float, int] | tuple[float, int, int],
) -> quorum_contact.ClusterView:
    """Creates a view from (sent_s, revision[, incarnation]) of each VM."""
    return quorum_contact.ClusterView(
        now_s,
        own,
        revision,
        listed,
        {
            vm: quorum_contact.Acknowledgement(
                fields[0],
                fields[1],
                fields[2] if len(fields) > 2 else 1,
            )
            for vm, fields in acknowledged.items()
        },
    )


@pytest.mark.parametrize(
    ("view", "contact_s"),
    [
        (make_view(9, 5, b=(3, 5), c=(4, 5)), 3),
        (make_view(9, 5, b=(3, 5), c=(4, 5), d=(6, 4)), 4),
        (make_view(9, 5, b=(3, 5)), -math.inf),
        (make_view(9, 5, b=(3, 5), c=(4, 6)), -math.inf),
        (make_view(9, 5, b=(3, 5), c=(4, 0)), -math.inf),
        (make_view(9, 0, b=(3, 5), c=(4, 5)), -math.inf),
        (make_view(9, 5, listed=("a",)), 9),
        (make_view(9, 5, listed=()), -math.inf),
        (make_view(9, 5, listed=("b", "c"), b=(3, 5), c=(4, 5)), -math.inf),
        (make_view(9, 5, listed=("a", "b")), -math.inf),
        (make_view(9, 5, listed=("a", "b"), b=(3, 5), c=(8, 5)), 3),
    ],
    ids=[
        "majority of five",
        "the latest times of a majority count",
        "a minority",
        "a VM with a higher revision does not count",
        "a VM that has just started does not count",
        "no contact without a configuration",
        "the only listed VM",
        "no list yet",
        "this VM is not listed",
        "one of two",
        "VMs that are not listed do not count",
    ],
)
def test_contact_is_the_latest_time_proven_by_a_majority(
    view: quorum_contact.ClusterView, contact_s: float
) -> None:
    assert quorum_contact.ContactTimes().compute_contact_s(view) == contact_s


def test_contact_with_a_vm_of_a_higher_revision_is_not_renewed() -> None:
    """Guards against working forever on an old configuration.

    A change is accepted by c, d and e, but its update to this VM is lost. Their
    heartbeats continue with the higher revision. If they counted as contact,
    this VM would keep using the old configuration.
    """
    contacts = quorum_contact.ContactTimes()
    contacts.compute_contact_s(make_view(1, 5, b=(1, 5), c=(1, 5)))

    later = make_view(9, 5, b=(9, 5), c=(9, 6), d=(9, 6), e=(9, 6))
    assert contacts.compute_contact_s(later) == 1
    caught_up = make_view(9, 6, b=(9, 5), c=(9, 6), d=(9, 6), e=(9, 6))
    assert contacts.compute_contact_s(caught_up) == 9


def test_a_change_is_accepted_after_two_rounds_of_a_majority() -> None:
    acceptance = quorum_contact.Acceptance()
    acceptance.update(make_view(1, 7, b=(0.9, 7), c=(0.9, 7)))
    assert acceptance.revision == 0
    acceptance.update(make_view(2, 7, b=(1.5, 7), c=(0.9, 7)))
    assert acceptance.revision == 0
    acceptance.update(make_view(3, 8, b=(1.5, 7), c=(2.5, 8)))
    assert acceptance.revision == 7
    assert acceptance.get_accepted_s(7) == 3
    assert acceptance.get_accepted_s(8) == math.inf


def test_a_vm_that_restarted_between_the_rounds_does_not_count() -> None:
    """Guards against accepting a change that a majority never held at once.

    VM b acknowledges the change and restarts before c has it. The new process
    of b queries c among others and recovers the old configuration as the
    newest one. Then c acknowledges the change too. With b and c a majority has
    acknowledged, but at different times: b works without the change.
    """
    acceptance = quorum_contact.Acceptance()
    acceptance.update(make_view(1, 7, b=(0.9, 7, 1), c=(0.9, 7, 1)))
    acceptance.update(make_view(2, 7, b=(1.5, 6, 2), c=(1.5, 7, 1)))
    assert acceptance.revision < 7
    acceptance.update(make_view(3, 7, b=(2.5, 7, 2), c=(2.5, 7, 1)))
    assert acceptance.revision < 7
    acceptance.update(make_view(4, 7, b=(3.5, 7, 2), c=(3.5, 7, 1)))
    assert acceptance.revision == 7


@pytest.mark.parametrize(
    ("acknowledged", "revision", "may"),
    [
        ({"b": (1, 5), "c": (1, 5), "d": (1, 4)}, 5, True),
        ({"b": (1, 5), "c": (1, 5)}, 5, False),
        ({"b": (1, 5), "c": (1, 5), "d": (1, 0)}, 5, False),
        ({"b": (1, 5), "c": (1, 5), "d": (1, 6)}, 5, False),
        ({}, 5, False),
    ],
    ids=[
        "a majority of others",
        "this VM does not count towards the majority",
        "one of them has just started too",
        "one of them has a higher revision",
        "nobody",
    ],
)
def test_a_starting_vm_needs_a_majority_of_other_vms(
    acknowledged: dict[str, tuple[float, int]], revision: int, may: bool
) -> None:
    view = make_view(2, 0)
    acknowledgement = {
        vm: quorum_contact.Acknowledgement(sent_s, held, 1)
        for vm, (sent_s, held) in acknowledged.items()
    }
    view = dataclasses.replace(view, acknowledgements=acknowledgement)

    assert quorum_contact.may_recover(view, revision) is may


@pytest.mark.parametrize(
    ("revision", "confirmed_s"), [(5, 4.0), (6, 4.0), (4, 1.0)]
)
def test_a_peers_confirmation_applies_if_its_revision_is_not_higher(
    revision: int, confirmed_s: float
) -> None:
    acknowledgement = quorum_contact.Acknowledgement(5, 5, 1, confirmed_s=4.0)
    view = quorum_contact.ClusterView(
        9, "a", revision, FIVE, {"b": acknowledgement}
    )

    assert quorum_contact.compute_confirmed_s(view, 1.0) == confirmed_s
