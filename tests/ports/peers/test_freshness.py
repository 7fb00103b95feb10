"""Tests of the detection of envelopes that arrive too late."""

from __future__ import annotations

import pytest

from azureramp.ports.peers import freshness

CLOCK_OFFSET_MS = 5_000_000
"""Offset of the sender's clock from the receiver's, in milliseconds."""


def accept(
    checker: freshness.Freshness,
    at_ms: int,
    delay_ms: int,
    incarnation: int = 1,
) -> bool:
    sent_ms = at_ms - delay_ms + CLOCK_OFFSET_MS
    return checker.accept("vm", incarnation, sent_ms, at_ms)


@pytest.mark.parametrize(
    ("delay_ms", "accepted"), [(0, True), (1500, True), (2100, False)]
)
def test_late_envelope_is_rejected_with_any_clock_offset(
    delay_ms: int, accepted: bool
) -> None:
    checker = freshness.Freshness()
    for at_ms in range(0, 60_000, 250):
        assert accept(checker, at_ms, 2)

    assert accept(checker, 60_000, delay_ms) is accepted


def test_envelopes_queued_in_a_recovered_link_are_rejected() -> None:
    """A link fails for a minute and then delivers all queued envelopes."""
    checker = freshness.Freshness()
    assert accept(checker, 0, 2)

    results = [accept(checker, 60_000, delay) for delay in (59_000, 30_000, 10)]

    assert results == [False, False, True]


def test_earlier_incarnation_is_never_accepted_again() -> None:
    checker = freshness.Freshness()
    assert accept(checker, 0, 2, incarnation=7)
    assert accept(checker, 10, 2, incarnation=8)

    assert not accept(checker, 20, 2, incarnation=7)


def test_vm_whose_clock_was_stopped_is_accepted_again_soon() -> None:
    """The monotonic clock of a VM may stop while the VM is suspended.

    All envelopes that it sends afterwards appear delayed. This must not be
    permanent.
    """
    checker = freshness.Freshness()
    assert accept(checker, 0, 2)

    accepted = [accept(checker, at, 9_000) for at in range(60_000, 90_000, 250)]

    assert not accepted[0]
    assert all(accepted[-20:])
