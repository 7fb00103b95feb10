"""The state of a query's sub-requests to one pinned version, without I/O."""

from __future__ import annotations

import dataclasses
import fractions
from collections.abc import Callable, Iterable

from azureramp import errors, messages, resources
from azureramp.policy import coverage

NOT_STARTED_KINDS = frozenset({errors.Kind.SHED, errors.Kind.VERSION_GONE})
"""Error kinds by which a searcher replies that it did not start the work."""

MAX_RETRY_AFTER_MS = 60_000
"""Maximum retry delay accepted from a failure, in milliseconds."""

MAX_ATTEMPTS = 4
"""Maximum number of attempts for one shard of one query, hedges included."""


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One sub-request that was sent.

    Attributes:
        part: Its number, unique within the request.
        shard: Its shard.
        searcher: The searcher's name.
        server: The name of the searcher's backend server.
        owner: The VM that it was sent to.
        owner_incarnation: That VM's incarnation when it was sent.
        sent_s: When it was sent, in seconds.
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
    """The progress of one shard.

    Attributes:
        shard: The shard.
        tried: The searchers that must not be tried again.
        attempts: The number of attempts made.
        running: The attempts without a result, by part number.
        waiting: True while another attempt is certain to follow.
    """

    shard: resources.Shard
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    running: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    waiting: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Merged:
    """A result was merged into the answer.

    Attributes:
        attempt: The attempt.
        redundant: The shard's other attempts, whose results are no longer
            needed.
        service_ms: The searcher's service time, in milliseconds.
    """

    attempt: Attempt
    redundant: tuple[Attempt, ...]
    service_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """An attempt ended without a result that could be merged.

    Attributes:
        attempt: The attempt.
        kind: The error kind.
        sent: True if the searcher may have received the request.
        ran: True if the searcher may have started to work on it.
        retry_after_ms: Time until a retry may succeed, in milliseconds; 0 if
            unknown.
    """

    attempt: Attempt
    kind: errors.Kind
    sent: bool
    ran: bool
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class UnmatchedResult:
    """A result without a running attempt: a duplicate, late, or misrouted."""


HandledResult = Merged | Failed | UnmatchedResult


class Assembly:
    """The running, merged and lost parts of a query to one pinned version.

    Attributes:
        ledger: The merged results.
        progress: The progress of the shards that may be queried, by name.
        lost: The names of the shards that will get no result.
        merged: The attempts whose results were merged.
    """

    __slots__ = ("_running", "ledger", "lost", "merged", "progress")

    def __init__(
        self,
        shard_map: resources.ShardMap,
        permits: Callable[[resources.Shard], bool],
    ) -> None:
        """Creates an assembly without attempts.

        Args:
            shard_map: The pinned version's shard map.
            permits: Returns True if a shard may be queried. The others are
                lost from the start, so the answer reports them as missing.
        """
        self.ledger = coverage.ResultLedger(shard_map)
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
        """Removes a running attempt; returns False if it is not running."""
        if self._running.pop(attempt.part, None) is None:
            return False
        self.progress[attempt.shard.name].running.pop(attempt.part, None)
        return True

    def handle_result(self, result: messages.PartResult) -> HandledResult:
        """Handles the result of a sub-request."""
        attempt = self._running.get(result.part)
        if attempt is None:
            return UnmatchedResult()
        self.remove(attempt)
        match result:
            case messages.PartFailed():
                kind = parse_kind(result.kind)
                ran = result.sent and kind not in NOT_STARTED_KINDS
                wait_ms = min(max(0, result.retry_after_ms), MAX_RETRY_AFTER_MS)
                return Failed(attempt, kind, result.sent, ran, wait_ms)
            case messages.PartDone():
                return self._merge_done(attempt, result)

    def _merge_done(
        self, attempt: Attempt, done: messages.PartDone
    ) -> Merged | Failed:
        """Merges a result, or returns why it can't be merged."""
        items = coverage.read_items(done.items)
        if items is not None and self.ledger.add(attempt.shard, done, items):
            progress = self.progress[attempt.shard.name]
            self.merged.append(attempt)
            losers = tuple(progress.running.values())
            return Merged(attempt, losers, done.service_ms)
        kind = errors.Kind.CROSSED_REPLY
        if done.version != self.ledger.shard_map.version:
            kind = errors.Kind.VERSION_GONE
        return Failed(attempt, kind, sent=True, ran=True)

    def mark_lost(self, progress: Progress) -> None:
        """Marks a shard as lost."""
        self.lost.add(progress.shard.name)

    def get_attempt(self, part: int) -> Attempt | None:
        """Returns a running attempt by its part number; None if not found."""
        return self._running.get(part)

    def get_running_attempts(self) -> tuple[Attempt, ...]:
        """Returns the attempts without a result."""
        return tuple(self._running.values())

    def get_pending(self) -> Iterable[Progress]:
        """Returns the progress of the shards without a merged result."""
        has_result = self.ledger.has_result
        return [p for p in self.progress.values() if not has_result(p.shard)]

    def is_finished(self) -> bool:
        """Returns True if no further result can arrive."""
        return not self._running and not any(
            progress.waiting for progress in self.progress.values()
        )

    def get_reachable(self) -> fractions.Fraction:
        """Returns the coverage if every shard that is not lost answers."""
        return self.ledger.get_reachable_coverage(self.lost)


def parse_kind(code: str) -> errors.Kind:
    """Parses an error kind received from another VM; `INTERNAL` if unknown."""
    try:
        return errors.Kind(code)
    except ValueError:
        return errors.Kind.INTERNAL
