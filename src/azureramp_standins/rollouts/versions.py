"""Behaviour of good and bad versions of the searchers' software."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random

from azureramp_standins.fleet import searcher

MEDIAN_WORK_S = 0.02
"""Median duration of a request, in seconds."""

WORK_LOG_STDDEV = 0.35
"""Standard deviation of the logarithm of a request's duration."""


class Kind(enum.Enum):
    """The kind of version that is rolled out."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    LATER = "later"
    UNDER_LOAD = "under-load"
    ONE_ROUTE = "one-route"


@dataclasses.dataclass(slots=True, frozen=True)
class Always:
    """The version is bad from its start."""


@dataclasses.dataclass(slots=True, frozen=True)
class AfterTime:
    """The version is bad from a given time on.

    Attributes:
        at_s: The time, on the loop's clock.
    """

    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class AboveRate:
    """The version is bad while a searcher's request rate exceeds a limit.

    Attributes:
        per_s: The limit in requests per second.
    """

    per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class OnRoute:
    """The version is bad on paths with a given prefix.

    Attributes:
        prefix: The prefix.
    """

    prefix: str


@dataclasses.dataclass(slots=True, frozen=True)
class Never:
    """The version is as good as the old one."""


Condition = Always | AfterTime | AboveRate | OnRoute | Never


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A version of the searchers' software.

    Attributes:
        condition: When the version is bad.
        share: The share of its answers that are bad then.
        slowdown: The factor on the duration of bad answers; 0 if they fail.
    """

    condition: Condition
    share: float = 0.0
    slowdown: float = 0.0


class Behaviour:
    """A searcher's behaviour under a version.

    Attributes:
        bad_answer_times: The arrival times of the requests with bad answers,
            on the loop's clock.
    """

    __slots__ = ("_recent_s", "_rng", "_version", "bad_answer_times")

    def __init__(self, version: Version, rng: random.Random) -> None:
        """Makes the behaviour of one searcher.

        Args:
            version: The version that it runs.
            rng: Source of the random draws.
        """
        self._version = version
        self._rng = rng
        self._recent_s: collections.deque[float] = collections.deque()
        self.bad_answer_times: list[float] = []

    def act(self, request: searcher.ReceivedRequest) -> searcher.Reaction:
        """Chooses the response to a request; see `searcher.Script`."""
        self._recent_s.append(request.at_s)
        while self._recent_s[0] < request.at_s - 1.0:
            self._recent_s.popleft()
        work_s = MEDIAN_WORK_S * self._rng.lognormvariate(0.0, WORK_LOG_STDDEV)
        bad = self._is_bad(request) and self._rng.random() < self._version.share
        if not bad:
            return searcher.Reaction(delay_s=work_s)
        self.bad_answer_times.append(request.at_s)
        if self._version.slowdown:
            return searcher.Reaction(delay_s=work_s * self._version.slowdown)
        return searcher.Reaction(delay_s=work_s, status=500)

    def _is_bad(self, request: searcher.ReceivedRequest) -> bool:
        """Returns True if the version is bad for a request."""
        match self._version.condition:
            case Always():
                return True
            case AfterTime(at_s=at_s):
                return request.at_s >= at_s
            case AboveRate(per_s=per_s):
                return len(self._recent_s) > per_s
            case OnRoute(prefix=prefix):
                return request.target.startswith(prefix)
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
        rng: Source of the random draws.
        began_s: When the roll-out is ordered, on the loop's clock.
        duration_s: The roll-out's duration, in seconds.
        full_per_s: Request rate of each of its searchers under all of the
            traffic, per second.
    """
    share = rng.uniform(0.3, 0.8)
    slowdown = rng.choice((0.0, rng.uniform(4.0, 8.0)))
    match kind:
        case Kind.GOOD:
            return Version(Never())
        case Kind.FAILING:
            return Version(Always(), share)
        case Kind.SLOW:
            return Version(Always(), share, rng.uniform(4.0, 8.0))
        case Kind.LATER:
            at_s = began_s + duration_s * rng.uniform(0.2, 0.6)
            return Version(AfterTime(at_s), share, slowdown)
        case Kind.UNDER_LOAD:
            return Version(AboveRate(0.6 * full_per_s), share, slowdown)
        case Kind.ONE_ROUTE:
            return Version(OnRoute("/two/"), share, slowdown)
