"""Whether a new version of a service's searchers answers worse than the old.

The pattern: some of the answers of a new version fail, or take several times
as long, from its start, later, under load, or on one route only. Inputs are
counts of answers by route and searcher, pooled over all VMs; the old version's
counts of the same moment say what is usual. The outcome is whether the new
version is worse. Each route is a sequential test of its own, so that a fault of
one route isn't diluted by the others, and one over all routes finds a fault
where each route has few requests. A test restarts once it speaks for the new
version, so that a fault that begins late is found as soon as an early one.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

EFFECT = 0.15
USUAL_FACTOR = 0.6
"""The share of otherwise good answers that a worse version spoils: so much, and
more by this factor where bad answers are usual."""

FALSE_ALARM = 0.0005
"""Chance that a sequence of usual answers is taken for a worse version."""

REJECTED = -math.log(FALSE_ALARM)

SUSPECTED = 2.5
"""Odds, as a logarithm, from which on more answers are wanted."""

CONFIRMED = 2.0
"""What the searchers other than the worst one must show, as a logarithm of
odds: a single searcher that is slow or broken says nothing of its version."""

LEAST_SHARE = 0.02
MOST_SHARE = 0.4
"""Bounds of the usual share of bad answers. A few answers of the old version
show no less than the first; beyond the second a roll-out is hard to judge, and
a version that is worse still differs."""

PRIOR_ANSWERS = 8.0
PRIOR_BAD = 1.0
"""Answers that the old version is taken to have given before the first ones are
known, and how many of them were bad: while little is known of it, a bad answer
of the new version says little."""

FADES_S = 4.0
"""In this time answers of the old version count half, in seconds: what is usual
follows troubles that hit both versions."""

MANY = 200
"""Answers from which on a small difference counts as well."""

CLEAR = 5.0
"""The difference between the two versions, in standard errors, that shows a
slightly worse one among many answers."""

ALL_ROUTES = ""
"""Stands for all routes together."""


class Verdict(enum.Enum):
    """What the answers show."""

    OPEN = "open"
    SUSPECT = "suspect"
    WORSE = "worse"


@dataclasses.dataclass(slots=True)
class Tally:
    """How answers ended.

    Attributes:
        answers: How many there were.
        bad: Of these, how many failed or took several times as long as usual.
    """

    answers: float = 0.0
    bad: float = 0.0

    def add(self, answers: float, bad: float) -> None:
        """Adds answers."""
        self.answers += answers
        self.bad += bad


@dataclasses.dataclass(slots=True)
class Test:
    """A sequential test of one route.

    Attributes:
        odds: For a worse version, as a logarithm, over all searchers.
        by_searcher: The same for each searcher by itself.
    """

    odds: float = 0.0
    by_searcher: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, searcher: str, change: float) -> None:
        """Takes what answers of a searcher speak for."""
        self.odds = max(0.0, self.odds + change)
        own = self.by_searcher.get(searcher, 0.0)
        self.by_searcher[searcher] = max(0.0, own + change)

    def judge(self) -> Verdict:
        """Judges the version, not one searcher alone."""
        if self.odds < SUSPECTED:
            return Verdict.OPEN
        odds = self.by_searcher.values()
        confirmed = len(odds) < 2 or sum(odds) - max(odds) >= CONFIRMED
        if self.odds >= REJECTED and confirmed:
            return Verdict.WORSE
        return Verdict.SUSPECT


class Evidence:
    """What is known of a new version.

    Attributes:
        new: Its answers by route and searcher.
        old: The old version's answers by route, all of them.
    """

    __slots__ = ("_faded_s", "_recent", "_tests", "new", "old")

    def __init__(self, now_s: float) -> None:
        """Makes one without any answers."""
        self.new: dict[tuple[str, str], Tally] = {}
        self.old: dict[str, Tally] = {}
        self._recent: dict[str, Tally] = {}
        self._faded_s = now_s
        self._tests: dict[str, Test] = collections.defaultdict(Test)

    def add_old(self, route: str, answers: int, bad: int, now_s: float) -> None:
        """Adds answers of the old version, before those of the same moment."""
        self._fade(now_s)
        for tallies in (self.old, self._recent):
            for name in (route, ALL_ROUTES):
                tallies.setdefault(name, Tally()).add(answers, bad)

    def add_new(
        self, route: str, searcher: str, answers: int, bad: int
    ) -> None:
        """Adds answers of a searcher of the new version."""
        tally = self.new.setdefault((route, searcher), Tally())
        tally.add(answers, bad)
        usual = self.get_usual_share(route)
        change = compute_odds(usual, answers, bad)
        for name in (route, ALL_ROUTES):
            self._tests[name].add(searcher, change)

    def get_verdict(self) -> Verdict:
        """Returns what the answers show."""
        verdicts = {test.judge() for test in self._tests.values()}
        if Verdict.WORSE in verdicts or self._is_clearly_worse():
            return Verdict.WORSE
        if Verdict.SUSPECT in verdicts:
            return Verdict.SUSPECT
        return Verdict.OPEN

    def get_usual_share(self, route: str) -> float:
        """Returns the old version's recent share of bad answers on a route."""
        tally = self._recent.get(route, Tally())
        share = (tally.bad + PRIOR_BAD) / (tally.answers + PRIOR_ANSWERS)
        return min(max(share, LEAST_SHARE), MOST_SHARE)

    def count_new(self) -> Tally:
        """Returns all answers of the new version."""
        total = Tally()
        for tally in self.new.values():
            total.add(tally.answers, tally.bad)
        return total

    def describe(self) -> str:
        """Describes the bad and all answers by route, for logs."""
        routes: dict[str, Tally] = {}
        for (route, _), tally in self.new.items():
            routes.setdefault(route, Tally()).add(tally.answers, tally.bad)
        told = [
            f"{route}: new {tally.bad:.0f}/{tally.answers:.0f}"
            f" old {self._describe_old(route)}"
            for route, tally in sorted(routes.items())
        ]
        return "; ".join(told) or "no answers of the new version"

    def _describe_old(self, route: str) -> str:
        """Describes the old version's answers on a route."""
        tally = self.old.get(route, Tally())
        return f"{tally.bad:.0f}/{tally.answers:.0f}"

    def _fade(self, now_s: float) -> None:
        """Lets older answers of the old version count less."""
        kept = math.pow(0.5, max(0.0, now_s - self._faded_s) / FADES_S)
        self._faded_s = now_s
        for tally in self._recent.values():
            tally.answers *= kept
            tally.bad *= kept

    def _is_clearly_worse(self) -> bool:
        """Tells whether many answers show a small difference."""
        new, old = self.count_new(), self.old.get(ALL_ROUTES, Tally())
        if new.answers < MANY or old.answers < MANY:
            return False
        searchers: dict[str, float] = collections.defaultdict(float)
        for (_, searcher), tally in self.new.items():
            searchers[searcher] += tally.bad
        bad = new.bad
        if len(searchers) > 1:
            # The worst searcher counts as much as the others do.
            worst = max(searchers.values())
            bad = min(
                bad, (bad - worst) * len(searchers) / (len(searchers) - 1)
            )
        pooled = (bad + old.bad) / (new.answers + old.answers)
        error = math.sqrt(
            pooled * (1.0 - pooled) * (1 / new.answers + 1 / old.answers)
        )
        difference = bad / new.answers - old.bad / old.answers
        return error > 0 and difference / error > CLEAR


def compute_odds(usual: float, answers: int, bad: int) -> float:
    """Computes what answers speak for, as a logarithm of odds.

    Args:
        usual: The usual share of bad answers, more than 0 and less than 1.
        answers: How many answers there were.
        bad: Of these, how many were bad.

    Returns:
        More than 0 if they fit a worse version better than a usual one.
    """
    worse = usual + (EFFECT + USUAL_FACTOR * usual) * (1.0 - usual)
    good = answers - bad
    return bad * math.log(worse / usual) + good * math.log(
        (1.0 - worse) / (1.0 - usual)
    )
