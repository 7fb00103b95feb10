"""Which requests crash the backend servers that run them.

A poison request crashes each server that runs it, and its caller sends it
again. It shows by what was in flight on a server when it crashed. Everything
in flight is charged, unless some of it was in flight at an earlier crash
too: then only that is, so that those who happen to be near a poison request
get off.

- One crash: the request runs alone, without hedge or retry.
- Two at about the same time: it is refused for `SHORT_S`. A power cut
  crashes many servers at once too, and must not bar for long whoever was in
  flight.
- Two at different times, and alone in flight at the last one: it is refused
  for the policy's quarantine; not alone, for `SHORT_S`.

A success clears whoever was charged at one time only, or never alone.
"""

from __future__ import annotations

import collections
import dataclasses

MERGE_S = 1.0
"""Crashes closer together than this, in seconds, are of one time. Notices of
one server's crash by the owners of its several searchers are one crash."""

SHORT_S = 30.0
"""Quarantine for crashes of one time, in seconds."""

MEMORY_S = 3600.0
"""How long a crash is remembered, in seconds."""

MAX_CRASHES = 256
"""Most crashes remembered; the oldest go first."""

MAX_FINGERPRINTS = 32
"""Most fingerprints remembered of one crash."""

ADOPT_MS = 1000
"""A told quarantine is taken over if it lasts so much longer than the known
one, in milliseconds; else the time on the way would make it creep."""

MAX_ADOPTED = 1024
"""Most quarantines remembered that were learnt from other VMs."""


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash of one backend server.

    Attributes:
        server: The backend server's name.
        at_s: When this VM learnt of it.
        ids: The notices that told of it.
        searchers: The searchers that they told of.
        fingerprints: What was in flight.
    """

    server: str
    at_s: float
    ids: set[str]
    searchers: set[str]
    fingerprints: set[int]


@dataclasses.dataclass(slots=True)
class Charge:
    """What is held against one fingerprint.

    Attributes:
        crashes: How many crashes it is charged with.
        times: At how many different times.
        alone: True if no other one was charged with one of them.
        last_s: When the last of them was.
        until_s: Until when it is refused.
    """

    crashes: int = 0
    times: int = 0
    alone: bool = False
    last_s: float = 0.0
    until_s: float = 0.0


class Blame:
    """Crashes by request fingerprint, bounded in number and time."""

    __slots__ = ("_adopted_s", "_charges", "_crashes")

    def __init__(self) -> None:
        """Makes an empty table."""
        self._crashes: collections.deque[Crash] = collections.deque()
        self._charges: dict[int, Charge] = {}
        self._adopted_s: dict[int, float] = {}

    def crashes(self, fingerprint: int, now_s: float) -> int:
        """Returns how many crashes a request is charged with.

        Args:
            fingerprint: The request's fingerprint.
            now_s: The time.
        """
        if fingerprint in self._adopted_s:
            return 2
        charge = self._charges.get(fingerprint)
        if charge is None or now_s - charge.last_s > MEMORY_S:
            return 0
        return charge.crashes

    def quarantined_ms(self, fingerprint: int, now_s: float) -> int:
        """Returns how long a request is still refused, in milliseconds.

        Args:
            fingerprint: The request's fingerprint.
            now_s: The time.
        """
        charge = self._charges.get(fingerprint)
        until_s = self._adopted_s.get(fingerprint, 0.0)
        if charge is not None:
            until_s = max(until_s, charge.until_s)
        return max(0, int((until_s - now_s) * 1000))

    def record(
        self,
        server: str,
        searcher: str,
        crash_id: str,
        fingerprints: frozenset[int],
        now_s: float,
        quarantine_s: float,
    ) -> bool:
        """Takes a crash, seen here or told by another VM.

        Args:
            server: The backend server that crashed.
            searcher: Its searcher whose owner tells of it.
            crash_id: The notice's id.
            fingerprints: What was in flight on that searcher.
            now_s: The time.
            quarantine_s: The policy's quarantine, in seconds.

        Returns:
            False if this notice had been taken before.
        """
        self._forget(now_s)
        if any(crash_id in crash.ids for crash in self._crashes):
            return False
        same = self._find_same(server, searcher, now_s)
        if same is None:
            same = Crash(server, now_s, set(), set(), set())
            self._crashes.append(same)
        same.ids.add(crash_id)
        same.searchers.add(searcher)
        room = MAX_FINGERPRINTS - len(same.fingerprints)
        same.fingerprints.update(sorted(fingerprints)[:room])
        self._charge_all(quarantine_s)
        return True

    def adopt(self, fingerprint: int, left_ms: int, now_s: float) -> None:
        """Takes a quarantine that another VM told of.

        Args:
            fingerprint: The request's fingerprint.
            left_ms: The time left, in milliseconds.
            now_s: The time.
        """
        self._forget(now_s)
        if self.quarantined_ms(fingerprint, now_s) + ADOPT_MS >= left_ms:
            return
        if len(self._adopted_s) < MAX_ADOPTED:
            self._adopted_s[fingerprint] = now_s + left_ms / 1000

    def clear(self, fingerprint: int) -> None:
        """Takes a success of a request, which a poison request never has.

        Whoever was charged at two times, and alone, stays charged: it may
        crash some shards' servers and not others.

        Args:
            fingerprint: The request's fingerprint.
        """
        charge = self._charges.get(fingerprint)
        if charge is None or (charge.times > 1 and charge.alone):
            return
        del self._charges[fingerprint]
        for crash in self._crashes:
            crash.fingerprints.discard(fingerprint)

    def get_quarantined_ms(self, now_s: float) -> dict[int, int]:
        """Returns the requests refused now, with the milliseconds left."""
        everybody = {*self._charges, *self._adopted_s}
        left_ms = {
            fingerprint: self.quarantined_ms(fingerprint, now_s)
            for fingerprint in everybody
        }
        return {key: left for key, left in left_ms.items() if left > 0}

    def _find_same(
        self, server: str, searcher: str, now_s: float
    ) -> Crash | None:
        """Finds the crash that another searcher's owner told of already."""
        for crash in reversed(self._crashes):
            if now_s - crash.at_s > MERGE_S:
                return None
            if crash.server == server and searcher not in crash.searchers:
                return crash
        return None

    def _charge_all(self, quarantine_s: float) -> None:
        """Works the charges out anew, from the crashes in their order."""
        charges: dict[int, Charge] = {}
        for crash in self._crashes:
            earlier = {
                fingerprint
                for fingerprint in crash.fingerprints
                if fingerprint in charges
            }
            charged = earlier or crash.fingerprints
            for fingerprint in charged:
                charge = charges.setdefault(fingerprint, Charge())
                charge.alone = charge.alone or len(charged) == 1
                _add(charge, crash.at_s, quarantine_s)
        self._charges = charges

    def _forget(self, now_s: float) -> None:
        """Drops what is old, and the oldest past the bounds."""
        while self._crashes and (
            now_s - self._crashes[0].at_s > MEMORY_S
            or len(self._crashes) >= MAX_CRASHES
        ):
            self._crashes.popleft()
        for fingerprint, until_s in list(self._adopted_s.items()):
            if until_s + MEMORY_S < now_s:
                del self._adopted_s[fingerprint]


def _add(charge: Charge, at_s: float, quarantine_s: float) -> None:
    """Charges one more crash."""
    if charge.crashes == 0 or at_s - charge.last_s > MERGE_S:
        charge.times += 1
    charge.crashes += 1
    charge.last_s = at_s
    if charge.times >= 2 and charge.alone:
        charge.until_s = max(charge.until_s, at_s + quarantine_s)
    elif charge.crashes >= 2:
        charge.until_s = max(charge.until_s, at_s + SHORT_S)
