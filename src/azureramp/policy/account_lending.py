"""The deciding VM's side of the client accounts' limits.

The load: reports of all VMs on the accounts that this VM decides for, among
them accounts that send many times their limit. Inputs are the reports'
running totals, the lists of advertised VMs, and this VM's contact with the
store. The outcome for each report is how much of it is settled, and if not all
of it, when there will be room.

Only one VM may hold an account's bucket. When an account's owner changes, the
new one asks for the bucket (`release`). If the old one doesn't answer, the new
one waits until it can't be lending any more and starts a bucket of its own.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Container

from azureramp.policy import (
    account_limits,
    account_owners,
    limit_shares,
    token_buckets,
)

MAX_PAUSE_S = 1.0
"""Maximum time between two observations, in seconds, after which the process
counts as paused: it may have missed changes of the list."""

MIN_ROOM_S = 0.1
"""Minimum time for which a VM doesn't report again on an empty bucket, in
seconds. It bounds the messages of an account that sends far too much."""

RETURN_HORIZON_S = 10.0
"""Maximum time for which callers that are refused are given different times to
return, in seconds. Later ones share these times."""


class State(enum.Enum):
    """Whether a VM can decide on a report."""

    LENDING = "lending"
    TAKING_OVER = "taking over"
    OUT_OF_TOUCH = "out of touch"
    NOT_OWNER = "not the owner"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """The answer to a report on one account.

    Attributes:
        state: Whether this VM can decide.
        settled: The running total that is settled; 0 unless lending.
        room_s: Time until there is room for the next request, in seconds; 0 if
            all that was asked is settled.
        return_s: Time after which a caller of the reporting VM should return,
            in seconds. It differs for each report.
        spacing_s: Time between returns of further callers, in seconds.
    """

    state: State
    settled: int = 0
    room_s: float = 0.0
    return_s: float = 0.0
    spacing_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Released:
    """The answer of a VM that gives up an account.

    Attributes:
        level: The bucket's level; None if it had none.
        holder: Another VM to which it had given the account; empty if none.
    """

    level: float | None
    holder: str = ""


@dataclasses.dataclass(slots=True)
class _Reporter:
    """What a process has reported.

    Attributes:
        settled: The running total that is settled.
        seen_s: When it last reported.
    """

    settled: int
    seen_s: float


@dataclasses.dataclass(slots=True)
class _Lender:
    """An account's bucket.

    Attributes:
        bucket: The bucket.
        active: False while this VM may not lend from it.
        stopped_s: When this VM last stopped to lend from it.
        interrupted: True if this VM was out of touch since it last lent.
        reporters: The reporting processes by name.
        next_return_s: The time of the latest return that was announced.
    """

    bucket: token_buckets.TokenBucket
    active: bool
    stopped_s: float
    interrupted: bool = False
    reporters: dict[str, _Reporter] = dataclasses.field(default_factory=dict)
    next_return_s: float = -math.inf

    def stop(self, now_s: float) -> None:
        """Stops lending; the bucket doesn't refill until it is resumed."""
        self.bucket.refill(now_s)
        self.active = False
        self.stopped_s = now_s


class Lending:
    """The accounts for which one VM decides."""

    __slots__ = (
        "_first_start",
        "_given_to",
        "_hold_until_s",
        "_lenders",
        "_observed_s",
        "_released_by",
        "_started_s",
        "_vm",
        "history",
    )

    def __init__(self, vm: str, started_s: float, first_start: bool) -> None:
        """Creates the state of a process that has just started.

        Args:
            vm: This VM's name.
            started_s: When the process started, in seconds.
            first_start: True if the whole tier starts for the first time.
        """
        self._vm = vm
        self._started_s = started_s
        self._first_start = first_start
        self.history = account_owners.OwnerHistory(vm, started_s)
        self._lenders: dict[str, _Lender] = {}
        # VMs that were given an account, and until when that matters.
        self._given_to: dict[str, dict[str, float]] = {}
        # VMs that gave up an account, and when.
        self._released_by: dict[str, dict[str, float]] = {}
        self._observed_s = started_s
        self._hold_until_s = -math.inf

    def observe(
        self, advertised: frozenset[str], contact_age_s: float, now_s: float
    ) -> None:
        """Records the current list and the contact with the store.

        Args:
            advertised: The names of the advertised VMs.
            contact_age_s: Time since the last contact with the store, in
                seconds; infinite if there was none.
            now_s: The current time, in seconds.
        """
        out_of_touch = (
            limit_shares.STALE_CONTACT_S < contact_age_s < math.inf
            or now_s - self._observed_s > MAX_PAUSE_S
        )
        if out_of_touch:
            self._hold_until_s = now_s + limit_shares.MAX_UPDATE_DELAY_S
        self._observed_s = now_s
        changed = self.history.update(advertised, now_s)
        if not out_of_touch and not changed:
            return
        for account, lender in self._lenders.items():
            if not lender.active:
                continue
            if out_of_touch:
                # Another VM may have lent in the meantime.
                lender.interrupted = True
                lender.stop(now_s)
            elif changed and not self._is_owner(account):
                lender.stop(now_s)

    def decide(
        self,
        account: str,
        budget: account_limits.Budget,
        process: str,
        asked: int,
        settled: int,
        now_s: float,
    ) -> Decision:
        """Decides on a process's report.

        Args:
            account: The account's name.
            budget: Its budget.
            process: The reporting process, by a name that changes at each
                start.
            asked: Its running total of uses and waiting requests.
            settled: The total of which it knows that it is settled.
            now_s: The current time, in seconds.
        """
        lender = self._get_lender(account, budget, now_s)
        if isinstance(lender, State):
            return Decision(lender)
        lender.bucket.set_limit(budget.rate_per_s, budget.capacity, now_s)
        reporter = lender.reporters.get(process)
        if reporter is None:
            reporter = lender.reporters[process] = _Reporter(settled, now_s)
        reporter.seen_s = now_s
        reporter.settled = max(reporter.settled, settled)
        missing = asked - reporter.settled
        reporter.settled += lender.bucket.take(missing, now_s)
        if reporter.settled >= asked:
            return Decision(State.LENDING, reporter.settled)
        spacing_s = 1.0 / budget.rate_per_s
        room_s = max(MIN_ROOM_S, lender.bucket.get_wait_s(now_s))
        slot_s = lender.next_return_s + spacing_s
        if not now_s + room_s <= slot_s <= now_s + RETURN_HORIZON_S:
            slot_s = now_s + room_s
        lender.next_return_s = slot_s
        return Decision(
            State.LENDING,
            reporter.settled,
            room_s,
            slot_s - now_s,
            spacing_s * len(lender.reporters),
        )

    def find_holders(self, account: str, now_s: float) -> frozenset[str]:
        """Returns the VMs that must give up an account before it is lent."""
        released = self._released_by.get(account, {})
        oldest_s = now_s - limit_shares.MAX_UPDATE_DELAY_S
        rivals = {
            vm
            for vm in self.history.find_rivals(account, now_s)
            if released.get(vm, -math.inf) < oldest_s
        }
        given = self._given_to.get(account, {})
        return frozenset(rivals | {vm for vm in given if given[vm] > now_s})

    def release(
        self,
        account: str,
        budget: account_limits.Budget,
        vm: str,
        now_s: float,
    ) -> Released:
        """Gives up an account to another VM that takes itself for its owner.

        This VM gives it up even if it takes itself for the owner. It doesn't
        lend again before it has got the account back.

        Args:
            account: The account's name.
            budget: Its budget.
            vm: The other VM.
            now_s: The current time, in seconds.
        """
        self._get_lender(account, budget, now_s)
        lender = self._lenders.pop(account, None)
        level = None
        if lender is not None:
            if lender.active:
                lender.bucket.refill(now_s)
            level = lender.bucket.level
            if lender.interrupted:
                level = min(level, budget.start)
        given = self._given_to.setdefault(account, {})
        holder = next(
            (each for each in given if each != vm and given[each] > now_s), ""
        )
        given.clear()
        # This VM may lag behind the other one, and that one behind a third.
        given[vm] = now_s + 2 * limit_shares.MAX_UPDATE_DELAY_S
        self._released_by.pop(account, None)
        return Released(level, holder)

    def apply_release(
        self,
        account: str,
        budget: account_limits.Budget,
        vm: str,
        released: Released,
        now_s: float,
    ) -> None:
        """Takes over an account from a VM that gave it up.

        Args:
            account: The account's name.
            budget: Its budget.
            vm: The VM.
            released: Its answer.
            now_s: The current time, in seconds.
        """
        self._released_by.setdefault(account, {})[vm] = now_s
        given = self._given_to.setdefault(account, {})
        given.pop(vm, None)
        if released.holder and released.holder != self._vm:
            given[released.holder] = now_s + 2 * limit_shares.MAX_UPDATE_DELAY_S
        if released.level is None:
            return
        lender = self._lenders.get(account)
        level = released.level
        if lender is not None:
            level = min(level, lender.bucket.level)
        self._lenders[account] = _Lender(
            token_buckets.TokenBucket(
                budget.rate_per_s, budget.capacity, level, now_s
            ),
            active=False,
            stopped_s=now_s,
        )

    def list_active(self) -> list[str]:
        """Returns the accounts from whose bucket this VM lends."""
        return [name for name, each in self._lenders.items() if each.active]

    def drop_idle(
        self, known: Container[str], window_s: float, now_s: float
    ) -> None:
        """Drops what is no longer needed.

        Args:
            known: The names of the accounts of the configuration.
            window_s: The window of the limits, in seconds.
            now_s: The current time, in seconds.
        """
        old_s = now_s - window_s - 2 * limit_shares.MAX_UPDATE_DELAY_S
        for account, lender in list(self._lenders.items()):
            for process, reporter in list(lender.reporters.items()):
                if reporter.seen_s < now_s - account_owners.HISTORY_S:
                    del lender.reporters[process]
            idle = all(
                each.seen_s < old_s for each in lender.reporters.values()
            )
            unused = (
                lender.bucket.is_full(now_s) or account not in known
                if lender.active
                else lender.stopped_s < old_s
            )
            if idle and unused:
                del self._lenders[account]
        for times in (self._given_to, self._released_by):
            for account, by_vm in list(times.items()):
                if all(at_s < old_s for at_s in by_vm.values()):
                    del times[account]

    def _is_owner(self, account: str) -> bool:
        return self.history.get_owner(account) == self._vm

    def _get_lender(
        self, account: str, budget: account_limits.Budget, now_s: float
    ) -> _Lender | State:
        """Returns an account's bucket if this VM may lend from it."""
        if not self._is_owner(account):
            return State.NOT_OWNER
        if now_s < self._hold_until_s:
            return State.OUT_OF_TOUCH
        lender = self._lenders.get(account)
        if lender is not None and lender.active:
            return lender
        if self.find_holders(account, now_s):
            return State.TAKING_OVER
        since_s = self._get_sole_since_s(account, now_s)
        if lender is None:
            lender = self._make_lender(budget, since_s, now_s)
            self._lenders[account] = lender
        elif not lender.active:
            # A bucket that another VM released has refilled since then.
            lender.bucket.skip_to(
                now_s if lender.interrupted else min(since_s, now_s)
            )
            if lender.interrupted:
                level = min(lender.bucket.level, budget.start)
                lender.bucket.level = level
                lender.interrupted = False
            lender.active = True
        return lender

    def _get_sole_since_s(self, account: str, now_s: float) -> float:
        """Returns since when no other VM can have lent, in seconds."""
        times_s = [
            self.history.get_sole_since_s(account),
            self._hold_until_s,
            *self._given_to.get(account, {}).values(),
            *self._released_by.get(account, {}).values(),
        ]
        return min(now_s, max(times_s))

    def _make_lender(
        self, budget: account_limits.Budget, since_s: float, now_s: float
    ) -> _Lender:
        """Creates a bucket whose predecessor's use is unknown."""
        level = budget.start
        if self._is_first_bucket(since_s, now_s):
            level = budget.capacity
        bucket = token_buckets.TokenBucket(
            budget.rate_per_s, budget.capacity, level, since_s
        )
        return _Lender(bucket, active=True, stopped_s=now_s)

    def _is_first_bucket(self, since_s: float, now_s: float) -> bool:
        """Returns True if nothing can have been lent before this bucket."""
        return (
            self._first_start
            and since_s <= self._started_s
            and now_s >= self._started_s + limit_shares.MAX_UPDATE_DELAY_S
        )
