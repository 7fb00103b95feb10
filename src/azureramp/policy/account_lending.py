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

import math
from collections.abc import Container

from azureramp.policy import (
    account_buckets,
    account_handovers,
    account_limits,
    account_owners,
    limit_shares,
    token_buckets,
)

MAX_PAUSE_S = 1.0
"""Maximum time between two observations, in seconds, after which the process
counts as paused: it may have missed changes of the list."""


class Lending:
    """The accounts for which one VM decides."""

    __slots__ = (
        "_buckets",
        "_confirmed_s",
        "_first_start",
        "_handovers",
        "_hold_until_s",
        "_observed_s",
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
        self._buckets: dict[str, account_buckets.AccountBucket] = {}
        self._handovers = account_handovers.Handovers()
        self._observed_s = started_s
        self._hold_until_s = -math.inf
        # When VMs that had this VM's list were asked for it.
        self._confirmed_s: dict[str, float] = {}

    def observe(
        self,
        advertised: frozenset[str],
        contact_age_s: float,
        now_s: float,
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
            and not self._is_confirmed(contact_age_s, now_s)
        ) or now_s - self._observed_s > MAX_PAUSE_S
        if out_of_touch:
            self._hold_until_s = now_s + limit_shares.MAX_UPDATE_DELAY_S
        self._observed_s = now_s
        changed = self.history.update(advertised, now_s)
        if not out_of_touch and not changed:
            return
        for account, bucket in self._buckets.items():
            if bucket.active and (out_of_touch or not self._is_owner(account)):
                bucket.interrupted |= out_of_touch
                bucket.stop(now_s)

    def record_list(
        self, vm: str, list_id: int, sent_s: float, now_s: float
    ) -> None:
        """Records which list another VM has.

        Args:
            vm: The VM.
            list_id: Identifies its list.
            sent_s: When it was asked, in seconds.
            now_s: The current time, in seconds.
        """
        self.history.record_list(vm, list_id, now_s)
        if list_id == account_owners.compute_list_id(self.history.current):
            self._confirmed_s[vm] = sent_s
        else:
            self._confirmed_s.pop(vm, None)

    def find_unheard(self, contact_age_s: float) -> set[str]:
        """Returns the VMs that should be asked which list they have.

        Args:
            contact_age_s: Time since the last contact with the store, in
                seconds.
        """
        vms = self.history.find_unheard()
        if contact_age_s > limit_shares.STALE_CONTACT_S / 2:
            vms |= self.history.current - {self._vm}
        return vms

    def decide(
        self,
        account: str,
        budget: account_limits.Budget,
        process: str,
        asked: int,
        settled: int,
        now_s: float,
    ) -> account_buckets.Decision:
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
        bucket = self._get_bucket(account, budget, now_s)
        if isinstance(bucket, account_buckets.State):
            owner = self.history.get_owner(account)
            return account_buckets.Decision(
                bucket, owner="" if owner == self._vm else owner
            )
        return bucket.settle(budget, process, asked, settled, now_s)

    def set_budget(
        self, account: str, budget: account_limits.Budget, now_s: float
    ) -> None:
        """Applies an account's new limit, if this VM lends from its bucket."""
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.active:
            bucket.set_budget(budget, now_s)

    def find_holders(self, account: str, now_s: float) -> frozenset[str]:
        """Returns the VMs that must give up an account before it is lent."""
        rivals = self.history.find_rivals(account)
        return self._handovers.find_holders(account, rivals, now_s)

    def release(
        self,
        account: str,
        budget: account_limits.Budget,
        vm: str,
        now_s: float,
    ) -> account_handovers.Released:
        """Gives up an account to another VM that takes itself for its owner.

        This VM gives it up even if it takes itself for the owner. It doesn't
        lend again before it has got the account back.

        Args:
            account: The account's name.
            budget: Its budget.
            vm: The other VM.
            now_s: The current time, in seconds.
        """
        self._get_bucket(account, budget, now_s)
        bucket = self._buckets.pop(account, None)
        level = None if bucket is None else bucket.give_up(budget, now_s)
        holder = self._handovers.give(account, vm, level, now_s)
        return account_handovers.Released(level, holder)

    def count_handovers(self) -> int:
        """Returns the number to pass to `apply_release` of a request's answer.

        It must be read before the request is sent.
        """
        return self._handovers.count

    def apply_release(
        self,
        account: str,
        budget: account_limits.Budget,
        vm: str,
        released: account_handovers.Released,
        asked_at: int,
        now_s: float,
    ) -> None:
        """Takes over an account from a VM that gave it up.

        Args:
            account: The account's name.
            budget: Its budget.
            vm: The VM.
            released: Its answer.
            asked_at: `count_handovers` when it was asked.
            now_s: The current time, in seconds.
        """
        holder = "" if released.holder == self._vm else released.holder
        counts = self._handovers.receive(account, vm, holder, asked_at, now_s)
        if not counts or released.level is None:
            return
        level = released.level
        if account in self._buckets:
            level = min(level, self._buckets[account].tokens.level)
        tokens = token_buckets.TokenBucket(
            budget.rate_per_s, budget.capacity, level, now_s
        )
        self._buckets[account] = account_buckets.AccountBucket(tokens, now_s)

    def list_active(self) -> list[str]:
        """Returns the accounts from whose bucket this VM lends."""
        return [name for name, each in self._buckets.items() if each.active]

    def drop_idle(
        self, known: Container[str], window_s: float, now_s: float
    ) -> None:
        """Drops what is no longer needed.

        Args:
            known: The names of the accounts of the configuration.
            window_s: The window of the limits, in seconds.
            now_s: The current time, in seconds.
        """
        old_s = now_s - window_s - account_handovers.GIVEN_S
        for account, bucket in list(self._buckets.items()):
            if bucket.is_unused(account in known, old_s, now_s):
                del self._buckets[account]
        self._handovers.drop_old(old_s)

    def _is_confirmed(self, contact_age_s: float, now_s: float) -> bool:
        """Returns True if most VMs have the same list, in an outage."""
        current = self.history.current
        if contact_age_s > account_owners.OUTAGE_S or self._vm not in current:
            return False
        oldest_s = now_s - account_owners.CONFIRMED_S
        same = sum(
            self._confirmed_s.get(vm, -math.inf) >= oldest_s for vm in current
        )
        return same + 1 >= account_owners.get_majority(current)

    def _is_owner(self, account: str) -> bool:
        return self.history.get_owner(account) == self._vm

    def _get_bucket(
        self, account: str, budget: account_limits.Budget, now_s: float
    ) -> account_buckets.AccountBucket | account_buckets.State:
        """Returns an account's bucket if this VM may lend from it."""
        if not self._is_owner(account):
            return account_buckets.State.NOT_OWNER
        if now_s < self._hold_until_s:
            return account_buckets.State.OUT_OF_TOUCH
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.active:
            return bucket
        if self.find_holders(account, now_s):
            return account_buckets.State.TAKING_OVER
        since_s = self._get_sole_since_s(account, now_s)
        if bucket is None:
            bucket = self._make_bucket(account, budget, since_s, now_s)
            self._buckets[account] = bucket
        bucket.resume(budget, since_s, now_s)
        return bucket

    def _get_sole_since_s(self, account: str, now_s: float) -> float:
        """Returns since when no other VM can have lent, in seconds."""
        times_s = (
            self.history.get_sole_since_s(account),
            self._hold_until_s,
            self._handovers.get_latest_s(account),
        )
        return min(now_s, max(times_s))

    def _make_bucket(
        self,
        account: str,
        budget: account_limits.Budget,
        since_s: float,
        now_s: float,
    ) -> account_buckets.AccountBucket:
        """Creates a bucket whose predecessor's use is unknown.

        It holds no more than this VM has given away: the account may return
        without its bucket many times in a window.
        """
        is_first = self._is_first_bucket(since_s, now_s)
        level = budget.capacity if is_first else budget.start
        level = min(level, self._handovers.get_given_level(account))
        tokens = token_buckets.TokenBucket(
            budget.rate_per_s, budget.capacity, level, since_s
        )
        return account_buckets.AccountBucket(tokens, now_s)

    def _is_first_bucket(self, since_s: float, now_s: float) -> bool:
        """Returns True if nothing can have been lent before this bucket."""
        return (
            self._first_start
            and since_s <= self._started_s
            and now_s >= self._started_s + limit_shares.MAX_UPDATE_DELAY_S
        )
