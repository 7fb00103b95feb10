"""One roll-out as a VM that sends requests sees it.

Tells which searchers a call may go to, and counts how calls of both versions
end.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import math
from collections.abc import Mapping

from azureramp import catalog, rollout_types
from azureramp.policy import rollouts as policy
from azureramp.ports.rollouts import api

SLOW_FACTOR = 2.5
"""A call that lasts so many usual times counts as bad."""

USUAL_SMOOTHING = 0.05
"""Weight of the newest time in what is usual for the old version."""

FEWEST_CALLS = 5
"""Calls to the old version after which this VM knows what is usual."""

MOST_FACTOR = 4.0
"""Most usual times that one call adds to what is usual."""


class Side(enum.Enum):
    """Which searchers of a service a call may go to."""

    OLD = "old"
    NEW = "new"


ALL_SIDES = tuple(Side)


class End(enum.Enum):
    """How a call ended, for the judgement of its searcher's version."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(slots=True)
class Tally:
    """How calls ended.

    Attributes:
        answers: How many ended.
        bad: Of these, how many failed or lasted several usual times.
    """

    answers: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True)
class Usual:
    """How long calls of a route to the old version last.

    Attributes:
        mean_s: Their mean, in seconds.
        calls: How many there were.
    """

    mean_s: float = 0.0
    calls: int = 0

    def add(self, took_s: float) -> None:
        """Takes a call's time."""
        self.calls += 1
        if self.calls > 1:
            took_s = min(took_s, MOST_FACTOR * self.mean_s)
        weight = max(USUAL_SMOOTHING, 1.0 / self.calls)
        self.mean_s += weight * (took_s - self.mean_s)

    def is_known(self) -> bool:
        """Tells whether there were enough calls."""
        return self.calls >= FEWEST_CALLS


class Running:
    """A roll-out that has not ended.

    Attributes:
        order: The order.
        versions: Which versions may be used.
        requests: Calls to the service since the order.
        spent: Of these, calls to the new version.
        tallies: How they ended, by route and searcher; the old version's
            searchers together, under an empty name.
        silent_s: When a driver last answered, or the roll-out was seen.
        has_moved: True if the last report said that all calls have moved.
        wanted: Wakes the reports.
    """

    __slots__ = (
        "_good_until_s",
        "_grant",
        "_own_usual",
        "_usual_s",
        "has_moved",
        "order",
        "requests",
        "silent_s",
        "spent",
        "tallies",
        "versions",
        "wanted",
    )

    def __init__(
        self,
        order: rollout_types.Order,
        versions: policy.Versions,
        now_s: float,
    ) -> None:
        """Makes one without any grant."""
        self.order = order
        self.versions = versions
        self.requests = 0
        self.spent = 0
        self.tallies: dict[tuple[str, str], Tally] = {}
        self.silent_s = now_s
        self.has_moved = False
        self.wanted = asyncio.Event()
        self._own_usual: dict[str, Usual] = {}
        self._usual_s: Mapping[str, float] = {}
        self._grant: api.Grant | None = None
        self._good_until_s = -math.inf

    def take_grant(self, grant: api.Grant, asked_s: float) -> None:
        """Takes the answer to a report that was sent at a time."""
        self._grant = grant
        self._good_until_s = asked_s + grant.good_ms / 1000

    def get_phase(self, now_s: float) -> rollout_types.Phase | None:
        """Returns the phase by the last grant; None if that has run out."""
        if self._grant is None or now_s >= self._good_until_s:
            return None
        return self._grant.phase

    def list_sides(self, is_first: bool, now_s: float) -> tuple[Side, ...]:
        """Lists the sides that a call may go to, best first.

        Args:
            is_first: True for a request's first call. What fails or is late
                on trial is made good at the old searchers.
            now_s: The time.
        """
        match self.get_phase(now_s):
            case rollout_types.Phase.TRIAL:
                if is_first and self._has_grant_left():
                    return (Side.NEW, Side.OLD)
                return (Side.OLD,)
            case rollout_types.Phase.MOVING:
                return (Side.NEW, Side.OLD)
            case rollout_types.Phase.COMPLETED:
                return (Side.NEW,)
            case _:
                return (Side.OLD,)

    def is_new(self, searcher: catalog.Searcher) -> bool:
        """Tells whether a searcher is of the new version."""
        return searcher.version == self.order.target

    def note_call(self, searcher: catalog.Searcher, now_s: float) -> None:
        """Counts a call."""
        self.requests += 1
        if not self.is_new(searcher):
            return
        self.spent += 1
        trial = rollout_types.Phase.TRIAL
        if self.get_phase(now_s) is trial and not self._has_grant_left():
            self.wanted.set()

    def note_end(
        self,
        searcher: catalog.Searcher,
        route: str,
        end: End,
        took_s: float,
        usual_s: float,
    ) -> bool:
        """Takes how a call ended.

        Args:
            searcher: The searcher.
            route: The route's name.
            end: How.
            took_s: How long it lasted, in seconds.
            usual_s: How long calls of the route usually last, in seconds, if
                nothing of the old version was measured yet.

        Returns:
            True if it was counted; one without an answer says nothing before
            it has lasted long.
        """
        is_new = self.is_new(searcher)
        usual_s = self._get_usual_s(route, usual_s)
        slow = usual_s > 0 and took_s > SLOW_FACTOR * usual_s
        if end is End.UNANSWERED and not slow:
            return False
        key = (route, searcher.id if is_new else "")
        tally = self.tallies.setdefault(key, Tally())
        tally.answers += 1
        tally.bad += end is End.FAILED or slow
        if end is End.ANSWERED and not is_new:
            self._own_usual.setdefault(route, Usual()).add(took_s)
        return True

    def take_usual(self, usual_s: Mapping[str, float]) -> None:
        """Takes how long the old version's calls usually last, by route."""
        self._usual_s = usual_s

    def get_own_usual_s(self, route: str) -> float:
        """Returns how long they last by this VM's calls; 0 if not known."""
        own = self._own_usual.get(route)
        return own.mean_s if own is not None and own.is_known() else 0.0

    def _get_usual_s(self, route: str, otherwise_s: float) -> float:
        """Returns how long the old version's calls usually last."""
        return (
            self.get_own_usual_s(route)
            or self._usual_s.get(route, 0.0)
            or otherwise_s
        )

    def _has_grant_left(self) -> bool:
        """Tells whether one more call to the new version is granted."""
        return self._grant is not None and self.spent < self._grant.limit
