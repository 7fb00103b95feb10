"""The state of one query's parts over one pinned version, without any I/O."""

from __future__ import annotations

import dataclasses
import fractions
from collections.abc import Callable, Iterable

from azureramp import errors, messages, resources
from azureramp.policy import coverage

REFUSALS = frozenset({errors.Kind.SHED, errors.Kind.VERSION_GONE})
"""Kinds by which a searcher replies that it did not begin."""

MOST_WAIT_MS = 60_000
"""Longest time to come back that is taken from a failure."""

MAX_ATTEMPTS = 4
"""Most attempts for one shard of one query, hedges included."""


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One sub-request that was sent.

    Attributes:
        part: Its number, unique within the request.
        shard: Its shard.
        searcher: The searcher's name.
        server: The name of the searcher's backend server.
        owner: The VM that it was sent to.
        owner_incarnation: That VM's incarnation at sending.
        sent_s: When.
        reason: `first`, `hedge` or `retry`.
    """

    part: int
    shard: resources.Shard
    searcher: str
    server: str
    owner: str
    owner_incarnation: int
    sent_s: float
    reason: str


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one shard is.

    Attributes:
        shard: The shard.
        tried: The searchers that must not be tried again.
        attempts: How many attempts were made.
        running: The attempts without a result, by part number.
        waiting: True while a later attempt is certain to be made.
    """

    shard: resources.Shard
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    running: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    waiting: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Merged:
    """A result became part of the answer.

    Attributes:
        attempt: The attempt.
        losers: The shard's other attempts, for which nobody waits now.
        service_ms: Time that the searcher took, in milliseconds.
    """

    attempt: Attempt
    losers: tuple[Attempt, ...]
    service_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """An attempt ended without a result that could be merged.

    Attributes:
        attempt: The attempt.
        kind: Why.
        sent: True if the searcher may have got the request.
        ran: True if it may have begun to work on it.
        retry_after_ms: Time until asking again can help; 0 if unknown.
    """

    attempt: Attempt
    kind: errors.Kind
    sent: bool
    ran: bool
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """A result for no running attempt: a copy, late, or another request's."""


Taken = Merged | Failed | Unknown


class Assembly:
    """What runs, is held and is lost, of one pinned version.

    Attributes:
        ledger: The results held.
        progress: The shards that may be queried, by name.
        lost: The names of the shards that get no result any more.
        merged: The attempts whose results are held.
    """

    __slots__ = ("_running", "ledger", "lost", "merged", "progress")

    def __init__(
        self,
        shard_map: resources.ShardMap,
        permits: Callable[[resources.Shard], bool],
    ) -> None:
        """Makes an assembly without attempts.

        Args:
            shard_map: The pinned version's shard map.
            permits: Tells which shards may be queried; the others are lost
                from the start, and so the answer says that it lacks them.
        """
        self.ledger = coverage.Ledger(shard_map)
        self.progress = {
            shard.name: Progress(shard)
            for shard in shard_map.shards
            if permits(shard)
        }
        self.lost = {
            shard.name
            for shard in shard_map.shards
            if shard.name not in self.progress
        }
        self.merged: list[Attempt] = []
        self._running: dict[int, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that is being sent."""
        progress = self.progress[attempt.shard.name]
        progress.tried.add(attempt.searcher)
        progress.attempts += 1
        progress.waiting = False
        progress.running[attempt.part] = attempt
        self._running[attempt.part] = attempt

    def remove(self, attempt: Attempt) -> bool:
        """Forgets a running attempt; False if it does not run."""
        if self._running.pop(attempt.part, None) is None:
            return False
        self.progress[attempt.shard.name].running.pop(attempt.part, None)
        return True

    def take(self, result: messages.PartResult) -> Taken:
        """Takes a result of a sub-request."""
        attempt = self._running.get(result.part)
        if attempt is None:
            return Unknown()
        self.remove(attempt)
        match result:
            case messages.PartFailed():
                kind = read_kind(result.kind)
                ran = result.sent and kind not in REFUSALS
                wait_ms = min(max(0, result.retry_after_ms), MOST_WAIT_MS)
                return Failed(attempt, kind, result.sent, ran, wait_ms)
            case messages.PartDone():
                return self._take_done(attempt, result)

    def _take_done(
        self, attempt: Attempt, done: messages.PartDone
    ) -> Merged | Failed:
        """Merges a result, or says why not."""
        items = coverage.read_items(done.items)
        if items is not None and self.ledger.hold(attempt.shard, done, items):
            progress = self.progress[attempt.shard.name]
            self.merged.append(attempt)
            losers = tuple(progress.running.values())
            return Merged(attempt, losers, done.service_ms)
        kind = errors.Kind.CROSSED_REPLY
        if done.version != self.ledger.shard_map.version:
            kind = errors.Kind.VERSION_GONE
        return Failed(attempt, kind, sent=True, ran=True)

    def give_up(self, progress: Progress) -> None:
        """Counts a shard as lost."""
        self.lost.add(progress.shard.name)

    def get_attempt(self, part: int) -> Attempt | None:
        """Returns a running attempt by its number."""
        return self._running.get(part)

    def get_running(self) -> tuple[Attempt, ...]:
        """Returns the attempts without a result."""
        return tuple(self._running.values())

    def get_open(self) -> Iterable[Progress]:
        """Returns the shards whose result may still come."""
        held = self.ledger.is_held
        return [p for p in self.progress.values() if not held(p.shard)]

    def is_final(self) -> bool:
        """Tells whether nothing more can come."""
        return not self._running and not any(
            progress.waiting for progress in self.progress.values()
        )

    def get_reachable(self) -> fractions.Fraction:
        """Returns the coverage if all that is not lost still comes."""
        return self.ledger.get_reachable(self.lost)


def read_kind(code: str) -> errors.Kind:
    """Reads an error kind that came from another VM."""
    try:
        return errors.Kind(code)
    except ValueError:
        return errors.Kind.INTERNAL
