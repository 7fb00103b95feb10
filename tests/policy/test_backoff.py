"""The backoff from a failing service."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import backoff

PROBE_S = 2.0


def make_failed(failures: int, seed: int = 1) -> tuple[backoff.Backoff, float]:
    """Creates a backoff after failed calls, each made as soon as allowed.

    Returns:
        The backoff, and the time of the last failure.
    """
    made = backoff.Backoff()
    rng = random.Random(seed)
    now_s = 0.0
    for _ in range(failures):
        now_s = max(now_s, made.retry_at_s)
        made.record_failure(now_s, rng)
    return made, now_s


def test_isolated_failures_do_not_stop_calls() -> None:
    made, now_s = make_failed(backoff.MIN_FAILURES - 1)

    assert made.may_call(now_s, PROBE_S)
    assert made.get_delay_s(now_s) == 0.0


@pytest.mark.parametrize(
    ("failures", "ceiling_s"),
    [(3, 0.2), (4, 0.4), (5, 0.8), (6, 1.6), (7, 3.0), (50, 3.0)],
)
def test_the_delays_double_and_have_jitter(
    failures: int, ceiling_s: float
) -> None:
    delays = set()
    for seed in range(20):
        made, now_s = make_failed(failures, seed)
        delays.add(made.get_delay_s(now_s))

    assert ceiling_s / 2 <= min(delays) < max(delays) <= ceiling_s
    assert len(delays) == 20


def test_one_call_probes_while_the_others_wait() -> None:
    made, _ = make_failed(5)
    now_s = made.retry_at_s

    assert made.may_call(now_s, PROBE_S)
    assert not made.may_call(now_s, PROBE_S)
    assert not made.may_call(now_s + PROBE_S - 0.01, PROBE_S)
    assert made.may_call(now_s + PROBE_S, PROBE_S)

    made.record_success()
    assert made.may_call(now_s, PROBE_S)
    assert made.may_call(now_s, PROBE_S)


def test_calls_that_fail_together_count_as_one_failure() -> None:
    """Guards against a long delay after one outage with 100 calls in flight."""
    made, now_s = make_failed(backoff.MIN_FAILURES)
    until_s = made.retry_at_s

    for _ in range(100):
        made.record_failure(now_s, random.Random(1))

    assert made.retry_at_s == until_s
