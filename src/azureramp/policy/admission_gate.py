"""Decides whose turn it is while the searchers can't take all requests.

Load: a kind of request bursts, an account floods, or searchers fail, so that
more is asked of a set of searchers than they can take. Inputs: the requests
that arrive and end, and whether they met full searchers. Outcome: each request
is sent at once, waits a few milliseconds for its turn, or is refused as not run
with the time to return.

While the searchers keep up, every request is sent at once. Once the number of
running requests is limited, a part of it is kept for the more urgent requests
and for the accounts that have had less than their share (trunk reservation):
such a request seldom has to wait, and the others are refused early.
"""

from __future__ import annotations

import dataclasses
import math

from azureramp.policy import (
    concurrency_limit,
    congestion,
    fair_queue,
    fair_shares,
    waits,
)

PRIORITY_RESERVE = 0.35
"""Part of the limit kept for more urgent requests, for each priority above."""

MAX_RESERVED = 0.9
"""Maximum part of the limit that is kept from a request."""

PRIORITY_MEMORY_S = 1.0
"""How long after its last request a priority counts as competing, in
seconds."""

STANDING_S = 0.1
"""Time after which a queue that did not become empty is a standing one, in
seconds. It only adds a delay, so the accounts that have requests in it must be
more patient no longer than `STANDING_PATIENCE_S`, as in CoDel."""

STANDING_PATIENCE_S = 0.005

MIN_SERVED_SHARE = 0.1
"""Minimum part of the limit that is shared out: with none, nothing would be
sent that shows when there is room."""

MAX_EVIDENCE_AGE_S = 1.0
"""Time without an ended request after which evidence is dropped, in seconds."""

SMOOTHING = 0.1
"""Weight of the latest request in the average duration."""

MIN_RETURN_MS = 20.0
"""Shortest time after which a caller may return, in milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """The request may be sent now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """The request waits; it is refused after `patience_s`, in seconds."""

    patience_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request is not sent.

    Attributes:
        return_ms: When its caller may return, in milliseconds.
        detail: What decided it, for log lines.
    """

    return_ms: int
    detail: str


Decision = Admitted | Queued | Refused


class Gate:
    """Admits the requests to one set of searchers.

    Attributes:
        limit: How many may run at once.
        running: How many are running.
        queue: Those that wait.
        shares: The accounts' shares.
    """

    __slots__ = (
        "_detector",
        "_last_seen_s",
        "_mean_s",
        "_recorded_s",
        "_standing_since_s",
        "limit",
        "queue",
        "running",
        "shares",
    )

    def __init__(self) -> None:
        """Creates a gate that admits everything."""
        self.limit = concurrency_limit.ConcurrencyLimit()
        self.running = 0
        self.queue = fair_queue.FairQueue()
        self.shares = fair_shares.FairShares()
        self._detector = congestion.CongestionDetector()
        self._last_seen_s: dict[int, float] = {}
        self._mean_s = 0.0
        self._recorded_s = -math.inf
        self._standing_since_s = math.inf

    def arrive(self, ticket: fair_queue.Ticket, now_s: float) -> Decision:
        """Decides on a request that arrives."""
        self._last_seen_s[ticket.priority] = now_s
        self.shares.record_asked(ticket.account, ticket.weight, now_s)
        self.limit.record_running(self.running + 1, now_s)
        if math.isinf(self.limit.value) and not self.queue:
            return self._admit(ticket, now_s)
        self._update_shares(now_s)
        before = self.queue.count_before(ticket)
        if not before and (not self.running or self._has_room(ticket, now_s)):
            return self._admit(ticket, now_s)
        patience_s = ticket.patience_s
        if (
            now_s - self._standing_since_s > STANDING_S
            and self.queue.has_others(ticket)
        ):
            patience_s = min(patience_s, STANDING_PATIENCE_S)
        if (
            not self._is_over_share(ticket, now_s)
            and self._estimate_wait_s(ticket, before, now_s) <= patience_s
        ):
            if not self.running:
                # No end of a request would admit it.
                return self._admit(ticket, now_s)
            if not self.queue:
                self._standing_since_s = now_s
            self.queue.push(ticket)
            return Queued(patience_s)
        return self.refuse(ticket, now_s)

    def refuse(self, ticket: fair_queue.Ticket, now_s: float) -> Refused:
        """Refuses a request that is not, or no longer, in the queue.

        The less urgent it is and the more its account has had, the later its
        caller is to return.
        """
        excess = self.shares.get_excess(ticket.account, now_s)
        before = self.queue.count_before(ticket)
        rank = self._get_rank(ticket, now_s)
        drain_s = max(
            self._mean_s, self._estimate_wait_s(ticket, before, now_s)
        ) * (1 + rank)
        if excess > 1.0 and self._is_over_share(ticket, now_s):
            drain_s += fair_shares.HALF_LIFE_S * math.log2(excess)
        detail = (
            f"{self.running} running of {self.limit.value:.1f}, congested "
            f"{now_s - self.limit.congested_s:.1f} s ago, "
            f"{len(self.queue)} waiting, {before} before; "
            f"account at {excess:.2f} of its share"
        )
        return_ms = waits.compute_retry_ms(
            drain_s * 1000, ticket.draw, MIN_RETURN_MS
        )
        return Refused(return_ms, detail)

    def withdraw(self, ticket: fair_queue.Ticket) -> bool:
        """Removes a waiting request; returns False if it was admitted."""
        removed = self.queue.remove(ticket)
        if removed and not self.queue:
            self._standing_since_s = math.inf
        return removed

    def end(
        self,
        started_s: float,
        outcome: congestion.Outcome | None,
        now_s: float,
    ) -> list[fair_queue.Ticket]:
        """Records the end of an admitted request.

        Args:
            started_s: When it was admitted.
            outcome: What its calls met; None if it shows nothing, since its
                caller left or it was not sent.
            now_s: The current time, in seconds.

        Returns:
            The waiting requests that are admitted now.
        """
        running = self.running
        self.running -= 1
        if outcome is not None:
            if now_s - self._recorded_s > MAX_EVIDENCE_AGE_S:
                self._detector = congestion.CongestionDetector()
            self._recorded_s = now_s
            evidence = self._detector.record(outcome)
            if not outcome.is_lost():
                took_s = now_s - started_s
                self._mean_s = self._mean_s or took_s
                self._mean_s += SMOOTHING * (took_s - self._mean_s)
            self.limit.record_end(evidence, started_s, running, now_s)
        return self._admit_waiting(now_s)

    def get_mean_s(self) -> float:
        """Returns the average duration of a request, in seconds; 0 at first."""
        return self._mean_s

    def _admit_waiting(self, now_s: float) -> list[fair_queue.Ticket]:
        """Admits the waiting requests for which there is room, in order."""
        admitted: list[fair_queue.Ticket] = []
        while ticket := self._find_next(now_s):
            self.queue.remove(ticket, served=True)
            self._admit(ticket, now_s)
            admitted.append(ticket)
        if not self.queue:
            self._standing_since_s = math.inf
        return admitted

    def _find_next(self, now_s: float) -> fair_queue.Ticket | None:
        """Returns the next waiting request for which there is room."""
        for ticket in self.queue.list_next():
            # While none runs, no end of a request would admit it later.
            if not self.running or self._has_room(ticket, now_s):
                return ticket
        return None

    def _admit(self, ticket: fair_queue.Ticket, now_s: float) -> Admitted:
        """Records that a request is sent."""
        self.running += 1
        self.shares.record_granted(ticket.account, now_s)
        return Admitted()

    def _has_room(self, ticket: fair_queue.Ticket, now_s: float) -> bool:
        """Returns True if one more request like this may run.

        A fraction of a reduced room counts as that share of the requests: where
        each VM has room for one or two, whole numbers couldn't keep a part.
        """
        room = self._get_room(ticket, now_s)
        if room == self.limit.value:
            return self.running < room
        return self.running + ticket.draw <= room

    def _get_room(self, ticket: fair_queue.Ticket, now_s: float) -> float:
        """Returns how many requests may run for this one to be sent."""
        limit = self.limit.value
        if math.isinf(limit):
            return limit
        reserved = PRIORITY_RESERVE * self._get_rank(ticket, now_s)
        excess = 1.0
        if self.shares.asks_for_more(ticket.account):
            reserved += self.shares.reserved
            excess = max(1.0, self.shares.get_excess(ticket.account, now_s))
        return limit * (1.0 - min(MAX_RESERVED, reserved)) / excess

    def _get_rank(self, ticket: fair_queue.Ticket, now_s: float) -> int:
        """Returns how many more urgent priorities compete."""
        return sum(
            priority < ticket.priority and now_s - seen_s < PRIORITY_MEMORY_S
            for priority, seen_s in self._last_seen_s.items()
        )

    def _is_over_share(self, ticket: fair_queue.Ticket, now_s: float) -> bool:
        """Returns True if the account has had its share and others ask less."""
        return (
            self.shares.reserved > 0
            and self.shares.get_excess(ticket.account, now_s) >= 1.0
        )

    def _update_shares(self, now_s: float) -> None:
        """Updates the shares for what can be served."""
        if self._mean_s > 0:
            # By Little's law, the limit is the rate times the duration.
            per_s = self.limit.value / self._mean_s
            # While requests show congestion, that rate is more than is served.
            share = max(MIN_SERVED_SHARE, 1.0 - self._detector.mean_congested)
            self.shares.update(per_s * share, now_s)

    def _estimate_wait_s(
        self, ticket: fair_queue.Ticket, before: int, now_s: float
    ) -> float:
        """Estimates how long a request waits for its turn, in seconds."""
        room = self._get_room(ticket, now_s)
        if math.isinf(room):
            return 0.0
        wait_ms = waits.estimate_wait_ms(
            before, self.running, int(room), self._mean_s * 1000
        )
        return wait_ms / 1000
