"""Phase changes of a roll-out, and the versions in use during it."""

from __future__ import annotations

import dataclasses
import math

import pytest

from azureramp import catalog, rollout_types
from azureramp.policy import exposure, rollouts, version_evidence

PHASE = rollout_types.Phase
VERDICT = version_evidence.Verdict
ORDER = rollout_types.Order("s", "v2", 12.0, 10)
RECORD = rollout_types.Record(
    order=ORDER,
    phase=PHASE.TRIAL,
    old=("v1",),
    barred=(),
    driver="vm-0#1",
    driver_address="vm-0:1",
    age_s=0.0,
    written_ms=0,
    requests=0,
    reserved=0,
    usual={},
    reason="",
)
IN_CANARY = rollouts.RolloutState(
    order=ORDER,
    phase=PHASE.TRIAL,
    age_s=5.0,
    phase_s=5.0,
    withdrawn=False,
    verdict=VERDICT.UNDECIDED,
    answers=10,
    requests=100,
    used=10,
    allowed=60,
    rate=20.0,
    new_usable=3,
    old_usable=3,
    all_moved=False,
)
MOVED = dataclasses.replace(
    IN_CANARY, phase=PHASE.MOVING, age_s=10.7, answers=20, all_moved=True
)


def decide(before: rollouts.RolloutState, **changes: object) -> PHASE | None:
    step = rollouts.decide_phase_change(dataclasses.replace(before, **changes))  # type: ignore[arg-type]
    return None if step is None else step.phase


def test_the_canary_phase_takes_most_of_the_time() -> None:
    assert decide(IN_CANARY) is None
    assert decide(IN_CANARY, age_s=10.0) is PHASE.MOVING


def test_all_traffic_moves_only_if_there_are_enough_new_searchers() -> None:
    assert decide(IN_CANARY, age_s=10.0, new_usable=1) is None
    assert decide(IN_CANARY, age_s=10.0, new_usable=0, old_usable=0) is None
    assert decide(IN_CANARY, age_s=11.6, new_usable=0) is PHASE.ROLLED_BACK


def test_a_new_driver_waits_for_reports_before_it_moves_traffic() -> None:
    assert decide(IN_CANARY, age_s=10.0, phase_s=0.1) is None


def test_traffic_does_not_move_once_the_exposure_is_used_up() -> None:
    """Guards against exposure that grows further after all VMs restart."""
    assert decide(IN_CANARY, age_s=10.0, used=58) is None
    assert decide(IN_CANARY, age_s=11.6, used=58) is PHASE.ROLLED_BACK


@pytest.mark.parametrize("before", [IN_CANARY, MOVED])
def test_a_worse_version_is_rolled_back_immediately(
    before: rollouts.RolloutState,
) -> None:
    assert decide(before, verdict=VERDICT.WORSE) is PHASE.ROLLED_BACK


@pytest.mark.parametrize("before", [IN_CANARY, MOVED])
def test_a_withdrawn_order_is_rolled_back(
    before: rollouts.RolloutState,
) -> None:
    assert decide(before, withdrawn=True) is PHASE.ROLLED_BACK


def test_a_roll_out_is_completed_late_and_after_every_vm_moved() -> None:
    assert decide(MOVED, age_s=9.8) is None
    assert decide(MOVED, all_moved=False) is None
    assert decide(MOVED) is PHASE.COMPLETED


def test_a_roll_out_is_not_completed_while_a_vm_has_not_confirmed() -> None:
    """Guards against aborted calls: the old searchers stop without draining."""
    late = dataclasses.replace(MOVED, age_s=11.6)
    assert decide(late) is PHASE.COMPLETED
    assert decide(late, all_moved=False) is PHASE.ROLLED_BACK


def test_a_roll_out_needs_answers_under_all_traffic() -> None:
    """Guards against a version that is faulty only under load."""
    assert decide(MOVED, answers=1) is None
    assert decide(MOVED, answers=1, age_s=11.6) is PHASE.ROLLED_BACK
    assert decide(MOVED, verdict=VERDICT.SUSPECT) is None
    suspect = decide(MOVED, verdict=VERDICT.SUSPECT, age_s=11.6)
    assert suspect is PHASE.ROLLED_BACK


def test_few_answers_are_enough_for_a_service_with_few_requests() -> None:
    few = dataclasses.replace(MOVED, requests=20, answers=2, rate=2.0)
    assert decide(few) is PHASE.COMPLETED


def test_traffic_goes_back_when_the_exposure_is_used_up_unproved() -> None:
    early = dataclasses.replace(MOVED, age_s=9.5, used=60)
    assert decide(early, answers=3) is PHASE.TRIAL
    assert decide(early) is PHASE.COMPLETED


def test_a_completed_roll_out_does_not_change_phase() -> None:
    assert decide(MOVED, phase=PHASE.COMPLETED) is None


@pytest.mark.parametrize("duration_s", [1.0, 4.0, 12.0, 600.0])
@pytest.mark.parametrize("rate", [0.0, 1.0, 20.0, 2000.0])
def test_all_phases_fit_into_the_duration(
    duration_s: float, rate: float
) -> None:
    allowed = exposure.count_allowed_requests(
        exposure.ExposureLimit(0.1, 50), rate * duration_s
    )
    complete_s = rollouts.get_complete_s(duration_s, rate, allowed)
    assert 0.5 * duration_s < complete_s < duration_s
    now = dataclasses.replace(
        IN_CANARY,
        order=dataclasses.replace(ORDER, duration_s=duration_s),
        rate=rate,
        allowed=allowed,
        used=0,
        requests=round(rate * duration_s),
    )
    assert 0.0 < rollouts.get_move_s(now) < complete_s


def test_canary_calls_are_spread_over_the_phase() -> None:
    terms = exposure.ExposureLimit(0.1, 50)
    counts = [
        rollouts.compute_canary_calls(terms, 20 * second, second, 9.0)
        for second in range(10)
    ]
    assert counts == sorted(counts)
    assert counts[1] >= 1
    assert counts[-1] <= 0.1 * 180 + 50


def test_an_order_without_a_record_bars_the_new_version() -> None:
    versions = rollouts.determine_allowed_versions(ORDER, None, {"v1"})
    assert versions is not None
    assert versions.target == "v2"
    assert versions.allows("v1")
    assert not versions.allows("v2")


def test_without_order_and_record_every_version_may_be_used() -> None:
    assert rollouts.determine_allowed_versions(None, None, {"v1", "v2"}) is None


def test_a_service_that_already_runs_the_version_keeps_it() -> None:
    assert rollouts.determine_allowed_versions(ORDER, None, {"v2"}) is None
    assert rollouts.is_already_running(ORDER, None, {"v2"})
    assert not rollouts.is_already_running(ORDER, None, {"v1", "v2"})


def test_a_service_without_searchers_waits_for_its_canary_phase() -> None:
    versions = rollouts.determine_allowed_versions(ORDER, None, set())
    assert versions is not None
    assert versions.target == "v2"


def test_after_a_roll_out_the_other_version_is_barred() -> None:
    done = dataclasses.replace(RECORD, phase=PHASE.COMPLETED)
    versions = rollouts.determine_allowed_versions(ORDER, done, {"v1"})
    assert versions is not None
    assert versions.allows("v2")
    assert not versions.allows("v1")
    back = dataclasses.replace(RECORD, phase=PHASE.ROLLED_BACK)
    versions = rollouts.determine_allowed_versions(ORDER, back, {"v1"})
    assert versions is not None
    assert versions.allows("v1")
    assert not versions.allows("v2")


def test_a_second_order_bars_the_target_of_the_first_one() -> None:
    second = rollout_types.Order("s", "v3", 12.0, 20)
    versions = rollouts.determine_allowed_versions(second, RECORD, {"v1", "v2"})
    assert versions is not None
    assert versions.target == "v3"
    assert not versions.allows("v2")
    assert rollouts.list_initial_versions(second, RECORD, {"v1", "v2"}) == (
        ("v1",),
        ("v2",),
    )


def test_a_version_that_was_rolled_back_may_be_ordered_again() -> None:
    back = dataclasses.replace(RECORD, phase=PHASE.ROLLED_BACK)
    again = dataclasses.replace(ORDER, revision=20)
    assert rollouts.list_initial_versions(again, back, {"v1"}) == (("v1",), ())


def test_a_roll_out_of_the_barred_old_version_allows_it() -> None:
    done = dataclasses.replace(RECORD, phase=PHASE.COMPLETED)
    back = rollout_types.Order("s", "v1", 12.0, 20)
    assert rollouts.list_initial_versions(back, done, {"v2"}) == (("v2",), ())


def test_drivers_are_ranked_by_cores_without_leaving_vms() -> None:
    def make(vm: str, cores: float, leaving: bool = False) -> catalog.Member:
        return catalog.Member(vm, "z", f"{vm}:80", f"{vm}:81", cores, leaving)

    members = [make("a", 1), make("b", 2), make("c", 2, True), make("d", 2)]
    assert rollouts.rank_drivers(members, "") == ("b", "d", "a")
    assert rollouts.rank_drivers(members, "b") == ("d", "a")


def test_no_move_is_planned_without_remaining_exposure() -> None:
    now = dataclasses.replace(IN_CANARY, used=60)
    assert rollouts.get_move_s(now) == math.inf
