"""One active roll-out as known to a VM that sends requests.

Decides which searchers a call may use, and counts the results of calls to the
old and new versions.
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
"""Multiple of the usual duration above which a call counts as bad."""

USUAL_SMOOTHING = 0.05
"""Weight of the newest duration in the old version's usual duration."""

MIN_CALLS_FOR_USUAL = 5
"""Minimum number of calls to the old version from which a usual duration is
derived."""

MAX_SAMPLE_FACTOR = 4.0
"""Multiple of the usual duration to which the duration of a single call is
capped when it is added to the mean."""


class VersionGroup(enum.Enum):
    """Groups of a service's searchers by version."""

    OLD = "old"
    NEW = "new"


ALL_VERSION_GROUPS = tuple(VersionGroup)


class CallResult(enum.Enum):
    """Result of a call, for the evaluation of its searcher's version."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Numbers of finished calls.

    Attributes:
        answers: Calls that finished.
        bad: Of these, calls that failed or took more than `SLOW_FACTOR` times
            the usual duration.
    """

    answers: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True)
class UsualDuration:
    """Usual duration of a route's calls to the old version.

    Attributes:
        mean_s: The mean duration, in seconds.
        calls: The number of calls.
    """

    mean_s: float = 0.0
    calls: int = 0

    def add(self, took_s: float) -> None:
        """Adds a call's duration, in seconds."""
        self.calls += 1
        if self.calls > 1:
            took_s = min(took_s, MAX_SAMPLE_FACTOR * self.mean_s)
        weight = max(USUAL_SMOOTHING, 1.0 / self.calls)
        self.mean_s += weight * (took_s - self.mean_s)

    def is_known(self) -> bool:
        """Returns True if there were enough calls."""
        return self.calls >= MIN_CALLS_FOR_USUAL


class ActiveRollout:
    """A roll-out that has not ended.

    Attributes:
        order: The order.
        versions: The versions that may be used.
        requests: Calls to the service since the order.
        calls_to_new: Of these, calls to the new version.
        call_counts: Numbers of finished calls, by route and searcher; those of
            the old version's searchers together, under an empty name.
        driver_seen_s: Time at which a driver last answered, in seconds;
            initially the time at which the roll-out was received.
        traffic_moved: True if the last report stated that all traffic uses the
            new version and no call to an old searcher is running.
        report_due: Set when a report should be sent now.
        report_on_call: True if the next call sets `report_due`.
    """

    __slots__ = (
        "_grant",
        "_grant_valid_until_s",
        "_measured_usual",
        "_recorded_usual_s",
        "call_counts",
        "calls_to_new",
        "driver_seen_s",
        "order",
        "report_due",
        "report_on_call",
        "requests",
        "traffic_moved",
        "versions",
    )

    def __init__(
        self,
        order: rollout_types.Order,
        versions: policy.AllowedVersions,
        now_s: float,
    ) -> None:
        """Creates a roll-out without a grant.

        Args:
            order: The order.
            versions: The versions that may be used.
            now_s: The current time, in seconds.
        """
        self.order = order
        self.versions = versions
        self.requests = 0
        self.calls_to_new = 0
        self.call_counts: dict[tuple[str, str], CallCounts] = {}
        self.driver_seen_s = now_s
        self.traffic_moved = False
        self.report_due = asyncio.Event()
        self.report_on_call = False
        self._measured_usual: dict[str, UsualDuration] = {}
        self._recorded_usual_s: Mapping[str, float] = {}
        self._grant: api.Grant | None = None
        self._grant_valid_until_s = -math.inf

    def apply_grant(self, grant: api.Grant, sent_s: float) -> None:
        """Applies the grant that answers a report.

        Args:
            grant: The grant.
            sent_s: Time at which the report was sent, in seconds.
        """
        self._grant = grant
        self._grant_valid_until_s = sent_s + grant.good_ms / 1000

    def get_phase(self, now_s: float) -> rollout_types.Phase | None:
        """Returns the phase of the last grant; None if it has expired."""
        if self._grant is None or now_s >= self._grant_valid_until_s:
            return None
        return self._grant.phase

    def list_version_groups(
        self, is_first: bool, now_s: float
    ) -> tuple[VersionGroup, ...]:
        """Lists the version groups that a call may use, preferred one first.

        Args:
            is_first: True for a request's first call. In the canary phase,
                retries and hedged requests use the old searchers.
            now_s: The current time, in seconds.
        """
        match self.get_phase(now_s):
            case rollout_types.Phase.TRIAL:
                if is_first and self._has_grant_left():
                    return (VersionGroup.NEW, VersionGroup.OLD)
                return (VersionGroup.OLD,)
            case rollout_types.Phase.MOVING:
                return (VersionGroup.NEW, VersionGroup.OLD)
            case rollout_types.Phase.COMPLETED:
                return (VersionGroup.NEW,)
            case _:
                return (VersionGroup.OLD,)

    def is_new(self, searcher: catalog.Searcher) -> bool:
        """Returns True if a searcher runs the new version."""
        return searcher.version == self.order.target

    def record_call(self, searcher: catalog.Searcher, now_s: float) -> None:
        """Counts a call.

        Args:
            searcher: The searcher that is called.
            now_s: The current time, in seconds.
        """
        self.requests += 1
        if self.report_on_call:
            self.report_on_call = False
            self.report_due.set()
        if not self.is_new(searcher):
            return
        self.calls_to_new += 1
        trial = rollout_types.Phase.TRIAL
        if self.get_phase(now_s) is trial and not self._has_grant_left():
            self.report_due.set()

    def record_call_end(
        self,
        searcher: catalog.Searcher,
        route: str,
        end: CallResult,
        took_s: float,
        usual_s: float,
    ) -> bool:
        """Records the result of a call.

        Args:
            searcher: The searcher.
            route: The route's name.
            end: The result.
            took_s: The call's duration, in seconds.
            usual_s: The usual duration of the route's calls, in seconds; used
                while none of the old version has been measured.

        Returns:
            True if the call was counted. A call without an answer is not
            counted until it is slow.
        """
        is_new = self.is_new(searcher)
        usual_s = self._get_usual_s(route, usual_s)
        slow = usual_s > 0 and took_s > SLOW_FACTOR * usual_s
        if end is CallResult.UNANSWERED and not slow:
            return False
        key = (route, searcher.id if is_new else "")
        tally = self.call_counts.setdefault(key, CallCounts())
        tally.answers += 1
        tally.bad += end is CallResult.FAILED or slow
        if end is CallResult.ANSWERED and not is_new:
            self._measured_usual.setdefault(route, UsualDuration()).add(took_s)
        return True

    def set_usual_durations(self, usual_s: Mapping[str, float]) -> None:
        """Sets the usual durations of calls to the old version.

        Args:
            usual_s: The durations by route, in seconds, from the record.
        """
        self._recorded_usual_s = usual_s

    def get_measured_usual_s(self, route: str) -> float:
        """Returns the usual duration that this VM has measured.

        Args:
            route: The route's name.

        Returns:
            The duration of calls to the old version, in seconds; 0 if there
            were too few calls.
        """
        own = self._measured_usual.get(route)
        return own.mean_s if own is not None and own.is_known() else 0.0

    def _get_usual_s(self, route: str, fallback_s: float) -> float:
        """Returns the usual duration of calls to the old version."""
        return (
            self.get_measured_usual_s(route)
            or self._recorded_usual_s.get(route, 0.0)
            or fallback_s
        )

    def _has_grant_left(self) -> bool:
        """Returns True if another call to the new version is granted."""
        return self._grant is not None and self.calls_to_new < self._grant.limit
