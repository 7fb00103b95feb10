"""Each client account's limit on its requests at all VMs together.

The load: accounts of very different size whose callers come to any of the
advertised VMs, and an account that sends several times its limit. Inputs are
the account's limit and the tolerance of the settings; the outcome is a budget
for each of the parties that can use the limit without asking another. Their
sum is the limit with its tolerance, so that the limit holds whoever can reach
whom:

- the VM that decides for the account keeps a token bucket (see
  `account_lending`);
- each VM has a small credit, which it uses without waiting and settles with
  that VM afterwards (see `account_credit`).
"""

from __future__ import annotations

import dataclasses

from azureramp.policy import limit_shares

LEND_TIMEOUT_S = 0.25
"""Maximum time from a VM's report until it may use the tokens of the answer, in
seconds. The bucket may refill for this time beyond a window."""

LOCAL_SHARE = 0.7
"""Share of the tolerance that the VMs may use without the deciding VM."""

START_SHARE = 0.15
"""Share of the tolerance that a bucket starts with whose predecessor's use is
unknown, so that small accounts don't wait for it to refill. The rest of the
tolerance increases the bucket's capacity."""


@dataclasses.dataclass(slots=True, frozen=True)
class Tolerance:
    """How far all VMs together may exceed an account's limit.

    In any window, an account may send its rate times the window plus its burst,
    increased by `overage` and `slack`.

    Attributes:
        window_s: The length of the window, in seconds.
        overage: Permitted excess, as a share of the limit.
        slack: Permitted excess, in requests.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Budget:
    """The parts of an account's limit.

    Attributes:
        rate_per_s: The rate at which the bucket refills.
        capacity: The bucket's capacity, in requests.
        start: The level of a new bucket whose predecessor's use is unknown.
        local: The credit of all VMs together, in requests.
    """

    rate_per_s: float
    capacity: float
    start: float
    local: float


def compute_credit_share(
    advertised: int, is_advertised: bool, stale: bool, reserved: float = 0.0
) -> float:
    """Returns a VM's share of the credit of all VMs, 0 to 1.

    The other VMs have none: divided among them, it would be less than one
    request each.

    Args:
        advertised: Number of VMs that are advertised to callers.
        is_advertised: True if this VM is advertised.
        stale: True if this VM has lost contact with the store.
        reserved: The share of VMs that were advertised before and may not know
            that they were replaced, 0 to 1.
    """
    if not is_advertised:
        return 0.0
    return (limit_shares.STALE_FACTOR if stale else 1.0 - reserved) / advertised


def compute_bound(
    rate_per_s: float, burst: float, tolerance: Tolerance
) -> float:
    """Returns the most requests that an account may send in a window."""
    limit = rate_per_s * tolerance.window_s + burst
    return limit * (1 + tolerance.overage) + tolerance.slack


def compute_budget(
    rate_per_s: float, burst: float, tolerance: Tolerance
) -> Budget:
    """Splits an account's limit and its tolerance.

    What the bucket needs for `LEND_TIMEOUT_S`, and for holding a whole token,
    comes from the tolerance, and from the rate if there is not enough of it.

    Args:
        rate_per_s: The account's rate; more than 0.
        burst: Its burst.
        tolerance: The tolerance.
    """
    limit = rate_per_s * tolerance.window_s + burst
    capacity = max(1.0, burst)
    spare = tolerance.overage * limit + tolerance.slack
    spare -= rate_per_s * LEND_TIMEOUT_S + capacity - burst
    if spare < 0:
        rate_per_s = max(
            0.1 * rate_per_s, rate_per_s + spare / tolerance.window_s
        )
        spare = 0.0
    return Budget(
        rate_per_s,
        capacity + (1 - LOCAL_SHARE - START_SHARE) * spare,
        START_SHARE * spare,
        LOCAL_SHARE * spare,
    )
