"""Admission under the loads it answers: who is served, without and with it."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import admission_gate, congestion, fair_queue, fair_shares
from tests.policy import queueing_model
from tests.policy.queueing_model import Load

SLOTS = 6
"""Searchers that serve 600 requests per second."""

SMALL = [f"small-{number}" for number in range(20)]
SMALL_LOADS = [Load(name, 10.0) for name in SMALL]


def play(
    loads: list[Load], vms: int = 3, slots: int = SLOTS
) -> tuple[queueing_model.Model, queueing_model.Model]:
    """Plays loads without and with admission control."""
    models = [queueing_model.Model(slots, vms, on) for on in (False, True)]
    for model in models:
        model.play(loads)
    return models[0], models[1]


@pytest.mark.parametrize("vms", [1, 3, 10])
@pytest.mark.parametrize(("load", "refused"), [(0.7, 0.0), (0.85, 0.005)])
def test_all_are_served_while_the_searchers_keep_up(
    vms: int, load: float, refused: float
) -> None:
    """Guards against refusals of what could have been served.

    At 70 in 100 of the room none is refused. At 85 queues form by chance that
    make an urgent request late; the few refused then are served on return.
    """
    loads = [
        Load("urgent", 240 * load, target_s=0.045),
        Load("other", 360 * load, priority=1),
    ]
    _, gated = play(loads, vms)
    assert gated.get_share("urgent", "other") == 1.0
    assert gated.returned <= refused * gated.asked.total()


@pytest.mark.parametrize(("vms", "least"), [(3, 0.95), (10, 0.8)])
def test_a_burst_of_one_kind_does_not_starve_the_urgent_one(
    vms: int, least: float
) -> None:
    """One kind asks for 2.4 times its usual, which fills all queues."""
    loads = [Load("urgent", 150, target_s=0.045), Load("b", 300, 2.4, 1)]
    plain, gated = play(loads, vms)
    assert plain.get_share("urgent") < 0.1
    assert gated.get_share("urgent") >= least
    assert gated.get_share("b") >= plain.get_share("b")
    assert gated.wasted < plain.wasted / 2


@pytest.mark.parametrize("vms", [3, 10])
@pytest.mark.parametrize(
    "hot",
    [[Load("h0", 80, 7.5)], [Load(f"h{each}", 60, 4.3) for each in range(3)]],
)
def test_accounts_that_flood_pay_themselves(hot: list[Load], vms: int) -> None:
    """One account sends 7.5 times its usual, or three 4.3 times theirs.

    The small ones stay served, and those that flood share what is left.
    """
    names = [each.account for each in hot]
    plain, gated = play([*SMALL_LOADS, *hot], vms)
    assert plain.get_share(*SMALL) < 0.6
    assert gated.get_share(*SMALL) >= 0.9
    shares = [gated.get_share(name) for name in names]
    assert plain.get_share(*names) <= min(shares)
    assert max(shares) - min(shares) < 0.1
    assert max(shares) <= min(map(gated.get_share, SMALL))


def test_callers_that_repeat_at_once_gain_nothing() -> None:
    """Callers that repeat three times at once crowd out those that wait."""
    rude = Load("rude", 180, 2.0, repeats_at_once=3)
    plain, gated = play([*SMALL_LOADS, rude, Load("polite", 180, 2.0)])
    assert plain.get_share("rude") - plain.get_share("polite") > 0.4
    assert gated.get_share("rude") - gated.get_share("polite") < 0.1
    assert gated.get_share(*SMALL) >= 0.9 > plain.get_share(*SMALL)


def test_the_searchers_that_remain_serve_the_urgent_first() -> None:
    """A third of the VMs or searchers is cut off, and the rest is too few."""
    loads = [Load("urgent", 150, target_s=0.06), Load("b", 350, priority=1)]
    plain, gated = play(loads, vms=2, slots=4)
    assert plain.get_share("urgent") < 0.5
    assert gated.get_share("urgent") >= 0.9
    assert gated.get_share("b") >= plain.get_share("b") - 0.05


def test_returning_callers_go_before_newcomers_of_their_account() -> None:
    """What was told to come back is not refused again for its own newcomers."""
    queue = fair_queue.FairQueue()
    newcomer, other, returning = (
        fair_queue.Ticket(account, 0, 1.0, back, 0.01, 0.5)
        for account, back in (("a", False), ("b", False), ("a", True))
    )
    for each in (newcomer, other, returning):
        assert queue.count_before(each) == min(1, len(queue))
        queue.push(each)
    assert list(queue.list_next()) == [returning, other]
    queue.remove(returning, served=True)
    assert list(queue.list_next()) == [other, newcomer]


@pytest.mark.parametrize("slow", [0.04, 0.15])
def test_slow_and_paused_searchers_that_hedges_rescue_are_no_congestion(
    slow: float,
) -> None:
    """15 in 100 searchers 11 times slower, or pauses, must refuse nothing."""
    detector = congestion.CongestionDetector()
    rng = random.Random(3)
    for _ in range(500):
        met = sum(rng.random() < slow for _ in range(90))
        outcome = congestion.Outcome(90, 86, full=0, queued=met, slow=met)
        assert detector.record(outcome) is congestion.Evidence.NONE


def test_full_shards_beyond_what_may_miss_are_congestion() -> None:
    """Five full shards of 90 fail each request that needs 86 of them.

    Of requests to one searcher, a single one that is lost may be chance.
    """
    detector = congestion.CongestionDetector()
    few = congestion.Outcome(90, 86, full=4, queued=0, slow=0)
    assert detector.record(few) is congestion.Evidence.NONE
    lost = congestion.Outcome(90, 86, full=5, queued=0, slow=0)
    assert detector.record(lost) is congestion.Evidence.FULL
    single = congestion.Outcome(1, 1, full=1, queued=0, slow=0)
    detector = congestion.CongestionDetector()
    assert detector.record(single) is congestion.Evidence.NONE
    assert detector.record(single) is congestion.Evidence.FULL


LOST = congestion.Outcome(1, 1, full=1, queued=0, slow=0)
CLEAR = congestion.Outcome(1, 1, full=0, queued=0, slow=0)


def make_ticket(account: str = "a") -> fair_queue.Ticket:
    return fair_queue.Ticket(account, 0, 1.0, False, 0.01, 0.5)


def limit_to_few() -> admission_gate.Gate:
    """Makes a gate that met full searchers ten times in a second."""
    gate = admission_gate.Gate()
    for number in range(10):
        now_s = 0.1 * number
        gate.arrive(make_ticket(), now_s)
        gate.end(now_s, LOST, now_s + 0.02)
    assert gate.limit.value <= 2.0
    return gate


def test_a_limit_from_before_a_quiet_time_refuses_nobody() -> None:
    """Guards against refusals in calm for a shortage that is long past."""
    gate = limit_to_few()
    for _ in range(20):
        decision = gate.arrive(make_ticket(), 60.0)
        assert decision == admission_gate.Admitted()


def test_a_request_after_a_quiet_time_sets_no_limit_if_it_is_served() -> None:
    """Guards against a limit by evidence that is long past."""
    gate = limit_to_few()
    gate.arrive(make_ticket(), 60.0)
    gate.end(60.0, CLEAR, 60.02)
    assert gate.limit.value == float("inf")


def test_one_lost_fan_out_does_not_leave_all_accounts_without_a_share() -> None:
    """Guards against refusals by a gate at which nothing runs."""
    gate = admission_gate.Gate()
    served = congestion.Outcome(90, 86, full=0, queued=0, slow=0)
    lost = congestion.Outcome(90, 86, full=9, queued=0, slow=0)
    for now_s in (0.1 * number for number in range(20)):
        for account in ("a", "b", "c", "d"):
            gate.arrive(make_ticket(account), now_s)
        for _ in range(4):
            gate.end(now_s, lost if now_s > 1.85 else served, now_s + 0.05)
    assert gate.running == 0
    assert gate.limit.value < 4.0
    assert gate.arrive(make_ticket(), 2.0) == admission_gate.Admitted()


def test_no_request_waits_for_its_turn_while_nothing_runs() -> None:
    """Guards against a wait that nothing can end, and those behind it."""
    gate = limit_to_few()
    gate.limit.value = 1.0
    gate.arrive(make_ticket(), 0.95)
    gate.end(0.95, CLEAR, 0.955)
    less_urgent = fair_queue.Ticket("a", 1, 1.0, False, 0.1, 0.9)
    assert gate.arrive(less_urgent, 0.96) == admission_gate.Admitted()


def test_accounts_of_very_different_weight_have_shares() -> None:
    """Guards against an error where one limit is written as a huge number."""
    level = fair_shares.compute_level([(1.0, 2.0), (9.0, 2e-18)], 5.0)
    assert 0 < level < float("inf")


def test_accounts_are_forgotten_while_all_are_served() -> None:
    """Guards against memory, and a long pause at the first congestion."""
    gate = admission_gate.Gate()
    for number in range(5000):
        gate.arrive(make_ticket(f"a{number}"), 0.02 * number)
        gate.end(0.02 * number, CLEAR, 0.02 * number)
    assert gate.shares.count_accounts() < 1000


def test_a_limit_that_is_no_longer_needed_is_lifted() -> None:
    """Guards against refusals long after the searchers keep up again."""
    gate = admission_gate.Gate()
    lost = congestion.Outcome(90, 86, full=9, queued=0, slow=0)
    clear = congestion.Outcome(90, 86, full=0, queued=0, slow=0)
    ticket = fair_queue.Ticket("a", 0, 1.0, False, 0.01, 0.5)
    for number in range(10):
        now_s = 0.2 * number
        assert gate.arrive(ticket, now_s) == admission_gate.Admitted()
        gate.end(now_s, clear if number else lost, now_s + 0.02)
    assert gate.limit.value == float("inf")
