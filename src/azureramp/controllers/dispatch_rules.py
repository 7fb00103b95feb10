"""Rules for queueing, starting and writing sub-requests."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import blackboard, errors
from azureramp.controllers import (
    health_probes,
    owned_searcher,
    poison_detection,
)
from azureramp.policy import waits

LEASE_MARGIN_S = 0.05
"""A call to a cold searcher ends this long before the lease does, in
seconds."""

MIN_TIME_SHARE = 0.8
"""Minimum share of the expected service time that must remain before the
deadline for a sub-request to be started, or after its estimated wait for it to
be queued. With less time, it would only take a slot from a sub-request that can
still finish in time."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The first byte may be written now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Postponed:
    """The sub-request returns to the queue.

    Attributes:
        reason: A description of the reason.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The sub-request returns to its coordinator without being written.

    Attributes:
        failure: The reason.
    """

    failure: errors.Failure


Decision = Allowed | Postponed | Refused


class DispatchRules:
    """Decides at each step of a sub-request whether it may proceed."""

    __slots__ = ("_board", "_detector", "_holdings", "_prober")

    def __init__(
        self,
        board: blackboard.Blackboard,
        holdings: owned_searcher.Holdings,
        detector: poison_detection.PoisonDetector,
        prober: health_probes.Prober,
    ) -> None:
        """Creates the rules of a process."""
        self._board = board
        self._holdings = holdings
        self._detector = detector
        self._prober = prober

    def check_queueing(
        self, owned: OwnedSearcher, part: Part
    ) -> errors.Failure | None:
        """Returns why a sub-request can't be queued; None if it can."""
        if owned.place.refusal_kind is not None:
            return errors.Failure(owned.place.refusal_kind)
        if not owned.reachable and owned.health is not None:
            return errors.Failure(
                errors.Kind.CONNECTION_LOST, "the searcher is down"
            )
        left_ms = (part.deadline_s - _now_s()) * 1000
        if left_ms <= 0:
            return errors.Failure(errors.Kind.DEADLINE_TOO_SHORT)
        suspicion = self._detector.get_refusal(part, owned)
        if suspicion is not None:
            return suspicion
        before = owned.queue.count_before(part.batch.priority)
        wait_ms = self.estimate_wait_ms(owned, before)
        least_ms = owned.ramp.get_expected_ms() * MIN_TIME_SHARE
        if before and wait_ms + least_ms >= left_ms:
            return errors.Failure(
                errors.Kind.DEADLINE_TOO_SHORT, "", int(wait_ms)
            )
        return None

    def make_overloaded(self, owned: OwnedSearcher) -> errors.Failure:
        """Creates the failure for a full queue, with its drain time."""
        wait_ms = self.estimate_wait_ms(owned, len(owned.queue))
        kind = errors.Kind.COLD if owned.is_cold() else errors.Kind.OVERLOADED
        return errors.Failure(kind, "", max(1, int(wait_ms)))

    def estimate_wait_ms(self, owned: OwnedSearcher, before: int) -> float:
        """Estimates the wait behind `before` others, in milliseconds."""
        return waits.estimate_wait_ms(
            before,
            owned.count_in_use(_now_s()),
            owned.ramp.limit,
            owned.ramp.get_expected_ms(),
        )

    def may_start(self, owned: OwnedSearcher) -> bool:
        """Returns True if calls may start on a searcher now.

        Starts a health read if its incarnation must be confirmed first.
        """
        if not owned.reachable or owned.place.refusal_kind is not None:
            return False
        if not self._prober.is_confirmed(owned):
            self._prober.probe(owned)
            return False
        return not owned.is_cold() or self.get_lease_s() > 0

    def is_too_late(self, owned: OwnedSearcher, part: Part) -> bool:
        """Returns True if a sub-request is unlikely to finish in time."""
        least_ms = owned.ramp.get_expected_ms() * MIN_TIME_SHARE
        return (part.deadline_s - _now_s()) * 1000 <= least_ms

    def get_lease_s(self) -> float:
        """Returns the maximum duration of a cold call, in seconds."""
        return self._board.lease_until_s - LEASE_MARGIN_S - _now_s()

    def decide_write(self, owned: OwnedSearcher, part: Part) -> Decision:
        """Decides immediately before the first byte is written.

        Between the start of a call and its first byte a connection may have
        to be opened, and the process may have been paused. So every condition
        of the start is checked again here, and there is no await between this
        check and the write: a process that resumes after a pause must not
        send to a cold searcher that another VM owns by then.
        """
        if self._holdings.owned.get(owned.get_name()) is not owned:
            return Refused(errors.Failure(errors.Kind.NOT_OWNER))
        if owned.place.refusal_kind is not None:
            return Refused(errors.Failure(owned.place.refusal_kind))
        # A zone may have been taken out of service while this process was
        # paused or disconnected. After this time a change that this process
        # hasn't received may have been accepted.
        if _now_s() >= self._board.may_work_until_s:
            kind = errors.Kind.STALE_CONFIGURATION
            return Refused(errors.Failure(kind))
        suspicion = self._detector.get_refusal(part, owned)
        if suspicion is not None:
            return Refused(suspicion)
        if not self._prober.is_confirmed(owned):
            return Postponed("the searcher may have restarted")
        if self._detector.is_suspect(part) and not part.alone:
            return Postponed("the request is now suspect and must run alone")
        if not owned.is_cold():
            return Allowed()
        if self.get_lease_s() <= 0:
            return Refused(errors.Failure(errors.Kind.COLD, "no lease"))
        if owned.count_in_use(_now_s()) > owned.ramp.limit:
            return Postponed("the searcher has entered cold start")
        return Allowed()


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
