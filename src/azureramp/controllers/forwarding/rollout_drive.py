"""What the process that drives a roll-out knows of it."""

from __future__ import annotations

from azureramp import rollout_types
from azureramp.policy import exposure, version_evidence
from azureramp.ports.rollouts import api

TRIAL = rollout_types.Phase.TRIAL
MOVING = rollout_types.Phase.MOVING


class Drive:
    """One roll-out that this process drives.

    Attributes:
        record: The record as it stands in the store.
        revision: Its revision.
        ledger: Who was granted what.
        evidence: What the answers show.
        phase: How far the roll-out is; ahead of the record while a step that
            takes calls away is being written.
        phase_s: When that phase began.
        moved: When each VM last confirmed that it has moved.
        senders: The VMs that have sent requests to the service.
        answers_before: Answers of the new version before this phase.
        failing_s: Since when writes fail; None while they work.
        ended_s: When it ended; None before.
    """

    __slots__ = (
        "_last",
        "answers_before",
        "ended_s",
        "evidence",
        "failing_s",
        "ledger",
        "moved",
        "phase",
        "phase_s",
        "record",
        "revision",
        "senders",
    )

    def __init__(
        self,
        record: rollout_types.Record,
        revision: int,
        terms: exposure.Terms,
        now_s: float,
    ) -> None:
        """Makes one that has heard of no VM."""
        self.record = record
        self.revision = revision
        self.ledger = exposure.Ledger(terms, record.reserved, record.requests)
        self.evidence = version_evidence.Evidence(now_s)
        # Without what the VMs know, all traffic can't stay on the new version.
        self.phase = TRIAL if record.phase is MOVING else record.phase
        self.phase_s = now_s
        self.moved: dict[str, float] = {}
        self.senders: set[str] = set()
        self.answers_before = 0.0
        self.failing_s: float | None = None
        self.ended_s: float | None = None
        self._last: dict[tuple[str, str, str], api.Count] = {}

    def compute_usual(self) -> dict[str, float]:
        """Computes how long the old version's calls usually last, by route.

        Returns:
            The times in seconds; what earlier drivers knew where no VM has
            told anything.
        """
        sums: dict[str, list[float]] = {}
        for count in self._last.values():
            if not count.searcher and count.usual_ms > 0:
                both = sums.setdefault(count.route, [0.0, 0.0])
                both[0] += count.answers
                both[1] += count.answers * count.usual_ms / 1000
        usual = {route: total / n for route, (n, total) in sums.items()}
        return dict(self.record.usual) | usual

    def count_answers(self) -> float:
        """Counts the answers of the new version."""
        return self.evidence.count_new().answers

    def take_counts(self, report: api.Report, now_s: float) -> None:
        """Adds what is new in a report, the old version's answers first."""
        for count in sorted(report.counts, key=lambda each: each.searcher):
            key = (report.process, count.route, count.searcher)
            last = self._last.get(key)
            answers = count.answers - (last.answers if last else 0)
            bad = count.bad - (last.bad if last else 0)
            if answers <= 0:
                continue
            self._last[key] = count
            if count.searcher:
                self.evidence.add_new(count.route, count.searcher, answers, bad)
            else:
                self.evidence.add_old(count.route, answers, bad, now_s)
