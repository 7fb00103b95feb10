"""The state of a roll-out in the process that drives it."""

from __future__ import annotations

from azureramp import rollout_types
from azureramp.policy import exposure, version_evidence
from azureramp.ports.rollouts import api

TRIAL = rollout_types.Phase.TRIAL
MOVING = rollout_types.Phase.MOVING


class DrivenRollout:
    """One roll-out that this process drives.

    All times are in seconds on the event loop's clock.

    Attributes:
        record: The record as the store holds it.
        revision: The record's revision.
        ledger: The calls granted to each process.
        evidence: The results of the calls to both versions.
        phase: The current phase; ahead of the record while a step that
            reduces the calls to the new version is being written.
        phase_began_s: Time at which the phase began.
        moved: Time at which each VM last confirmed that all its requests use
            the new version.
        senders: The VMs that have sent requests to the service.
        answers_before_phase: Answers of the new version before this phase.
        writes_failing_since_s: Time since which writes fail; None while they
            succeed.
        ended_s: Time at which the roll-out ended; None before.
    """

    __slots__ = (
        "_last_counts",
        "answers_before_phase",
        "ended_s",
        "evidence",
        "ledger",
        "moved",
        "phase",
        "phase_began_s",
        "record",
        "revision",
        "senders",
        "writes_failing_since_s",
    )

    def __init__(
        self,
        record: rollout_types.Record,
        revision: int,
        limit: exposure.ExposureLimit,
        now_s: float,
    ) -> None:
        """Creates the state of a roll-out without any reports.

        Args:
            record: The record as the store holds it.
            revision: The record's revision.
            limit: The bound on the calls to the new version.
            now_s: The current time, in seconds.
        """
        self.record = record
        self.revision = revision
        self.ledger = exposure.GrantLedger(
            limit, record.reserved, record.requests
        )
        self.evidence = version_evidence.Evidence(now_s)
        # A new driver has no reports from the VMs yet, without which all
        # traffic can't stay on the new version.
        self.phase = TRIAL if record.phase is MOVING else record.phase
        self.phase_began_s = now_s
        self.moved: dict[str, float] = {}
        self.senders: set[str] = set()
        self.answers_before_phase = 0.0
        self.writes_failing_since_s: float | None = None
        self.ended_s: float | None = None
        self._last_counts: dict[tuple[str, str, str], api.Count] = {}

    def compute_usual(self) -> dict[str, float]:
        """Computes the usual duration of calls to the old version by route.

        Returns:
            The durations in seconds; those recorded by earlier drivers for
            routes on which no VM has reported one.
        """
        sums: dict[str, list[float]] = {}
        for count in self._last_counts.values():
            if not count.searcher and count.usual_ms > 0:
                totals = sums.setdefault(count.route, [0.0, 0.0])
                totals[0] += count.answers
                totals[1] += count.answers * count.usual_ms / 1000
        usual = {route: total / n for route, (n, total) in sums.items()}
        return dict(self.record.usual) | usual

    def count_answers(self) -> float:
        """Returns the number of answers of the new version."""
        return self.evidence.sum_new().answers

    def apply_counts(self, report: api.Report, now_s: float) -> None:
        """Adds the increase of a report's totals to the evidence.

        The old version's answers are added first.

        Args:
            report: The report.
            now_s: The current time, in seconds.
        """
        for count in sorted(report.counts, key=lambda each: each.searcher):
            key = (report.process, count.route, count.searcher)
            last = self._last_counts.get(key)
            answers = count.answers - (last.answers if last else 0)
            bad = count.bad - (last.bad if last else 0)
            if answers <= 0:
                continue
            self._last_counts[key] = count
            if count.searcher:
                self.evidence.add_new(count.route, count.searcher, answers, bad)
            else:
                self.evidence.add_old(count.route, answers, bad, now_s)
