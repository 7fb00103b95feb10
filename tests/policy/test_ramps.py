"""The cold-start ramp."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp.policy import ramps

USUAL_MS = 10.0
COLD_MS = 60.0


def make_warm(slots: int = 4, cold_limit: int = 1) -> ramps.Ramp:
    ramp = ramps.Ramp(slots, cold_limit)
    ramp.restore(slots, USUAL_MS)
    for _ in range(ramps.MEDIAN_WINDOW):
        ramp.record_success(USUAL_MS, ramp.epoch)
    return ramp


def test_a_new_ramp_begins_cold_at_the_cold_limit() -> None:
    ramp = ramps.Ramp(slots=8, cold_limit=2)

    assert (ramp.state, ramp.limit) == (ramps.State.COLD, 2)


def test_the_limit_doubles_after_that_many_normal_successes() -> None:
    ramp = make_warm(slots=8)
    ramp.reset_to_cold("incarnation")
    limits = []
    for _ in range(1 + 2 + 4):
        limits.append(ramp.limit)
        ramp.record_success(USUAL_MS, ramp.epoch)

    assert limits == [1, 2, 2, 4, 4, 4, 4]
    assert (ramp.state, ramp.limit) == (ramps.State.WARM, 8)


def test_slow_successes_do_not_raise_the_limit() -> None:
    ramp = make_warm()
    ramp.reset_to_cold("incarnation")
    for _ in range(ramps.RELEARNING_CALLS - 1):
        ramp.record_success(COLD_MS, ramp.epoch)

    assert ramp.limit == 1


def test_a_failure_halves_the_limit_of_a_ramp() -> None:
    ramp = make_warm(slots=8)
    ramp.reset_to_cold("incarnation")
    for _ in range(3):
        ramp.record_success(USUAL_MS, ramp.epoch)
    ramp.record_failure(ramp.epoch)

    assert ramp.limit == 2


@pytest.mark.parametrize(
    ("slow", "state"),
    [(1, "warm"), (2, "warm"), (3, "cold"), (4, "cold")],
)
def test_slow_recent_calls_reset_a_searcher_to_cold(
    slow: int, state: str
) -> None:
    ramp = make_warm()
    for _ in range(slow):
        ramp.record_success(COLD_MS, ramp.epoch)

    assert ramp.state.value == state


def test_one_straggler_in_a_hundred_does_not_reset_a_searcher() -> None:
    ramp = make_warm()
    rng = random.Random(5)
    resets = 0
    for _ in range(20_000):
        factor = 10.0 if rng.random() < 0.01 else 1.0
        ramp.record_success(
            USUAL_MS * factor * rng.lognormvariate(0, 0.2), ramp.epoch
        )
        resets += ramp.state is ramps.State.COLD
        if ramp.state is ramps.State.COLD:
            ramp.restore(4, USUAL_MS)

    assert resets == 0


def test_a_cancelled_call_counts_as_slow_only_if_it_ran_long() -> None:
    """Guards against a cold searcher that stays undetected due to hedges.

    All its slow calls are cancelled, so the owner never sees their latency.
    """
    ramp = make_warm()
    for _ in range(10):
        ramp.record_cancelled(USUAL_MS, ramp.epoch)
    early = ramp.state
    for _ in range(3):
        ramp.record_cancelled(USUAL_MS * 4, ramp.epoch)

    assert (early, ramp.state) == (ramps.State.WARM, ramps.State.COLD)


def test_a_call_cancelled_after_the_normal_time_counts_as_slow() -> None:
    """Guards against a cold searcher that keeps its full limit due to hedges.

    Its calls are cancelled at about twice the usual time, long before they
    would end. If they were ignored, the limit would stay as long as the hedges
    answer first.
    """
    ramp = make_warm()
    for _ in range(ramps.SLOW_CALLS_TO_RESET):
        ramp.record_cancelled(USUAL_MS * 2.2, ramp.epoch)

    assert (ramp.state, ramp.limit) == (ramps.State.COLD, 1)


def test_slow_calls_before_a_handoff_count_after_it() -> None:
    """A searcher turns cold and gets a new owner after two slow calls.

    If they were not handed off, the new owner would use the full limit until it
    has seen three slow calls itself.
    """
    before = make_warm()
    for _ in range(2):
        before.record_success(COLD_MS, before.epoch)
    after = ramps.Ramp(4, 1)
    after.restore(before.limit, USUAL_MS, before.count_slow())
    after.record_success(COLD_MS, after.epoch)

    assert after.state is ramps.State.COLD


def test_consecutive_failures_reset_a_warm_searcher_to_cold() -> None:
    ramp = make_warm()
    for _ in range(ramps.FAILURES_TO_RESET):
        ramp.record_failure(ramp.epoch)

    assert (ramp.state, ramp.reason) == (ramps.State.COLD, "failures")


def test_calls_of_an_earlier_epoch_are_ignored() -> None:
    ramp = make_warm()
    before = ramp.epoch
    ramp.reset_to_cold("latency")
    for _ in range(10):
        ramp.record_success(USUAL_MS, before)

    assert ramp.limit == 1


def test_without_usual_latency_the_limit_rises_once_settled() -> None:
    ramp = ramps.Ramp(slots=4, cold_limit=1)
    falling = [100 * 0.8**step for step in range(16)]
    for took_ms in falling:
        ramp.record_success(took_ms, ramp.epoch)
    while_falling = ramp.limit
    for _ in range(ramps.RELEARNING_CALLS):
        ramp.record_success(USUAL_MS, ramp.epoch)

    assert (while_falling, ramp.limit) == (1, 4)


def test_a_permanent_change_of_latency_does_not_block_the_ramp() -> None:
    """A larger index version makes all calls permanently 3.5 times as slow."""
    ramp = make_warm(slots=2)
    ramp.reset_to_cold("latency")
    for _ in range(ramps.RELEARNING_CALLS + 2):
        ramp.record_success(USUAL_MS * 3.5, ramp.epoch)

    assert (ramp.state, ramp.limit) == (ramps.State.WARM, 2)


def test_a_cold_report_delays_only_a_ramp_without_usual_latency() -> None:
    unknown = ramps.Ramp(slots=2, cold_limit=1)
    known = make_warm(slots=2)
    known.reset_to_cold("lost")
    for ramp in (unknown, known):
        ramp.reports_cold = True
        for _ in range(40):
            ramp.record_success(USUAL_MS, ramp.epoch)

    assert (unknown.limit, known.limit) == (1, 2)


class RampMachine(stateful.RuleBasedStateMachine):
    """A searcher that restarts at any time, and its owner's ramp.

    The owner starts a call only below the limit. While the searcher is cold,
    its calls are slow. The owner is informed of a restart before it starts
    another call. From a known restart until the searcher is warm again, no more
    than the cold limit of calls may run.
    """

    def __init__(self) -> None:
        """Starts with a new searcher."""
        super().__init__()
        self.cold_limit = 2
        self.slots = 8
        self.ramp = ramps.Ramp(self.slots, self.cold_limit)
        self.ramp.set_default_usual_ms(USUAL_MS)
        self.cold = True
        self.running: list[int] = []

    @stateful.rule()
    def start(self) -> None:
        """Starts a call if the limit allows it."""
        if len(self.running) < self.ramp.limit:
            self.running.append(self.ramp.epoch)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), share=st.floats(0.5, 1.9))
    def succeed(self, data: st.DataObject, share: float) -> None:
        """Ends a call with a reply, slow if the searcher is cold."""
        epoch = self._end(data)
        took_ms = COLD_MS if self.cold else USUAL_MS
        self.ramp.record_success(took_ms * share, epoch)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def fail(self, data: st.DataObject) -> None:
        """Ends a call with a failure."""
        self.ramp.record_failure(self._end(data))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), after_ms=st.floats(1, 100))
    def give_up(self, data: st.DataObject, after_ms: float) -> None:
        """Cancels a call."""
        self.ramp.record_cancelled(after_ms, self._end(data))

    @stateful.rule()
    def restart(self) -> None:
        """Restarts the searcher; its calls are lost, and the owner knows it."""
        self.cold = True
        self.running.clear()
        self.ramp.reset_to_cold("incarnation")

    @stateful.rule()
    def warm_up(self) -> None:
        """Makes the searcher warm."""
        self.cold = False

    @stateful.invariant()
    def keep_the_cold_limit(self) -> None:
        """Checks that a cold searcher runs at most its cold limit of calls."""
        assert 1 <= self.ramp.limit <= self.slots
        if self.ramp.state is ramps.State.WARM:
            assert self.ramp.limit == self.slots
        if self.cold:
            assert len(self.running) <= self.cold_limit

    def _end(self, data: st.DataObject) -> int:
        """Removes a running call and returns its epoch."""
        position = data.draw(st.integers(0, len(self.running) - 1))
        return self.running.pop(position)


TestRampMachine = RampMachine.TestCase
TestRampMachine.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
)
