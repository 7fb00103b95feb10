"""Detection and quarantine of requests that crash backend servers.

A poison request crashes each server that runs it, and its caller sends it
again. It is identified by the requests in flight on a server at the crash. A
crash is attributed to all of them, unless an earlier crash was attributed to
some: then it is attributed only to those, so that unrelated requests that ran
beside a poison request are not affected.

- One crash: the request runs alone, without hedges or retries.
- Two crashes in one incident: the request is rejected for
  `SHORT_QUARANTINE_S`. A power failure also crashes many servers at once and
  must not block the requests in flight for long.
- Crashes in two incidents: the request is rejected for the policy's quarantine
  if one of its crashes was attributed to it alone, else for
  `SHORT_QUARANTINE_S`.

A success clears a request unless its crashes come from several incidents and
one of them was attributed to it alone.
"""

from __future__ import annotations

import collections
import dataclasses

INCIDENT_WINDOW_S = 1.0
"""Crashes closer together than this, in seconds, belong to one incident.
Notices about one server within this time, sent by the owners of different
searchers, are counted as one crash."""

SHORT_QUARANTINE_S = 30.0
"""Quarantine, in seconds, while a request's crashes come from one incident or
were never attributed to it alone."""

CRASH_RETENTION_S = 3600.0
"""How long a crash is kept, in seconds."""

MAX_CRASHES = 256
"""Maximum number of crashes kept; the oldest are dropped first."""

MAX_FINGERPRINTS = 32
"""Maximum number of fingerprints kept per crash."""

MIN_EXTENSION_MS = 1000
"""A quarantine announced by another VM is applied only if it ends this much
later than the known one, in milliseconds. Otherwise the network delay would
extend it with each announcement."""

MAX_REMOTE_QUARANTINES = 1024
"""Maximum number of quarantines kept that other VMs announced."""


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash of one backend server.

    Attributes:
        server: The backend server's name.
        at_s: When this VM received the first notice.
        ids: The ids of the notices that reported it.
        searchers: The searchers named in these notices.
        fingerprints: The requests in flight.
    """

    server: str
    at_s: float
    ids: set[str]
    searchers: set[str]
    fingerprints: set[int]


@dataclasses.dataclass(slots=True)
class Attribution:
    """The crashes attributed to one fingerprint.

    Attributes:
        crashes: The number of crashes.
        incidents: The number of incidents that they belong to.
        is_sole_suspect: True if a crash was attributed to no other fingerprint.
        last_s: The time of the latest crash.
        until_s: When the quarantine ends.
    """

    crashes: int = 0
    incidents: int = 0
    is_sole_suspect: bool = False
    last_s: float = 0.0
    until_s: float = 0.0


class CrashAttributions:
    """Crashes and quarantines by request fingerprint, bounded in size."""

    __slots__ = ("_attributions", "_crashes", "_remote_until_s")

    def __init__(self) -> None:
        """Creates an empty table."""
        self._crashes: collections.deque[Crash] = collections.deque()
        self._attributions: dict[int, Attribution] = {}
        self._remote_until_s: dict[int, float] = {}

    def count_crashes(self, fingerprint: int, now_s: float) -> int:
        """Returns the number of crashes attributed to a request.

        A request that another VM quarantined counts as having two.

        Args:
            fingerprint: The request's fingerprint.
            now_s: The current time, in seconds.
        """
        if fingerprint in self._remote_until_s:
            return 2
        attribution = self._attributions.get(fingerprint)
        if (
            attribution is None
            or now_s - attribution.last_s > CRASH_RETENTION_S
        ):
            return 0
        return attribution.crashes

    def get_quarantine_ms(self, fingerprint: int, now_s: float) -> int:
        """Returns the rest of a request's quarantine, in milliseconds.

        Args:
            fingerprint: The request's fingerprint.
            now_s: The current time, in seconds.
        """
        attribution = self._attributions.get(fingerprint)
        until_s = self._remote_until_s.get(fingerprint, 0.0)
        if attribution is not None:
            until_s = max(until_s, attribution.until_s)
        return max(0, int((until_s - now_s) * 1000))

    def record_crash(
        self,
        server: str,
        searcher: str,
        crash_id: str,
        fingerprints: frozenset[int],
        now_s: float,
        quarantine_s: float,
    ) -> bool:
        """Records a crash that this VM observed or another VM announced.

        Args:
            server: The backend server that crashed.
            searcher: The searcher on it whose owner sent the notice.
            crash_id: The notice's id.
            fingerprints: The requests in flight on that searcher.
            now_s: The current time, in seconds.
            quarantine_s: The policy's quarantine, in seconds.

        Returns:
            False if this notice has already been recorded.
        """
        self._expire(now_s)
        if any(crash_id in crash.ids for crash in self._crashes):
            return False
        crash = self._find_reported_crash(server, searcher, now_s)
        if crash is None:
            crash = Crash(server, now_s, set(), set(), set())
            self._crashes.append(crash)
        crash.ids.add(crash_id)
        crash.searchers.add(searcher)
        room = MAX_FINGERPRINTS - len(crash.fingerprints)
        crash.fingerprints.update(sorted(fingerprints)[:room])
        self._attribute_crashes(quarantine_s)
        return True

    def apply_remote_quarantine(
        self, fingerprint: int, left_ms: int, now_s: float
    ) -> None:
        """Applies a quarantine that another VM announced.

        Args:
            fingerprint: The request's fingerprint.
            left_ms: The remaining time, in milliseconds.
            now_s: The current time, in seconds.
        """
        self._expire(now_s)
        if (
            self.get_quarantine_ms(fingerprint, now_s) + MIN_EXTENSION_MS
            >= left_ms
        ):
            return
        if len(self._remote_until_s) < MAX_REMOTE_QUARANTINES:
            self._remote_until_s[fingerprint] = now_s + left_ms / 1000

    def record_success(self, fingerprint: int) -> None:
        """Records a success of a request and clears its crashes.

        A request with crashes from two incidents, one of them attributed to it
        alone, is not cleared: it may crash the servers of some shards and not
        of others.

        Args:
            fingerprint: The request's fingerprint.
        """
        attribution = self._attributions.get(fingerprint)
        if attribution is None or (
            attribution.incidents > 1 and attribution.is_sole_suspect
        ):
            return
        del self._attributions[fingerprint]
        for crash in self._crashes:
            crash.fingerprints.discard(fingerprint)

    def list_quarantines_ms(self, now_s: float) -> dict[int, int]:
        """Returns the remaining milliseconds of each quarantined request."""
        fingerprints = {*self._attributions, *self._remote_until_s}
        left_ms = {
            fingerprint: self.get_quarantine_ms(fingerprint, now_s)
            for fingerprint in fingerprints
        }
        return {
            key: remaining_ms
            for key, remaining_ms in left_ms.items()
            if remaining_ms > 0
        }

    def _find_reported_crash(
        self, server: str, searcher: str, now_s: float
    ) -> Crash | None:
        """Finds the crash if another searcher's owner has reported it."""
        for crash in reversed(self._crashes):
            if now_s - crash.at_s > INCIDENT_WINDOW_S:
                return None
            if crash.server == server and searcher not in crash.searchers:
                return crash
        return None

    def _attribute_crashes(self, quarantine_s: float) -> None:
        """Recomputes all attributions from the crashes in their order."""
        attributions: dict[int, Attribution] = {}
        for crash in self._crashes:
            earlier = {
                fingerprint
                for fingerprint in crash.fingerprints
                if fingerprint in attributions
            }
            attributed = earlier or crash.fingerprints
            for fingerprint in attributed:
                attribution = attributions.setdefault(
                    fingerprint, Attribution()
                )
                attribution.is_sole_suspect = (
                    attribution.is_sole_suspect or len(attributed) == 1
                )
                _add_crash(attribution, crash.at_s, quarantine_s)
        self._attributions = attributions

    def _expire(self, now_s: float) -> None:
        """Drops expired entries, and the oldest crashes beyond the limit."""
        while self._crashes and (
            now_s - self._crashes[0].at_s > CRASH_RETENTION_S
            or len(self._crashes) >= MAX_CRASHES
        ):
            self._crashes.popleft()
        for fingerprint, until_s in list(self._remote_until_s.items()):
            if until_s + CRASH_RETENTION_S < now_s:
                del self._remote_until_s[fingerprint]


def _add_crash(
    attribution: Attribution, at_s: float, quarantine_s: float
) -> None:
    """Adds one crash to an attribution and extends its quarantine."""
    if (
        attribution.crashes == 0
        or at_s - attribution.last_s > INCIDENT_WINDOW_S
    ):
        attribution.incidents += 1
    attribution.crashes += 1
    attribution.last_s = at_s
    if attribution.incidents >= 2 and attribution.is_sole_suspect:
        attribution.until_s = max(attribution.until_s, at_s + quarantine_s)
    elif attribution.crashes >= 2:
        attribution.until_s = max(
            attribution.until_s, at_s + SHORT_QUARANTINE_S
        )
