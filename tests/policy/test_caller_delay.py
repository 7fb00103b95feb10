"""The estimate of how long callers had waited before their requests arrived."""

from __future__ import annotations

import pytest

from azureramp.controllers.forwarding import fan_out
from azureramp.policy import caller_delay


def make(stated_ms: list[int]) -> caller_delay.CallerDelay:
    estimator = caller_delay.CallerDelay()
    for each in stated_ms:
        estimator.record_timeout(each / 1000)
    return estimator


def test_a_caller_with_a_shorter_timeout_had_waited() -> None:
    """Guards against answers that are sent in time but arrive late.

    The caller first looked up an address and then connected, over a slow link.
    Its deadline shows this: most callers start with 300 ms, it has 285 left.
    """
    estimator = make([300, 285, 284, 300, 300] * 10)
    assert estimator.estimate_wait_s(0.285, 0.05) == pytest.approx(0.015)
    assert estimator.estimate_wait_s(0.300, 0.05) == 0.0


def test_implausible_waits_and_outliers_are_ignored() -> None:
    assert make([300] * 5).estimate_wait_s(0.2, 0.05) == 0.0
    assert make([300] * 50).estimate_wait_s(0.15, 0.05) == 0.0
    with_outlier = make([300] * 60 + [900])
    assert with_outlier.estimate_wait_s(0.3, 0.05) == 0.0


def test_few_requests_suffice_for_an_estimate() -> None:
    """Guards against late answers in the first 15 s of a large deployment.

    Each of six VMs gets one request per second of the route. Every other
    request arrives on an open connection; the rest arrive after an address
    lookup and a connect, which take 11 of 46 ms. If the estimate needs many
    requests, these answers are sent as if the callers had just started.
    """
    for stated_ms in ([259], [253, 259], [259, 248, 253, 259, 259]):
        estimator = make(stated_ms)
        assert estimator.estimate_wait_s(0.248, 0.027) == pytest.approx(0.011)
    with_outlier = make([259, 248, 900, 253, 259])
    assert with_outlier.estimate_wait_s(0.259, 0.027) == 0.0


@pytest.mark.parametrize(
    ("target_ms", "way_ms", "cut_ms"),
    [
        (100, 0, 85),
        (100, 10, 84),
        (56, 21, 31.64),
        (56, 30, 22.64),
        (56, 40, 14),
    ],
)
def test_an_incomplete_answer_is_sent_early_enough_to_arrive(
    target_ms: float, way_ms: float, cut_ms: float
) -> None:
    cut_s = fan_out.compute_partial_answer_delay_s(
        target_ms / 1000, way_ms / 1000
    )
    assert cut_s * 1000 == pytest.approx(cut_ms)
