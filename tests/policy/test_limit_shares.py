"""Each VM's share of a limit that applies to all VMs together."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import allowances, limit_shares

WINDOW_S = 10.0


def test_a_replacing_process_has_no_share_at_first() -> None:
    """Guards against an exceeded limit after all VMs were killed.

    Each may have used its share just before. A new process can't know that, so
    it waits for one time window and until every VM has received its entry. Only
    at the first start of the tier nothing was used before.
    """
    part = limit_shares.compute_share(4, 4, is_advertised=True, stale=False)
    assert part == limit_shares.ADVERTISED_SHARE / 4
    again = limit_shares.LimitShare(WINDOW_S, 0.0, first_start=False)
    assert again.update(part, 3.0) == 0.0
    assert again.update(part, WINDOW_S) == 0.0
    assert (
        again.update(part, WINDOW_S + limit_shares.MAX_UPDATE_DELAY_S + 0.1)
        == part
    )
    assert (
        limit_shares.LimitShare(WINDOW_S, 0.0, first_start=True).update(part, 0)
        == part
    )


def test_the_advertised_vms_have_nearly_the_whole_limit() -> None:
    """Guards against a limit that mostly belongs to VMs without requests.

    6 of 64 VMs are advertised. With equal shares, nine tenths of the allowed
    extra calls belonged to VMs that hardly get requests, so few calls were
    retried when most searchers of a shard rejected most calls.
    """
    advertised = limit_shares.compute_share(
        6, 58, is_advertised=True, stale=False
    )
    other = limit_shares.compute_share(6, 58, is_advertised=False, stale=False)
    assert advertised * 6 + other * 58 == pytest.approx(1.0)
    assert advertised > 9 / 64


def test_a_share_shrinks_immediately_and_grows_after_a_window() -> None:
    share = limit_shares.LimitShare(WINDOW_S, 0.0, first_start=True)
    assert share.update(0.2, 0.0) == 0.2
    assert share.update(0.1, 5.0) == 0.1
    assert share.update(0.3, 6.0) == 0.1
    assert share.update(0.3, 17.9) == 0.1
    assert share.update(0.3, 18.1) == 0.3
    assert share.update(0.0, 19.0) == 0.0


@pytest.mark.parametrize("seed", range(30))
def test_all_shares_together_stay_within_the_limit(seed: int) -> None:
    """The advertised VMs change, and each VM receives the changes late.

    An advertised VM may use its whole share at any time and does not know for
    up to three seconds that another VM has replaced it. One VM is unable to
    reach the store and never receives the changes. The total use in any time
    window stays within the limit, including its safety factor.
    """
    rng = random.Random(seed)
    names = [f"vm-{number}" for number in range(12)]
    isolated = names[0]
    parts = {
        name: limit_shares.LimitShare(WINDOW_S, 0.0, True) for name in names
    }
    views = {name: set(names[:5]) for name in names}
    lists: list[tuple[float, set[str]]] = [(0.0, set(names[:5]))]
    lag_s = {
        name: rng.uniform(0, limit_shares.MAX_UPDATE_DELAY_S) for name in names
    }
    spent: list[tuple[float, float]] = []
    parts_in_force = dict.fromkeys(names, 0.0)
    own: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for step in range(600):
        now_s = step / 5
        if rng.random() < 0.02:
            lists.append((now_s, set(rng.sample(names, rng.randint(4, 7)))))
        for name in names:
            if name != isolated or now_s < 20:
                seen = [
                    advertised
                    for at, advertised in lists
                    if at <= now_s - lag_s[name]
                ]
                views[name] = seen[-1] if seen else lists[0][1]
            advertised = views[name]
            listed_part = limit_shares.compute_share(
                len(advertised),
                len(names) - len(advertised),
                name in advertised,
                stale=name == isolated
                and now_s > 20 + limit_shares.STALE_CONTACT_S,
            )
            parts_in_force[name] = parts[name].update(listed_part, now_s)
            used = sum(
                amount for at, amount in own[name] if at > now_s - WINDOW_S
            )
            amount = parts_in_force[name] - used
            if amount > 0 and rng.random() < 0.5:
                own[name].append((now_s, amount))
                spent.append((now_s, amount))
        total = sum(amount for at, amount in spent if at > now_s - WINDOW_S)
        assert total * allowances.SAFETY_FACTOR <= 1.0
