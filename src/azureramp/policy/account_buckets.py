"""The bucket from which one VM settles all uses of a client account.

The load: reports of all VMs on an account that may send many times its limit.
Inputs are the reports' running totals. The outcome for each is how much of it
is settled, and if not all of it, when there will be room. Callers that are
refused are told different times to return, so that they don't all come when
there is room for one.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from azureramp.policy import account_limits, account_owners, token_buckets

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
        owner: The VM that this one takes for the owner, if it is another one.
    """

    state: State
    settled: int = 0
    room_s: float = 0.0
    return_s: float = 0.0
    spacing_s: float = 0.0
    owner: str = ""


@dataclasses.dataclass(slots=True)
class _Reporter:
    """What a process has reported.

    Attributes:
        settled: The running total that is settled.
        seen_s: When it last reported.
    """

    settled: int
    seen_s: float


class AccountBucket:
    """An account's bucket and the processes that use it.

    Attributes:
        active: False while this VM may not lend from it.
        interrupted: True if this VM was out of touch since it last lent.
        stopped_s: When this VM last stopped to lend from it.
        tokens: The tokens.
    """

    __slots__ = (
        "_next_return_s",
        "_reporters",
        "active",
        "interrupted",
        "stopped_s",
        "tokens",
    )

    def __init__(self, tokens: token_buckets.TokenBucket, now_s: float) -> None:
        """Creates a bucket from which this VM may not lend yet.

        Args:
            tokens: The tokens.
            now_s: The current time, in seconds.
        """
        self.active = False
        self.interrupted = False
        self.stopped_s = now_s
        self.tokens = tokens
        self._reporters: dict[str, _Reporter] = {}
        self._next_return_s = -math.inf

    def stop(self, now_s: float) -> None:
        """Stops lending; the bucket doesn't refill until it is resumed."""
        self.tokens.refill(now_s)
        self.active = False
        self.stopped_s = now_s

    def resume(
        self, budget: account_limits.Budget, since_s: float, now_s: float
    ) -> None:
        """Starts lending.

        Args:
            budget: The account's budget.
            since_s: Since when no other VM can have lent, in seconds.
            now_s: The current time, in seconds.
        """
        if self.interrupted:
            # Another VM may have lent in the meantime.
            self.tokens.skip_to(now_s)
            self.tokens.level = min(self.tokens.level, budget.start)
            self.interrupted = False
        else:
            self.tokens.skip_to(since_s)
        self.active = True

    def give_up(self, budget: account_limits.Budget, now_s: float) -> float:
        """Returns the level to hand over to another VM."""
        if self.active:
            self.tokens.refill(now_s)
        if self.interrupted:
            return min(self.tokens.level, budget.start)
        return self.tokens.level

    def set_budget(self, budget: account_limits.Budget, now_s: float) -> None:
        """Applies the account's limit if it has changed."""
        self.tokens.set_limit(budget.rate_per_s, budget.capacity, now_s)

    def settle(
        self,
        budget: account_limits.Budget,
        process: str,
        asked: int,
        settled: int,
        now_s: float,
    ) -> Decision:
        """Decides on a process's report; see `Lending.decide`."""
        self.set_budget(budget, now_s)
        reporter = self._reporters.get(process)
        if reporter is None:
            reporter = self._reporters[process] = _Reporter(settled, now_s)
        reporter.seen_s = now_s
        reporter.settled = max(reporter.settled, settled)
        missing = asked - reporter.settled
        reporter.settled += self.tokens.take(missing, now_s)
        if reporter.settled >= asked:
            return Decision(State.LENDING, reporter.settled)
        spacing_s = 1.0 / budget.rate_per_s
        room_s = max(MIN_ROOM_S, self.tokens.get_wait_s(now_s))
        slot_s = self._next_return_s + spacing_s
        if not now_s + room_s <= slot_s <= now_s + RETURN_HORIZON_S:
            slot_s = now_s + room_s
        self._next_return_s = slot_s
        return Decision(
            State.LENDING,
            reporter.settled,
            room_s,
            slot_s - now_s,
            spacing_s * len(self._reporters),
        )

    def is_unused(self, known: bool, old_s: float, now_s: float) -> bool:
        """Returns True if the bucket need not be kept.

        Args:
            known: True if the account is configured.
            old_s: The time before which uses no longer matter, in seconds.
            now_s: The current time, in seconds.
        """
        for process, reporter in list(self._reporters.items()):
            if reporter.seen_s < now_s - account_owners.HISTORY_S:
                del self._reporters[process]
        if any(each.seen_s >= old_s for each in self._reporters.values()):
            return False
        if self.active:
            return not known or self.tokens.is_full(now_s)
        return self.stopped_s < old_s
