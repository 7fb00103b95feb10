"""What this VM knows of the use of each client account's limit."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math

from azureramp import catalog
from azureramp.policy import (
    account_buckets,
    account_credit,
    account_limits,
    window_counts,
)

NEAR_LIMIT_SHARE = 0.7
"""Share of its limit from which on an account is named in the metrics."""

MAX_DECISION_AGE_S = 1.0
"""Maximum time for which it counts that there is no room, in seconds. The
deciding VM may have received a raised limit since, or later than this VM."""


@dataclasses.dataclass(slots=True, frozen=True)
class AccountUse:
    """One VM's view of an account, for operators.

    Attributes:
        account: The account's name.
        rate_per_s: Its limit's rate.
        burst: Its limit's burst.
        owner: The VM that decides for it; empty if unknown.
        owner_age_s: Time since that VM last answered about it, in seconds;
            infinite if it has not.
        credit: Requests that this VM may send without the deciding VM.
        unsettled: Of these, those that are used.
        uses: Requests admitted by this VM in the last window.
        refusals: Requests refused by this VM in the last window.
        last_refused_age_s: Time since the last refusal, in seconds; infinite
            if there was none.
    """

    account: str
    rate_per_s: float
    burst: float
    owner: str
    owner_age_s: float
    credit: float
    unsettled: int
    uses: int
    refusals: int
    last_refused_age_s: float


class UseRecord:
    """The state of one account on this VM.

    Attributes:
        account: The account as configured when it was last used.
        tolerance: The tolerance of its limit.
        budget: Its budget.
        credit: This VM's credit.
        waiters: The requests that wait for the deciding VM, oldest first.
        uses: The requests that were admitted.
        refusals: The requests that were refused.
        room_s: Until when the deciding VM has no room.
        next_return_s: The time at which the caller of the latest refusal may
            return.
        spacing_s: Time between two such times, in seconds.
        decided_s: When the deciding VM last answered.
        in_flight: Number of waiting requests in the report that is under way;
            None if there is no such report.
        redirect: A VM to report to instead of the owner by this VM's list,
            which the owner named; empty if there is none.
        redirect_until_s: Until when that holds.
        limited_s: When the account reached its limit; None while it is within
            it.
    """

    __slots__ = (
        "account",
        "budget",
        "credit",
        "decided_s",
        "in_flight",
        "limited_s",
        "next_return_s",
        "redirect",
        "redirect_until_s",
        "refusals",
        "room_s",
        "spacing_s",
        "tolerance",
        "uses",
        "waiters",
    )

    def __init__(
        self,
        account: catalog.Account,
        tolerance: account_limits.Tolerance,
        settled: int,
    ) -> None:
        """Creates the state of an account of which nothing is used.

        Args:
            account: The account.
            tolerance: The tolerance of the limits.
            settled: The first running total of the credit.
        """
        self.credit = account_credit.AccountCredit(settled)
        self.waiters: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )
        self.uses = window_counts.WindowCount(tolerance.window_s)
        self.refusals = window_counts.WindowCount(tolerance.window_s)
        self.decided_s = -math.inf
        self.in_flight: int | None = None
        self.limited_s: float | None = None
        self.redirect = ""
        self.redirect_until_s = -math.inf
        self.configure(account, tolerance)

    def is_configured(
        self, account: catalog.Account, tolerance: account_limits.Tolerance
    ) -> bool:
        """Returns True if the limit is the same as before."""
        return (
            self.account.rate_per_s == account.rate_per_s
            and self.account.burst == account.burst
            and self.tolerance == tolerance
        )

    def configure(
        self, account: catalog.Account, tolerance: account_limits.Tolerance
    ) -> None:
        """Applies a new limit; what was said of the old one no longer counts.

        Args:
            account: The account.
            tolerance: The tolerance of the limits.
        """
        self.account = account
        self.tolerance = tolerance
        self.budget = account_limits.compute_budget(
            account.rate_per_s, account.burst, tolerance
        )
        self.room_s = -math.inf
        self.next_return_s = -math.inf
        self.spacing_s = 0.0

    def may_have_room(self, now_s: float) -> bool:
        """Returns True if the deciding VM should be asked for room."""
        return (
            now_s >= self.room_s or now_s >= self.decided_s + MAX_DECISION_AGE_S
        )

    def choose_return_s(self, now_s: float) -> float:
        """Returns when a refused caller should return, and reserves the time.

        Args:
            now_s: The current time.
        """
        horizon_s = account_buckets.RETURN_HORIZON_S
        slot_s = self.next_return_s + self.spacing_s
        first_s = max(now_s, self.room_s)
        if not first_s <= slot_s <= max(first_s, now_s + horizon_s):
            slot_s = first_s
        self.next_return_s = slot_s
        return slot_s

    def answer_next(self, granted: bool) -> None:
        """Answers the request that has waited longest."""
        waiter = self.waiters.popleft()
        if not waiter.done():
            waiter.set_result(granted)

    def describe(
        self, owner: str, share: float, window_s: float, now_s: float
    ) -> AccountUse:
        """Describes the account for operators; see `explain`."""
        refused_s = self.refusals.last_s
        return AccountUse(
            account=self.account.name,
            rate_per_s=self.account.rate_per_s,
            burst=self.account.burst,
            owner=owner,
            owner_age_s=now_s - self.decided_s,
            credit=self.budget.local * share,
            unsettled=self.credit.count_unsettled(now_s, window_s),
            uses=self.uses.get(now_s),
            refusals=self.refusals.get(now_s),
            last_refused_age_s=math.inf
            if refused_s is None
            else now_s - refused_s,
        )

    def explain(
        self, owner: str, share: float, window_s: float, now_s: float
    ) -> str:
        """Describes what is known of the account, and how old it is.

        Args:
            owner: The VM that decides for it; empty if unknown.
            share: This VM's share of the credit of all VMs, 0 to 1.
            window_s: The window of the limit, in seconds.
            now_s: The current time.
        """
        if math.isinf(self.decided_s):
            known = "has not decided yet"
        else:
            known = f"decided {now_s - self.decided_s:.2f} s ago"
        if now_s < self.room_s:
            known += f", room in {self.room_s - now_s:.2f} s"
        unsettled = self.credit.count_unsettled(now_s, window_s)
        return (
            f"limit {self.account.rate_per_s:g}/s and {self.account.burst:g};"
            f" {owner or 'no VM'} {known};"
            f" {unsettled} of this VM's credit of"
            f" {self.budget.local * share:.1f} not settled;"
            f" {self.uses.get(now_s)} admitted here in {window_s:g} s"
        )

    def is_near_limit(self, window_s: float, now_s: float) -> bool:
        """Returns True if the uses at this VM are most of the limit."""
        limit = self.account.rate_per_s * window_s + self.account.burst
        return self.uses.get(now_s) > NEAR_LIMIT_SHARE * limit

    def is_idle(self, now_s: float) -> bool:
        """Returns True if nothing of the account's use matters any more."""
        return not (
            self.waiters
            or self.in_flight is not None
            or self.limited_s is not None
            or self.uses.get(now_s)
            or self.refusals.get(now_s)
        )
