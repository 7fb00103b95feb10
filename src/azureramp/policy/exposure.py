"""How many requests a version that isn't proved yet may get.

The pattern: a bad version does harm with each request that it gets, and many
VMs send requests. The operators bound its requests by a share of all requests
to the service, and a fixed number. One VM hands out parts of that as grants:
running totals, so that an answer that is lost or comes twice changes nothing.
"""

from __future__ import annotations

import dataclasses
import math

SAFETY = 0.92
"""Part of the bound that is used: requests are counted a moment later than
they are sent, and those of a VM that dies are never counted."""

TRIAL_PART = 0.35
"""Part of it that the trial may use, before all traffic moves. The rest is for
the time in which all traffic is on the new version and it can still turn out
bad."""

MOST_TRIAL_SHARE = 0.5
"""Most of the recent requests that the trial may take: the old version's
answers of the same time say what is usual."""

GRANT_S = 1.0
"""How long a grant is good for, in seconds. A VM out of touch sends nothing to
the new version afterwards."""

RATE_SMOOTHING = 0.3
"""Weight of the newest report in a VM's rate of requests."""

SHORTEST_S = 0.05
"""Least time between two reports by which a rate is measured, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """The operators' bound.

    Attributes:
        share: Most of all requests to the service between the order and its
            deadline, 0 to 1.
        fixed: Requests added to that.
        stop_s: How long after the 50th bad answer the last request may be
            sent, in seconds.
    """

    share: float = 0.05
    fixed: float = 0.0
    stop_s: float = 5.0

    def get_grant_s(self) -> float:
        """Returns how long a grant is good for, in seconds."""
        return min(GRANT_S, self.stop_s / 5)


def count_allowed(terms: Terms, requests: float) -> int:
    """Counts the requests that the new version may get so far.

    Args:
        terms: The operators' bound.
        requests: Requests to the service since the order.
    """
    return math.floor(SAFETY * (terms.share * requests + terms.fixed))


@dataclasses.dataclass(slots=True)
class Account:
    """What one VM's process was granted, in running totals.

    Attributes:
        requests: Requests to the service that it reported.
        spent: Calls to the new version that it reported.
        base: What of these calls other drivers granted.
        limit: Calls that it may make, at most.
        held_until_s: Until then it may go by that limit.
        reported_s: When it last reported.
        rate: Its requests a second, of late.
    """

    requests: int
    spent: int
    base: int
    limit: int
    held_until_s: float
    reported_s: float
    rate: float = 0.0


class Ledger:
    """Grants of one roll-out, by the process that drives it.

    Attributes:
        requests: Requests to the service since the order.
    """

    __slots__ = ("_accounts", "_before", "_is_first", "_terms", "requests")

    def __init__(self, terms: Terms, reserved: int, requests: int) -> None:
        """Makes a ledger.

        Args:
            terms: The operators' bound.
            reserved: Calls that earlier drivers may have granted.
            requests: Requests that earlier drivers counted.
        """
        self._terms = terms
        self._before = reserved
        self._is_first = not reserved and not requests
        self._accounts: dict[str, Account] = {}
        self.requests = requests

    def take(
        self, process: str, requests: int, spent: int, now_s: float
    ) -> None:
        """Takes a process's running totals."""
        account = self._accounts.get(process)
        if account is None:
            self._accounts[process] = Account(
                requests, spent, spent, spent, now_s, now_s
            )
            # An earlier driver has counted what came before.
            if self._is_first:
                self.requests += requests
            return
        new = max(0, requests - account.requests)
        elapsed_s = max(now_s - account.reported_s, SHORTEST_S)
        account.rate += RATE_SMOOTHING * (new / elapsed_s - account.rate)
        account.requests += new
        account.reported_s = now_s
        account.spent = max(account.spent, spent)
        account.limit = max(account.limit, account.spent)
        self.requests += new

    def grant(self, process: str, wanted: int, now_s: float) -> int:
        """Grants calls to a process that has reported.

        A limit that is lowered binds once the higher one has run out: the
        answer that lowers it may get lost.

        Args:
            process: The process.
            wanted: How many calls it may have ahead of it.
            now_s: The time.

        Returns:
            The limit of its calls, as a running total.
        """
        account = self._accounts[process]
        limit = account.spent + wanted
        if limit >= account.limit or now_s >= account.held_until_s:
            account.limit = limit
            account.held_until_s = now_s + self._terms.get_grant_s()
        return limit

    def count_ahead(self, process: str) -> int:
        """Counts the calls that a process may still make."""
        account = self._accounts[process]
        return account.limit - account.spent

    def get_process_rate(self, process: str) -> float:
        """Returns a process's requests a second, of late."""
        account = self._accounts.get(process)
        return account.rate if account else 0.0

    def count_used(self) -> int:
        """Counts the calls that may have been made to the new version."""
        return self._before + sum(
            account.limit - account.base for account in self._accounts.values()
        )

    def get_rate(self) -> float:
        """Returns the requests a second to the service, of late."""
        return sum(account.rate for account in self._accounts.values())


def divide(ledger: Ledger, process: str, left: int, grant_s: float) -> int:
    """Returns how many calls a process should have ahead of it.

    Grants go by the requests that a process takes, no further than until it
    asks again: what one that takes none holds, others can't use.

    Args:
        ledger: The grants.
        process: The process.
        left: Calls that can be granted to all processes together.
        grant_s: How long a grant is good for, in seconds.
    """
    rate, total = ledger.get_process_rate(process), ledger.get_rate()
    part = rate / total if total > 0 else 1.0
    more = max(min(left, 1), round(left * part))
    most = max(1, math.ceil(rate * grant_s))
    return max(0, min(ledger.count_ahead(process) + more, most))
