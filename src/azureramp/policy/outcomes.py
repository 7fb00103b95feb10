"""Determines a query's outcome for its caller."""

from __future__ import annotations

import dataclasses
import fractions

from azureramp import errors
from azureramp.policy import assembly, coverage

OVERLOAD_KINDS = frozenset(
    {
        errors.Kind.OVERLOADED,
        errors.Kind.SHED,
        errors.Kind.COLD,
        errors.Kind.DEADLINE_TOO_SHORT,
        errors.Kind.DEADLINE_PASSED,
    }
)
"""Error kinds by which a queue or a searcher reports overload."""

NOT_RUN = errors.Execution.NOT_RUN


@dataclasses.dataclass(slots=True)
class PartStatistics:
    """Statistics of a query's sub-requests, over all its attempts.

    Attributes:
        ran: True if any searcher may have worked on any sub-request.
        crashes: The number of backend servers that crashed during the query.
        results: The number of sub-requests with a result.
        unanswered: The number of sub-requests without a result at the deadline.
        service_ms: The sum of the results' service times, in milliseconds.
        wait_ms: The sum of all other time of sub-requests with and without a
            result, in milliseconds.
        refused: The number of attempts that a queue refused.
        last_failure: The error kind of the last failed sub-request.
        retry_after_ms: The longest retry delay stated by a failure, in
            milliseconds.
    """

    ran: bool = False
    crashes: int = 0
    results: int = 0
    unanswered: int = 0
    service_ms: float = 0.0
    wait_ms: float = 0.0
    refused: int = 0
    last_failure: errors.Kind | None = None
    retry_after_ms: int = 0

    def add_merged(self, merged: assembly.Merged, took_ms: float) -> None:
        """Counts a result.

        The stated service time is limited to the duration measured here, so
        that an invalid one does not distort the estimates used by admission.
        """
        service_ms = min(max(0.0, merged.service_ms), took_ms)
        self.ran = True
        self.results += 1
        self.service_ms += service_ms
        self.wait_ms += took_ms - service_ms

    def add_unanswered(self, elapsed_ms: float) -> None:
        """Counts a sub-request without a result."""
        self.ran = True
        self.unanswered += 1
        self.wait_ms += elapsed_ms

    def get_mean_wait_ms(self) -> float:
        """Returns the mean wait of a sub-request, in milliseconds."""
        return self.wait_ms / max(1, self.results + self.unanswered)

    def get_mean_service_ms(self) -> float:
        """Returns the mean service time of a sub-request, in milliseconds."""
        return self.service_ms / max(1, self.results)

    def add_failed(self, failed: assembly.Failed) -> None:
        """Counts a failure."""
        self.ran = self.ran or failed.ran
        self.last_failure = failed.kind
        self.retry_after_ms = max(self.retry_after_ms, failed.retry_after_ms)
        if failed.kind is errors.Kind.BACKEND_CRASHED:
            self.crashes += 1
        if failed.kind in OVERLOAD_KINDS:
            self.refused += 1


def choose_version(
    previous: assembly.Assembly | None, current: assembly.Assembly
) -> assembly.Assembly:
    """Chooses the version whose results are the answer; they are never mixed.

    A query restarted on a newer version may cover less by its deadline than
    the earlier version had; the newer one is chosen if it covers at least as
    much.
    """
    if previous is None:
        return current
    if (
        current.ledger.get_exact_coverage()
        >= previous.ledger.get_exact_coverage()
    ):
        return current
    return previous


def find_failure(
    ledger: coverage.ResultLedger,
    minimum: fractions.Fraction,
    tally: PartStatistics,
    permitted: bool,
) -> errors.Failure | None:
    """Decides whether the merged results are a sufficient answer.

    Args:
        ledger: The merged results.
        minimum: The minimum coverage that the caller accepts.
        tally: The statistics of the sub-requests.
        permitted: False if the service may query none of the shards.

    Returns:
        None if the answer is sufficient; otherwise the failure to return.
    """
    if not permitted:
        return errors.Failure(errors.Kind.FORBIDDEN)
    reached = ledger.get_exact_coverage()
    if reached >= minimum and (reached > 0 or ledger.is_complete()):
        return None
    if not tally.ran:
        kind = tally.last_failure or errors.Kind.NO_SNAPSHOT
        retry_after_ms = tally.retry_after_ms or None
        return make_not_run(errors.Failure(kind, "", retry_after_ms))
    if reached > 0 or minimum > 0:
        return errors.Failure(errors.Kind.COVERAGE_TOO_LOW)
    if (
        tally.last_failure is None
        or errors.ANSWERS[tally.last_failure].ran is NOT_RUN
    ):
        return errors.Failure(errors.Kind.DEADLINE_PASSED)
    return errors.Failure(tally.last_failure)


def make_not_run(failure: errors.Failure) -> errors.Failure:
    """Converts a failure to one whose answer states `not_run`.

    Some error kinds state that the work may have run, which is wrong for a
    request that was never sent.
    """
    if failure.get_answer().ran is NOT_RUN:
        return failure
    detail = f"nothing was sent: {failure.kind.value}"
    return errors.Failure(
        errors.Kind.OVERLOADED, detail, failure.retry_after_ms
    )
