"""An account's limit over all VMs, one failure at a time."""

from __future__ import annotations

import itertools

import pytest

from azureramp.policy import (
    account_buckets,
    account_lending,
    account_limits,
    account_owners,
    limit_shares,
)
from tests.policy import account_model

NAMES = [f"vm-{number}" for number in range(6)]
FIRST = frozenset(NAMES[:4])
OWNER = account_owners.choose_owner(account_model.ACCOUNT, FIRST)
SECOND = FIRST - {OWNER} | {"vm-4"}
HEIR = account_owners.choose_owner(account_model.ACCOUNT, SECOND)
LIMIT = (20.0, 30.0)
LARGE_BURST = (20.0, 120.0)
both_limits = pytest.mark.parametrize("limit", [LIMIT, LARGE_BURST])
before = pytest.mark.parametrize("before_s", [0.1, 3.0, 6.0])
"""How long callers have sent more than the limit when the failure happens, in
seconds: their burst was just used, or long ago."""

TIGHT = account_limits.Tolerance(account_model.WINDOW_S, 0.1, 4.0)
LONG_S = 60.0


def start(
    first: bool = True, limit: account_model.Limit = LIMIT
) -> account_model.Model:
    model = account_model.Model(6, 4, limit, first, TIGHT)
    model.advance(LONG_S)
    return model


def flood(model: account_model.Model, seconds: float) -> int:
    """Sends all that is allowed at all VMs; returns how much that is."""
    before = len(model.sent_s)
    until_s = model.now_s + seconds
    while model.now_s < until_s:
        model.advance(account_model.STEP_S)
        for vm in model.vms.values():
            while model.ask(vm):
                pass
        assert model.count_recent() <= model.get_bound()
    return len(model.sent_s) - before


def test_a_flood_gets_the_whole_limit_and_no_more() -> None:
    """Guards against a limit that is kept by refusing what is within it."""
    model = start()
    flood(model, 10.0)
    assert flood(model, 10.0) >= 0.97 * 10.0 * LIMIT[0]


@before
@pytest.mark.parametrize("reachable", [True, False])
def test_two_vms_that_take_themselves_for_the_owner(
    reachable: bool, before_s: float
) -> None:
    """Guards against two buckets while the old owner's list is behind."""
    model = start()
    model.vms[OWNER].lag_s = limit_shares.MAX_UPDATE_DELAY_S - 0.1
    model.vms[HEIR].lag_s = 0.0
    if not reachable:
        model.cut_links.add(frozenset((OWNER, HEIR)))
    flood(model, before_s)
    model.change(SECOND, None)
    sent = flood(model, 3.0)
    if reachable:
        assert sent >= 0.9 * 3.0 * LIMIT[0]
    flood(model, 10.0)


@before
@both_limits
def test_an_owner_that_is_paused_and_wakes_after_it_was_replaced(
    limit: account_model.Limit, before_s: float
) -> None:
    """Guards against an owner that lends what another has lent meanwhile."""
    model = start(limit=limit)
    model.vms[OWNER].paused = True
    model.advance(3.0)
    model.change(SECOND, None)
    model.advance(10.0)
    flood(model, before_s)
    model.vms[OWNER].lag_s = limit_shares.MAX_UPDATE_DELAY_S - 0.1
    model.vms[OWNER].contact_s = model.now_s
    model.vms[OWNER].paused = False
    flood(model, 10.0)


@before
@both_limits
@pytest.mark.parametrize("has_bucket", [True, False])
def test_an_owner_that_was_replaced_and_is_the_owner_again_unawares(
    has_bucket: bool, limit: account_model.Limit, before_s: float
) -> None:
    """Guards against a bucket that filled while another VM lent."""
    model = start(limit=limit)
    if has_bucket:
        model.report(model.vms["vm-0"], 1)
    model.vms[OWNER].lag_s = 0.0
    model.vms[HEIR].lag_s = limit_shares.MAX_UPDATE_DELAY_S - 0.1
    model.vms[OWNER].paused = True
    model.advance(3.0)
    model.change(SECOND, None)
    model.advance(10.0)
    flood(model, before_s)
    model.change(FIRST, None)
    model.vms[OWNER].paused = False
    flood(model, 10.0)


@before
@both_limits
def test_an_owner_that_is_cut_from_the_store_stops_lending(
    limit: account_model.Limit, before_s: float
) -> None:
    """Guards against an owner that doesn't learn that it was replaced."""
    model = start(limit=limit)
    model.vms[OWNER].cut = True
    for name in NAMES:
        model.cut_links.add(frozenset((OWNER, name)))
    model.advance(3.0)
    model.change(SECOND, None)
    flood(model, before_s)
    model.advance(6.0)
    assert flood(model, 5.0) >= 0.9 * 5.0 * LIMIT[0]
    model.vms[OWNER].cut = False
    flood(model, 10.0)


@both_limits
def test_an_outage_of_the_store_leaves_owners_as_they_are(
    limit: account_model.Limit,
) -> None:
    """Guards against refusals because no VM knows who decides."""
    model = start(limit=limit)
    for vm in model.vms.values():
        vm.cut = True
    flood(model, 6.0)
    assert flood(model, 6.0) >= 0.9 * 6.0 * limit[0]
    for vm in model.vms.values():
        vm.cut = False
    assert flood(model, 6.0) >= 0.9 * 6.0 * limit[0]


@before
@both_limits
def test_the_store_turns_some_vms_away(
    limit: account_model.Limit, before_s: float
) -> None:
    """Guards against a former owner that goes on beside the new one."""
    model = start(limit=limit)
    for name in (OWNER, "vm-5"):
        model.vms[name].cut = True
    model.advance(3.0)
    flood(model, before_s)
    model.change(SECOND, None)
    flood(model, 8.0)
    assert flood(model, 4.0) >= 0.9 * 4.0 * limit[0]


@both_limits
def test_most_vms_are_cut_from_the_store_and_from_the_new_owner(
    limit: account_model.Limit,
) -> None:
    """Guards against two VMs that decide on both sides of a partition."""
    model = start(limit=limit)
    for name in FIRST - {HEIR}:
        model.vms[name].cut = True
        model.cut_links.add(frozenset((HEIR, name)))
    model.advance(3.0)
    model.change(SECOND, None)
    flood(model, 0.5)
    model.advance(5.0)
    flood(model, 30.0)


@before
@both_limits
def test_all_vms_restart_together(
    limit: account_model.Limit, before_s: float
) -> None:
    """Guards against a full bucket, and against none, after a restart."""
    model = start(limit=limit)
    flood(model, before_s)
    for name in NAMES:
        model.restart(name)
    sent = flood(model, 2.0)
    assert sent >= 0.9 * 2.0 * LIMIT[0]
    flood(model, 10.0)


def test_a_small_account_is_served_after_all_vms_restart() -> None:
    """Guards against refusals until the bucket of a slow rate has refilled."""
    model = account_model.Model(6, 4, (0.05, 0.0))
    model.advance(LONG_S)
    for name in NAMES:
        model.restart(name)
    model.advance(0.5)
    assert model.ask(model.vms["vm-1"])
    assert model.ask(model.vms["vm-2"])


def test_a_lost_or_late_answer_lends_no_token_twice() -> None:
    """Guards against tokens that are used again after a lost answer."""
    model = start()
    flood(model, 6.0)
    vm = model.vms[next(name for name in NAMES if name != OWNER)]
    for fate in account_model.Fate:
        for _ in range(10):
            model.report(vm, 5, fate)
            assert model.count_recent() <= model.get_bound()
        flood(model, 6.0)


def test_a_repeated_report_is_settled_once() -> None:
    """Guards against a lost answer that costs the account twice."""
    model = start()
    owner = model.vms[OWNER]
    budget = model.get_budget(owner)
    for _ in range(5):
        first = owner.lending.decide("yard", budget, "p", 10, 0, model.now_s)
        assert first.settled == 10
    rest = owner.lending.decide("yard", budget, "q", 1000, 0, model.now_s)
    assert rest.settled == int(budget.capacity) - 10


def test_an_owner_that_gave_its_bucket_away_does_not_lend() -> None:
    """Guards against a copied bucket: the owner may not know of the change."""
    model = start()
    owner, heir = model.vms[OWNER], model.vms[HEIR]
    budget = model.get_budget(owner)
    released = owner.lending.release("yard", budget, HEIR, model.now_s)
    heir.lending.apply_release("yard", budget, OWNER, released, 0, model.now_s)
    assert released.level == pytest.approx(budget.capacity)
    assert owner.lending.find_holders("yard", model.now_s) == {HEIR}
    again = owner.lending.release("yard", budget, HEIR, model.now_s)
    assert again.level is None


@pytest.mark.parametrize("link_cut", [True, False])
def test_a_vm_without_its_owner_has_only_its_credit(link_cut: bool) -> None:
    """Guards against a VM that, cut off, sends without limit, or nothing."""
    model = start()
    vm = model.vms[next(name for name in NAMES if name != OWNER)]
    if link_cut:
        model.cut_links.add(frozenset((OWNER, vm.name)))
    else:
        model.vms[OWNER].paused = True
    sent = 0
    while model.ask(vm):
        sent += 1
    allowed = model.get_budget(vm).local * vm.share.value
    assert sent == int(allowed)
    model.advance(account_model.WINDOW_S + 0.1)
    assert not sent or model.ask(vm)


@pytest.mark.parametrize("new", [(2.0, 0.0), (60.0, 60.0), (0.05, 0.0)])
def test_a_changed_limit_is_kept_one_window_later(
    new: account_model.Limit,
) -> None:
    """Guards against a bucket that keeps the tokens of a higher limit."""
    model = start()
    flood(model, 6.0)
    model.change(None, new)
    flood(model, account_model.WINDOW_S + limit_shares.MAX_UPDATE_DELAY_S)
    flood(model, 5.0)
    assert model.count_recent() >= new[0] * account_model.WINDOW_S * 0.9


def test_a_removed_account_that_returns_finds_no_full_bucket() -> None:
    """Guards against a limit that starts over when an account is renamed."""
    model = start()
    flood(model, 6.0)
    lending = model.vms[OWNER].lending
    lending.drop_idle((), account_model.WINDOW_S, model.now_s)
    assert lending.list_active()
    model.advance(LONG_S)
    lending.drop_idle((), account_model.WINDOW_S, model.now_s)
    assert not lending.list_active()


@pytest.mark.parametrize(
    ("rate", "burst", "tolerance"),
    [
        (0.05, 0.0, account_limits.Tolerance(5.0, 0.0, 0.0)),
        (0.05, 0.0, account_limits.Tolerance(5.0, 0.1, 20.0)),
        (20.0, 0.0, account_limits.Tolerance(5.0, 0.0, 0.0)),
        (20.0, 40.0, account_limits.Tolerance(5.0, 0.1, 20.0)),
        (2000.0, 40.0, account_limits.Tolerance(5.0, 0.1, 20.0)),
    ],
)
def test_the_parts_of_a_budget_stay_within_the_bound(
    rate: float, burst: float, tolerance: account_limits.Tolerance
) -> None:
    """Guards against a burst of 0, a slow rate, and settings without slack."""
    budget = account_limits.compute_budget(rate, burst, tolerance)
    assert budget.capacity >= 1.0
    assert budget.rate_per_s > 0
    lent = budget.capacity + budget.rate_per_s * (
        tolerance.window_s + account_limits.LEND_TIMEOUT_S
    )
    bound = account_limits.compute_bound(rate, burst, tolerance)
    # No bound below one request can be kept by an account that may send.
    assert lent + budget.start + budget.local <= max(bound, 1.3) + 1e-9


def test_callers_that_are_refused_are_told_different_times() -> None:
    """Guards against callers that all return when there is one token."""
    model = start()
    flood(model, 6.0)
    owner = model.vms[OWNER]
    budget = model.get_budget(owner)
    returns_s = [
        owner.lending.decide(
            "yard", budget, f"other-{number}", 100, 0, model.now_s
        ).return_s
        for number in range(8)
    ]
    gaps_s = [
        later - earlier for earlier, later in itertools.pairwise(returns_s)
    ]
    assert gaps_s == pytest.approx([1 / budget.rate_per_s] * 7)


@pytest.mark.parametrize("cut", [1, 3])
def test_vms_cut_from_the_store_share_the_credit_with_their_successors(
    cut: int,
) -> None:
    """Guards against more credit at all VMs than the tolerance allows."""
    model = start()
    lost = sorted(FIRST)[:cut]
    for name in lost:
        model.vms[name].cut = True
    model.advance(limit_shares.STALE_CONTACT_S)
    model.change(FIRST - set(lost) | {"vm-4", "vm-5"}, None)
    for _ in range(200):
        model.advance(account_model.STEP_S)
        assert sum(vm.share.value for vm in model.vms.values()) <= 1.0
    flood(model, 10.0)


def test_two_vms_that_ask_each_other_for_an_account() -> None:
    """Guards against two buckets after requests that cross on the way."""
    model = start()
    model.vms[OWNER].lag_s = limit_shares.MAX_UPDATE_DELAY_S - 0.1
    model.vms[HEIR].lag_s = 0.0
    owner, heir = model.vms[OWNER], model.vms[HEIR]
    flood(model, 1.0)
    model.change(SECOND, None)
    model.advance(account_model.STEP_S)
    asked_at = [vm.lending.count_handovers() for vm in (owner, heir)]
    by_owner = model.release(owner, heir)
    by_heir = model.release(heir, owner)
    model.apply_release(owner, heir, by_heir, asked_at[0])
    model.apply_release(heir, owner, by_owner, asked_at[1])
    lending = [
        not vm.lending.find_holders(account_model.ACCOUNT, model.now_s)
        for vm in (owner, heir)
    ]
    assert lending != [True, True]
    assert flood(model, 2.0) >= 0.9 * 2.0 * LIMIT[0]


def test_an_account_that_returns_without_its_bucket_starts_no_higher() -> None:
    """Guards against tokens out of nothing each time that an answer is late."""
    model = account_model.Model(6, 4, LIMIT)
    model.advance(LONG_S)
    owner, heir = model.vms[OWNER], model.vms[HEIR]
    flood(model, 1.0)
    asked_at = heir.lending.count_handovers()
    late = model.release(owner, heir)
    assert late.level is not None
    assert late.level < model.get_budget(owner).start
    model.take_over(owner)
    model.apply_release(heir, owner, late, asked_at)
    assert heir.lending.find_holders(account_model.ACCOUNT, model.now_s)
    budget = model.get_budget(owner)
    decision = owner.lending.decide("yard", budget, "p", 9, 0, model.now_s)
    assert decision.state is account_buckets.State.LENDING
    assert decision.settled <= late.level


def test_an_owner_that_was_interrupted_hands_over_no_full_bucket() -> None:
    """Guards against tokens that another VM may have lent meanwhile."""
    model = start()
    owner, heir = model.vms[OWNER], model.vms[HEIR]
    model.report(owner, 1)
    owner.paused = True
    model.advance(2 * account_lending.MAX_PAUSE_S)
    owner.paused = False
    released = model.release(owner, heir)
    assert released.level == pytest.approx(model.get_budget(owner).start)
