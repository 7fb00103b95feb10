"""Which envelopes are too old to be taken."""

from __future__ import annotations

import pytest

from azureramp.ports.peers import freshness

AHEAD_MS = 5_000_000
"""How far the sender's clock is ahead of ours."""


def accept(
    judge: freshness.Freshness, at_ms: int, delay_ms: int, incarnation: int = 1
) -> bool:
    sent_ms = at_ms - delay_ms + AHEAD_MS
    return judge.accept("vm", incarnation, sent_ms, at_ms)


@pytest.mark.parametrize(
    ("delay_ms", "taken"), [(0, True), (1500, True), (2100, False)]
)
def test_a_late_envelope_is_dropped_however_the_clocks_stand(
    delay_ms: int, taken: bool
) -> None:
    judge = freshness.Freshness()
    for at_ms in range(0, 60_000, 250):
        assert accept(judge, at_ms, 2)

    assert accept(judge, 60_000, delay_ms) is taken


def test_what_waited_in_a_link_that_heals_is_dropped() -> None:
    """A link is cut for a minute, and then delivers all that waited."""
    judge = freshness.Freshness()
    assert accept(judge, 0, 2)

    waited = [accept(judge, 60_000, delay) for delay in (59_000, 30_000, 10)]

    assert waited == [False, False, True]


def test_an_earlier_incarnation_is_never_taken_again() -> None:
    judge = freshness.Freshness()
    assert accept(judge, 0, 2, incarnation=7)
    assert accept(judge, 10, 2, incarnation=8)

    assert not accept(judge, 20, 2, incarnation=7)


def test_a_vm_whose_clock_stood_still_is_heard_again_soon() -> None:
    """A suspended VM's monotonic clock may stand still meanwhile.

    All that it sends then looks late. That must not last.
    """
    judge = freshness.Freshness()
    assert accept(judge, 0, 2)

    taken = [accept(judge, at, 9_000) for at in range(60_000, 90_000, 250)]

    assert not taken[0]
    assert all(taken[-20:])
