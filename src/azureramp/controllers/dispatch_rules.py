"""Whether a sub-request may wait for a searcher, start, and be written."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import blackboard, errors
from azureramp.controllers import owned_searcher, poisoning, probing
from azureramp.policy import queues

LEASE_MARGIN_S = 0.05
"""A call to a cold searcher ends so long before the lease does, in seconds."""

USELESS_SHARE = 0.8
"""With less than this share of the expected service time left, a sub-request
isn't started any more, and with less after its wait isn't queued: it would
only take a slot from another one that can still be in time."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The first byte may be written now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Postponed:
    """The sub-request goes back to the queue.

    Attributes:
        reason: Why, in words.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The sub-request goes back to its coordinator.

    Attributes:
        failure: Why.
    """

    failure: errors.Failure


Decision = Allowed | Postponed | Refused


class DispatchRules:
    """The rules, asked at each step of a sub-request."""

    __slots__ = ("_board", "_holdings", "_poisoning", "_prober")

    def __init__(
        self,
        board: blackboard.Blackboard,
        holdings: owned_searcher.Holdings,
        suspects: poisoning.Poisoning,
        prober: probing.Prober,
    ) -> None:
        """Makes the rules of a process."""
        self._board = board
        self._holdings = holdings
        self._poisoning = suspects
        self._prober = prober

    def refuse_waiting(
        self, owned: OwnedSearcher, part: Part
    ) -> errors.Failure | None:
        """Returns why a sub-request can't be queued; None if it can."""
        if owned.place.refusal is not None:
            return errors.Failure(owned.place.refusal)
        if not owned.reachable and owned.health is not None:
            return errors.Failure(
                errors.Kind.CONNECTION_LOST, "the searcher is down"
            )
        left_ms = (part.deadline_s - _now_s()) * 1000
        if left_ms <= 0:
            return errors.Failure(errors.Kind.DEADLINE_TOO_SHORT)
        suspicion = self._poisoning.get_refusal(part, owned)
        if suspicion is not None:
            return suspicion
        before = owned.queue.count_before(part.batch.priority)
        wait_ms = self.estimate_wait_ms(owned, before)
        least_ms = owned.ramp.get_expected_ms() * USELESS_SHARE
        if before and wait_ms + least_ms >= left_ms:
            return errors.Failure(
                errors.Kind.DEADLINE_TOO_SHORT, "", int(wait_ms)
            )
        return None

    def make_overloaded(self, owned: OwnedSearcher) -> errors.Failure:
        """Makes the refusal of a full queue, with its drain time."""
        wait_ms = self.estimate_wait_ms(owned, len(owned.queue))
        kind = errors.Kind.COLD if owned.is_cold() else errors.Kind.OVERLOADED
        return errors.Failure(kind, "", max(1, int(wait_ms)))

    def estimate_wait_ms(self, owned: OwnedSearcher, before: int) -> float:
        """Estimates the wait behind so many others, in milliseconds."""
        return queues.estimate_wait_ms(
            before,
            owned.count_in_use(_now_s()),
            owned.ramp.limit,
            owned.ramp.get_expected_ms(),
        )

    def may_start(self, owned: OwnedSearcher) -> bool:
        """Tells whether anything may start on a searcher now."""
        if not owned.reachable or owned.place.refusal is not None:
            return False
        if not self._prober.is_confirmed(owned):
            self._prober.probe(owned)
            return False
        return not owned.is_cold() or self.get_lease_s() > 0

    def is_useless(self, owned: OwnedSearcher, part: Part) -> bool:
        """Tells whether a sub-request could hardly end in time."""
        least_ms = owned.ramp.get_expected_ms() * USELESS_SHARE
        return (part.deadline_s - _now_s()) * 1000 <= least_ms

    def get_lease_s(self) -> float:
        """Returns how long a cold searcher's call may take, in seconds."""
        return self._board.lease_until_s - LEASE_MARGIN_S - _now_s()

    def decide_writing(self, owned: OwnedSearcher, part: Part) -> Decision:
        """Decides right before the first byte.

        Between the start of a call and its first byte a connection may have
        to be opened, and the process may have been paused. So everything
        that allowed the start is looked at again here, and nothing waits
        between this and the write: a paused process must not wake and send
        to a cold searcher that another VM owns by now.
        """
        if self._holdings.owned.get(owned.get_name()) is not owned:
            return Refused(errors.Failure(errors.Kind.NOT_OWNER))
        if owned.place.refusal is not None:
            return Refused(errors.Failure(owned.place.refusal))
        # A zone may have been taken out while this process was paused or cut
        # off; past this time a change may be accepted that is missing here.
        if _now_s() >= self._board.work_until_s:
            kind = errors.Kind.STALE_CONFIGURATION
            return Refused(errors.Failure(kind))
        suspicion = self._poisoning.get_refusal(part, owned)
        if suspicion is not None:
            return Refused(suspicion)
        if not self._prober.is_confirmed(owned):
            return Postponed("its searcher may have restarted")
        if self._poisoning.is_suspect(part) and not part.alone:
            return Postponed("it must run alone by now")
        if not owned.is_cold():
            return Allowed()
        if self.get_lease_s() <= 0:
            return Refused(errors.Failure(errors.Kind.COLD, "no lease"))
        if owned.count_in_use(_now_s()) > owned.ramp.limit:
            return Postponed("its searcher has turned cold")
        return Allowed()


def _now_s() -> float:
    """Reads the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
