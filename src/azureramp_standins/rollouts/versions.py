"""What new versions of a searcher's software do to requests."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random

from azureramp_standins.fleet import searcher

USUAL_S = 0.02
"""What a request usually takes, in seconds."""

SPREAD = 0.35
"""Spread of that, as the logarithm's standard deviation."""


class Kind(enum.Enum):
    """Which version is rolled out."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    LATER = "later"
    UNDER_LOAD = "under-load"
    ONE_ROUTE = "one-route"


@dataclasses.dataclass(slots=True, frozen=True)
class Always:
    """It is bad from its start."""


@dataclasses.dataclass(slots=True, frozen=True)
class After:
    """It is bad from a time on, on the loop's clock."""

    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Above:
    """It is bad while a searcher gets more requests a second than this."""

    per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class OnRoute:
    """It is bad on the paths that start like this."""

    prefix: str


@dataclasses.dataclass(slots=True, frozen=True)
class Never:
    """It is as good as the old version."""


When = Always | After | Above | OnRoute | Never


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A version.

    Attributes:
        when: When it is bad.
        share: The share of its answers that are bad then.
        factor: How many times as long these take; 0 if they fail.
    """

    when: When
    share: float = 0.0
    factor: float = 0.0


class Behaviour:
    """What one searcher does with its requests.

    Attributes:
        bad_s: When it gave each bad answer.
    """

    __slots__ = ("_recent_s", "_rng", "_version", "bad_s")

    def __init__(self, version: Version, rng: random.Random) -> None:
        """Makes the behaviour of a searcher of a version."""
        self._version = version
        self._rng = rng
        self._recent_s: collections.deque[float] = collections.deque()
        self.bad_s: list[float] = []

    def act(self, seen: searcher.Seen) -> searcher.Act:
        """Decides what to do with a request; a script."""
        self._recent_s.append(seen.at_s)
        while self._recent_s[0] < seen.at_s - 1.0:
            self._recent_s.popleft()
        work_s = USUAL_S * self._rng.lognormvariate(0.0, SPREAD)
        bad = self._is_bad(seen) and self._rng.random() < self._version.share
        if not bad:
            return searcher.Act(after_s=work_s)
        self.bad_s.append(seen.at_s)
        if self._version.factor:
            return searcher.Act(after_s=work_s * self._version.factor)
        return searcher.Act(after_s=work_s, status=500)

    def _is_bad(self, seen: searcher.Seen) -> bool:
        """Tells whether the version is bad for this request now."""
        match self._version.when:
            case Always():
                return True
            case After(at_s=at_s):
                return seen.at_s >= at_s
            case Above(per_s=per_s):
                return len(self._recent_s) > per_s
            case OnRoute(prefix=prefix):
                return seen.target.startswith(prefix)
            case Never():
                return False


def draw(
    kind: Kind,
    rng: random.Random,
    began_s: float,
    duration_s: float,
    full_per_s: float,
) -> Version:
    """Draws a version of a kind.

    Args:
        kind: The kind.
        rng: Draws.
        began_s: When the roll-out is ordered, on the loop's clock.
        duration_s: Its time, in seconds.
        full_per_s: Requests a second to one of its searchers once it has all
            traffic.
    """
    share = rng.uniform(0.3, 0.8)
    factor = rng.choice((0.0, rng.uniform(4.0, 8.0)))
    match kind:
        case Kind.GOOD:
            return Version(Never())
        case Kind.FAILING:
            return Version(Always(), share)
        case Kind.SLOW:
            return Version(Always(), share, rng.uniform(4.0, 8.0))
        case Kind.LATER:
            at_s = began_s + duration_s * rng.uniform(0.2, 0.6)
            return Version(After(at_s), share, factor)
        case Kind.UNDER_LOAD:
            return Version(Above(0.6 * full_per_s), share, factor)
        case Kind.ONE_ROUTE:
            return Version(OnRoute("/two/"), share, factor)
