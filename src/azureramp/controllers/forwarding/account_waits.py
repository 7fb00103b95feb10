"""Logs client accounts on which their owner can't decide."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import logbook

from azureramp.policy import account_buckets, account_owners

LONG_WAIT_S = 1.0
"""Time without a decision on an account after which it is logged, in
seconds."""

_logger = logbook.Logger("azureramp.account_decider")


@dataclasses.dataclass(slots=True)
class _Wait:
    """A time in which this VM owns an account but can't decide on it.

    Attributes:
        since_s: When it began.
        asked_s: When a report last met it.
        logged: True once it was logged.
    """

    since_s: float
    asked_s: float
    logged: bool = False


class AccountWaits:
    """The accounts that this VM owns but can't decide on."""

    __slots__ = ("_describe_holders", "_waits")

    def __init__(self, describe_holders: Callable[[str, float], str]) -> None:
        """Creates a record without accounts.

        Args:
            describe_holders: Describes which VMs hold an account at a time.
        """
        self._describe_holders = describe_holders
        self._waits: dict[str, _Wait] = {}

    def record(
        self, account: str, state: account_buckets.State, now_s: float
    ) -> None:
        """Records the state that a report has met, and logs long waits."""
        match state:
            case (
                account_buckets.State.LENDING | account_buckets.State.NOT_OWNER
            ):
                self._end(account, state, now_s)
            case _:
                self._continue(account, state, now_s)

    def drop_idle(self, now_s: float) -> None:
        """Drops the accounts on which nobody reports any more."""
        for account, wait in list(self._waits.items()):
            if now_s - wait.asked_s > account_owners.HISTORY_S:
                del self._waits[account]

    def _continue(
        self, account: str, state: account_buckets.State, now_s: float
    ) -> None:
        wait = self._waits.setdefault(account, _Wait(now_s, now_s))
        wait.asked_s = now_s
        if not wait.logged and now_s - wait.since_s >= LONG_WAIT_S:
            wait.logged = True
            _logger.info(
                "account {}: {} for {:.1f} s; held by {}",
                account,
                state.value,
                now_s - wait.since_s,
                self._describe_holders(account, now_s) or "no other VM",
            )

    def _end(
        self, account: str, state: account_buckets.State, now_s: float
    ) -> None:
        wait = self._waits.pop(account, None)
        if wait is not None and wait.logged:
            _logger.info(
                "account {}: {} after {:.1f} s",
                account,
                state.value,
                now_s - wait.since_s,
            )
