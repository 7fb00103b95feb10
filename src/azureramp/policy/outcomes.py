"""What a query's end means for its caller."""

from __future__ import annotations

import dataclasses
import fractions

from azureramp import errors
from azureramp.policy import assembly, coverage

QUEUE_REFUSALS = frozenset(
    {
        errors.Kind.OVERLOADED,
        errors.Kind.SHED,
        errors.Kind.COLD,
        errors.Kind.DEADLINE_TOO_SHORT,
        errors.Kind.DEADLINE_PASSED,
    }
)
"""Kinds by which a queue or a searcher says that it has too much work."""

NOT_RUN = errors.Ran.NOT_RUN


@dataclasses.dataclass(slots=True)
class Tally:
    """How a query's parts went, over all its attempts.

    Attributes:
        ran: True if any searcher may have worked on any of it.
        crashes: How many backend servers crashed under it.
        results: How many parts brought a result.
        unanswered: How many had none when the time was up.
        service_ms: The sum of the results' service times.
        wait_ms: The sum of all other time of both.
        refused: How many attempts a queue refused.
        last: Why the last part failed.
        retry_after_ms: The longest time to come back that a failure gave.
    """

    ran: bool = False
    crashes: int = 0
    results: int = 0
    unanswered: int = 0
    service_ms: float = 0.0
    wait_ms: float = 0.0
    refused: int = 0
    last: errors.Kind | None = None
    retry_after_ms: int = 0

    def add_merged(self, merged: assembly.Merged, took_ms: float) -> None:
        """Counts a result.

        The stated service time is kept within the time that was measured
        here; a nonsense one must not spoil the estimates that refuse work.
        """
        service_ms = min(max(0.0, merged.service_ms), took_ms)
        self.ran = True
        self.results += 1
        self.service_ms += service_ms
        self.wait_ms += took_ms - service_ms

    def add_unanswered(self, elapsed_ms: float) -> None:
        """Counts a part without a result."""
        self.ran = True
        self.unanswered += 1
        self.wait_ms += elapsed_ms

    def get_mean_wait_ms(self) -> float:
        """Returns the mean wait of a part, in milliseconds."""
        return self.wait_ms / max(1, self.results + self.unanswered)

    def get_mean_service_ms(self) -> float:
        """Returns the mean service time of a part, in milliseconds."""
        return self.service_ms / max(1, self.results)

    def add_failed(self, failed: assembly.Failed) -> None:
        """Counts a failure."""
        self.ran = self.ran or failed.ran
        self.last = failed.kind
        self.retry_after_ms = max(self.retry_after_ms, failed.retry_after_ms)
        if failed.kind is errors.Kind.BACKEND_CRASHED:
            self.crashes += 1
        if failed.kind in QUEUE_REFUSALS:
            self.refused += 1


def choose(
    former: assembly.Assembly | None, present: assembly.Assembly
) -> assembly.Assembly:
    """Chooses which version's results to answer with, never both.

    A restart may find less before the deadline than the version before it had
    held; the newer one is taken if it covers as much.
    """
    if former is None:
        return present
    if present.ledger.get_share() >= former.ledger.get_share():
        return present
    return former


def judge(
    ledger: coverage.Ledger,
    minimum: fractions.Fraction,
    tally: Tally,
    permitted: bool,
) -> errors.Failure | None:
    """Decides whether what is held is an answer.

    Args:
        ledger: What is held.
        minimum: The least coverage that the caller takes.
        tally: How the parts went.
        permitted: False if the service may query none of the shards.

    Returns:
        None if it is; else why not.
    """
    if not permitted:
        return errors.Failure(errors.Kind.FORBIDDEN)
    held = ledger.get_share()
    if held >= minimum and (held > 0 or ledger.is_complete()):
        return None
    if not tally.ran:
        kind = tally.last or errors.Kind.NO_SNAPSHOT
        retry_after_ms = tally.retry_after_ms or None
        return make_not_run(errors.Failure(kind, "", retry_after_ms))
    if held > 0 or minimum > 0:
        return errors.Failure(errors.Kind.COVERAGE_TOO_LOW)
    if tally.last is None or errors.ANSWERS[tally.last].ran is NOT_RUN:
        return errors.Failure(errors.Kind.DEADLINE_PASSED)
    return errors.Failure(tally.last)


def make_not_run(failure: errors.Failure) -> errors.Failure:
    """Makes a failure whose answer truly says `not_run`.

    Some kinds say that the work may have run, which is wrong for one that
    was never sent.
    """
    if failure.get_answer().ran is NOT_RUN:
        return failure
    detail = f"nothing was sent: {failure.kind.value}"
    return errors.Failure(
        errors.Kind.OVERLOADED, detail, failure.retry_after_ms
    )
