"""The extra calls of all VMs together stay within the operators' bound."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from azureramp.policy import allowances

TERMS = allowances.Limit(ratio=0.2, window_s=10.0, fixed=56.0)


def test_requests_allow_extra_calls_only_within_the_window() -> None:
    allowance = allowances.Allowance(TERMS)
    for _ in range(100):
        allowance.add_request(0.0)
    spent = sum(allowance.spend(1.0, part=0.0) for _ in range(100))
    assert spent == int(0.2 * 100 * allowances.SAFETY_FACTOR)
    assert not allowance.spend(10.5, part=0.0)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 7),
            st.floats(0.0, 1.0),
            st.booleans(),
        ),
        max_size=400,
    )
)
def test_all_vms_together_stay_within_the_bound(
    steps: list[tuple[int, float, bool]],
) -> None:
    vms = [allowances.Allowance(TERMS) for _ in range(8)]
    now_s = 0.0
    requests: list[float] = []
    extras: list[float] = []
    for vm, after_s, is_request in steps:
        now_s += after_s
        if is_request:
            vms[vm].add_request(now_s)
            requests.append(now_s)
        elif vms[vm].spend(now_s, 1 / 8):
            extras.append(now_s)
        recent = sum(at_s > now_s - 10.0 for at_s in extras)
        earned = 0.2 * sum(at_s >= now_s - 10.0 for at_s in requests)
        assert recent <= earned + 56.0
