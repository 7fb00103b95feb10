"""Limits the requests to a new version that is not yet proven.

Each request to a bad version does harm, and many VMs send requests. The
operators bound the requests to the new version by a share of all requests to
the service plus a fixed number. One VM, the driver, distributes them as grants.
Grants are cumulative totals, so a lost or duplicate answer has no effect.
"""

from __future__ import annotations

import dataclasses
import math

SAFETY_FACTOR = 0.92
"""Fraction of the bound that is used: requests are counted a moment after they
are sent, and the last ones of a VM that crashes are never counted."""

CANARY_SHARE = 0.35
"""Fraction of that allowance for the canary phase, before all traffic moves.
The rest is for the time in which all traffic is on the new version and it may
still prove bad."""

MAX_CANARY_TRAFFIC_SHARE = 0.5
"""Maximum share of the recent requests in the canary phase: the old version's
answers of the same time are the baseline for comparison."""

GRANT_VALIDITY_S = 1.0
"""How long a grant stays valid, in seconds. A VM that loses contact with the
driver sends nothing to the new version afterwards."""

RATE_SMOOTHING = 0.3
"""Weight of the newest report in a VM's smoothed request rate."""

MIN_REPORT_INTERVAL_S = 0.05
"""Minimum time between two reports assumed for a rate, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class ExposureLimit:
    """The operators' bound.

    Attributes:
        share: Maximum share of all requests to the service between the order
            and its deadline, 0 to 1.
        fixed: Number of requests allowed in addition to that share.
        stop_s: Maximum time from the 50th bad answer to the last request, in
            seconds.
    """

    share: float = 0.05
    fixed: float = 0.0
    stop_s: float = 5.0

    def get_grant_s(self) -> float:
        """Returns how long a grant stays valid, in seconds."""
        return min(GRANT_VALIDITY_S, self.stop_s / 5)


def count_allowed_requests(limit: ExposureLimit, requests: float) -> int:
    """Returns how many requests the new version may have received so far.

    Args:
        limit: The operators' bound.
        requests: The number of requests to the service since the order.
    """
    return math.floor(SAFETY_FACTOR * (limit.share * requests + limit.fixed))


@dataclasses.dataclass(slots=True)
class Account:
    """The grants to one VM's process, as cumulative totals.

    Attributes:
        requests: The requests to the service that it reported.
        spent: The calls to the new version that it reported.
        base: The calls to the new version that earlier drivers granted.
        limit: The maximum number of calls that it may make.
        held_until_s: When its right to use that limit expires, in seconds.
        reported_s: When it last reported, in seconds.
        rate: Its smoothed request rate, in requests per second.
    """

    requests: int
    spent: int
    base: int
    limit: int
    held_until_s: float
    reported_s: float
    rate: float = 0.0


class GrantLedger:
    """The grants of one roll-out, kept by the driver.

    Attributes:
        requests: The number of requests to the service since the order.
    """

    __slots__ = ("_accounts", "_is_first", "_limit", "_reserved", "requests")

    def __init__(
        self, limit: ExposureLimit, reserved: int, requests: int
    ) -> None:
        """Creates a ledger.

        Args:
            limit: The operators' bound.
            reserved: The calls that earlier drivers may have granted.
            requests: The requests that earlier drivers counted.
        """
        self._limit = limit
        self._reserved = reserved
        self._is_first = not reserved and not requests
        self._accounts: dict[str, Account] = {}
        self.requests = requests

    def record_report(
        self, process: str, requests: int, spent: int, now_s: float
    ) -> None:
        """Records the cumulative totals that a process reported."""
        account = self._accounts.get(process)
        if account is None:
            self._accounts[process] = Account(
                requests, spent, spent, spent, now_s, now_s
            )
            # Earlier requests were already counted by the earlier driver.
            if self._is_first:
                self.requests += requests
            return
        added = max(0, requests - account.requests)
        elapsed_s = max(now_s - account.reported_s, MIN_REPORT_INTERVAL_S)
        account.rate += RATE_SMOOTHING * (added / elapsed_s - account.rate)
        account.requests += added
        account.reported_s = now_s
        account.spent = max(account.spent, spent)
        account.limit = max(account.limit, account.spent)
        self.requests += added

    def grant(self, process: str, call_count: int, now_s: float) -> int:
        """Grants calls to a process that has reported.

        A lower limit is only counted on once the higher one has expired, since
        the answer that lowers it may be lost.

        Args:
            process: The process.
            call_count: The number of further calls that it may make.
            now_s: The current time, in seconds.

        Returns:
            The limit of its calls, as a cumulative total.
        """
        account = self._accounts[process]
        limit = account.spent + call_count
        if limit >= account.limit or now_s >= account.held_until_s:
            account.limit = limit
            account.held_until_s = now_s + self._limit.get_grant_s()
        return limit

    def count_unused(self, process: str) -> int:
        """Returns the number of calls that a process may still make."""
        account = self._accounts[process]
        return account.limit - account.spent

    def get_process_rate(self, process: str) -> float:
        """Returns a process's smoothed request rate, per second."""
        account = self._accounts.get(process)
        return account.rate if account else 0.0

    def count_used(self) -> int:
        """Returns the maximum number of calls made to the new version."""
        return self._reserved + sum(
            account.limit - account.base for account in self._accounts.values()
        )

    def get_rate(self) -> float:
        """Returns the smoothed request rate of the service, per second."""
        return sum(account.rate for account in self._accounts.values())


def compute_share(
    ledger: GrantLedger, process: str, remaining: int, grant_s: float
) -> int:
    """Returns how many further calls a process should be allowed.

    The calls are divided by the processes' request rates, and a process gets
    no more than it needs until its next report: other processes can't use the
    grants of one that gets no requests.

    Args:
        ledger: The grants.
        process: The process.
        remaining: The number of calls left for all processes together.
        grant_s: How long a grant stays valid, in seconds.
    """
    rate, total = ledger.get_process_rate(process), ledger.get_rate()
    fraction = rate / total if total > 0 else 1.0
    additional = max(min(remaining, 1), round(remaining * fraction))
    max_unused = max(1, math.ceil(rate * grant_s))
    return max(0, min(ledger.count_unused(process) + additional, max_unused))
