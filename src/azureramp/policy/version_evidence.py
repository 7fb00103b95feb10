"""Statistical test of whether a new version answers worse than the old one.

Some answers of a faulty version fail or take several times as long as usual,
from its start, later, under load, or on one route only. The test's inputs are
counts of answers by route and searcher, summed over all VMs. The old version's
counts at the same time determine what is usual. Each route has its own
sequential test, so that a fault of one route is not diluted by the others.
Another test over all routes detects a fault if each route has few requests. A
test's log odds never fall below 0, so that good answers do not delay the
detection of a fault that begins late.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

MIN_EFFECT = 0.15
EFFECT_FACTOR = 0.6
"""The share of otherwise good answers that are bad in a worse version: the
first value, plus the second one times the usual share of bad answers."""

FALSE_ALARM_PROBABILITY = 0.0005
"""Probability that a sequence of usual answers is treated as a worse
version."""

REJECTED_LOG_ODDS = -math.log(FALSE_ALARM_PROBABILITY)

SUSPECT_LOG_ODDS = 2.5
"""Log odds from which on a version is suspect and more answers are
needed."""

CONFIRMING_LOG_ODDS = 2.0
"""Minimum log odds of all searchers except the worst one. A single slow or
broken searcher is no evidence against its version."""

MIN_USUAL_SHARE = 0.02
MAX_USUAL_SHARE = 0.4
"""Bounds of the usual share of bad answers. A few answers of the old version
can't prove a lower share than the first. Above the second, versions are
difficult to compare, but a worse version still differs."""

PRIOR_ANSWERS = 8.0
PRIOR_BAD = 1.0
"""Assumed earlier answers of the old version, and how many of them were bad.
While few real ones are known, a bad answer of the new version is weak
evidence."""

HALF_LIFE_S = 4.0
"""Half-life of the old version's answers, in seconds. The usual share of bad
answers thus follows problems that affect both versions."""

MIN_COMPARED_ANSWERS = 200
"""Number of answers of each version from which on small differences are
tested."""

CLEAR_STANDARD_ERRORS = 5.0
"""The difference between the versions, in standard errors, above which a
slightly worse version is detected among many answers."""

ALL_ROUTES = ""
"""Key of the counts and the test over all routes."""


class Verdict(enum.Enum):
    """The result of evaluating the answers."""

    UNDECIDED = "open"
    SUSPECT = "suspect"
    WORSE = "worse"


@dataclasses.dataclass(slots=True)
class AnswerCounts:
    """Counts of answers.

    Attributes:
        answers: Number of answers; not an integer after decay.
        bad: Number of these that failed or took several times as long as
            usual.
    """

    answers: float = 0.0
    bad: float = 0.0

    def add(self, answers: float, bad: float) -> None:
        """Adds answers."""
        self.answers += answers
        self.bad += bad


@dataclasses.dataclass(slots=True)
class SequentialTest:
    """A sequential test of one route.

    Attributes:
        log_odds: For a worse version, over all searchers; at least 0.
        by_searcher: The same for each searcher alone.
    """

    log_odds: float = 0.0
    by_searcher: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, searcher: str, change: float) -> None:
        """Adds the log odds of a searcher's answers."""
        self.log_odds = max(0.0, self.log_odds + change)
        own = self.by_searcher.get(searcher, 0.0)
        self.by_searcher[searcher] = max(0.0, own + change)

    def evaluate(self) -> Verdict:
        """Evaluates the version, ignoring a fault of a single searcher."""
        if self.log_odds < SUSPECT_LOG_ODDS:
            return Verdict.UNDECIDED
        log_odds = self.by_searcher.values()
        confirmed = (
            len(log_odds) < 2
            or sum(log_odds) - max(log_odds) >= CONFIRMING_LOG_ODDS
        )
        if self.log_odds >= REJECTED_LOG_ODDS and confirmed:
            return Verdict.WORSE
        return Verdict.SUSPECT


class Evidence:
    """The answers of a new and an old version, with their tests.

    Attributes:
        new: The new version's answers by route and searcher.
        old: The old version's answers by route, without decay.
    """

    __slots__ = ("_decayed_s", "_recent", "_tests", "new", "old")

    def __init__(self, now_s: float) -> None:
        """Creates an instance without answers."""
        self.new: dict[tuple[str, str], AnswerCounts] = {}
        self.old: dict[str, AnswerCounts] = {}
        self._recent: dict[str, AnswerCounts] = {}
        self._decayed_s = now_s
        self._tests: dict[str, SequentialTest] = collections.defaultdict(
            SequentialTest
        )

    def add_old(self, route: str, answers: int, bad: int, now_s: float) -> None:
        """Adds answers of the old version.

        Must be called before `add_new` for answers of the same time.
        """
        self._decay(now_s)
        for tallies in (self.old, self._recent):
            for name in (route, ALL_ROUTES):
                tallies.setdefault(name, AnswerCounts()).add(answers, bad)

    def add_new(
        self, route: str, searcher: str, answers: int, bad: int
    ) -> None:
        """Adds answers of a searcher of the new version."""
        tally = self.new.setdefault((route, searcher), AnswerCounts())
        tally.add(answers, bad)
        usual = self.get_usual_share(route)
        change = compute_log_odds(usual, answers, bad)
        for name in (route, ALL_ROUTES):
            self._tests[name].add(searcher, change)

    def get_verdict(self) -> Verdict:
        """Returns the result of evaluating all answers."""
        verdicts = {test.evaluate() for test in self._tests.values()}
        if Verdict.WORSE in verdicts or self._is_clearly_worse():
            return Verdict.WORSE
        if Verdict.SUSPECT in verdicts:
            return Verdict.SUSPECT
        return Verdict.UNDECIDED

    def get_usual_share(self, route: str) -> float:
        """Returns the old version's recent share of bad answers on a route."""
        tally = self._recent.get(route, AnswerCounts())
        share = (tally.bad + PRIOR_BAD) / (tally.answers + PRIOR_ANSWERS)
        return min(max(share, MIN_USUAL_SHARE), MAX_USUAL_SHARE)

    def sum_new(self) -> AnswerCounts:
        """Returns the counts of all answers of the new version."""
        total = AnswerCounts()
        for tally in self.new.values():
            total.add(tally.answers, tally.bad)
        return total

    def describe(self) -> str:
        """Returns the counts of bad and all answers by route, for logs."""
        routes: dict[str, AnswerCounts] = {}
        for (route, _), tally in self.new.items():
            routes.setdefault(route, AnswerCounts()).add(
                tally.answers, tally.bad
            )
        descriptions = [
            f"{route}: new {tally.bad:.0f}/{tally.answers:.0f}"
            f" old {self._describe_old(route)}"
            for route, tally in sorted(routes.items())
        ]
        return "; ".join(descriptions) or "no answers of the new version"

    def _describe_old(self, route: str) -> str:
        """Returns the old version's counts on a route, for logs."""
        tally = self.old.get(route, AnswerCounts())
        return f"{tally.bad:.0f}/{tally.answers:.0f}"

    def _decay(self, now_s: float) -> None:
        """Decays the recent answers of the old version."""
        kept = math.pow(0.5, max(0.0, now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        for tally in self._recent.values():
            tally.answers *= kept
            tally.bad *= kept

    def _is_clearly_worse(self) -> bool:
        """Returns True if many answers prove a small difference."""
        new, old = self.sum_new(), self.old.get(ALL_ROUTES, AnswerCounts())
        if (
            new.answers < MIN_COMPARED_ANSWERS
            or old.answers < MIN_COMPARED_ANSWERS
        ):
            return False
        searchers: dict[str, float] = collections.defaultdict(float)
        for (_, searcher), tally in self.new.items():
            searchers[searcher] += tally.bad
        bad = new.bad
        if len(searchers) > 1:
            # The worst searcher's count is limited to the others' average.
            worst = max(searchers.values())
            bad = min(
                bad, (bad - worst) * len(searchers) / (len(searchers) - 1)
            )
        pooled = (bad + old.bad) / (new.answers + old.answers)
        error = math.sqrt(
            pooled * (1.0 - pooled) * (1 / new.answers + 1 / old.answers)
        )
        difference = bad / new.answers - old.bad / old.answers
        return error > 0 and difference / error > CLEAR_STANDARD_ERRORS


def compute_log_odds(usual: float, answers: int, bad: int) -> float:
    """Computes the log odds for a worse version from some answers.

    Args:
        usual: The usual share of bad answers, greater than 0 and less than 1.
        answers: Number of answers.
        bad: Number of these that were bad.

    Returns:
        The log odds; positive if a worse version explains the answers better.
    """
    worse = usual + (MIN_EFFECT + EFFECT_FACTOR * usual) * (1.0 - usual)
    good = answers - bad
    return bad * math.log(worse / usual) + good * math.log(
        (1.0 - worse) / (1.0 - usual)
    )
