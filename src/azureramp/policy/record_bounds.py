"""Bounds of the idempotency records: their age, their size, what is noted."""

from __future__ import annotations

import collections
import math

from azureramp.policy import idempotency

RETENTION_S = 86_400.0
"""How long a record is kept at least, in seconds."""

WINDOW_S = 600.0
"""How long one lease takes new records, in seconds.

A lease lives for a retention and a window, so that a record written at the
window's end is kept for a whole retention too.
"""

MAX_STORED_BYTES = 1_000_000_000
"""The most that all records together may take in the store."""

OVERHEAD_BYTES = 600
"""What a record takes in the store besides its result, at most."""

RECORDS_PER_S = 200.0
"""The most new records in a second, of all VMs together.

With their outcomes they take less than 400 writes of the several hundred that
the store takes for everything; see docs/design/idempotency.md.
"""

BURST_S = 1.0
"""How many seconds' worth of records may come at once."""

MAX_SIGHTINGS = 10_000
"""How many claims of other VMs one VM remembers having seen."""


class Quota:
    """The bytes of records that this VM may still write.

    Each window has its share of what the store may hold, and what was
    written in a window is deleted by the end of its lease. So a VM that
    counts only its own writes, on its own clock, keeps the bound; a restart
    forgets the present window's count and may use its share once more.
    """

    __slots__ = ("_used", "_window_from_s")

    def __init__(self) -> None:
        """Makes an unused quota."""
        self._used = 0
        self._window_from_s = -math.inf

    def take(self, now_s: float, vms: int) -> float:
        """Takes room for a record of the largest size.

        Args:
            now_s: The time, in seconds.
            vms: How many VMs share the store.

        Returns:
            0 if there was room, else the time until there is, in seconds.
        """
        if now_s >= self._window_from_s + WINDOW_S:
            self._window_from_s = now_s
            self._used = 0
        if self._used + MAX_RECORD_BYTES > get_share_bytes(vms):
            return self._window_from_s + WINDOW_S - now_s
        self._used += MAX_RECORD_BYTES
        return 0.0

    def give_back(self, result_bytes: int) -> None:
        """Gives back what a finished record's result did not need."""
        spare = idempotency.MAX_RESULT_BYTES - min(
            result_bytes, idempotency.MAX_RESULT_BYTES
        )
        self._used = max(self._used - spare * 4 // 3, 0)


MAX_RECORD_BYTES = OVERHEAD_BYTES + (idempotency.MAX_RESULT_BYTES + 2) * 4 // 3
"""The most that one record takes; JSON carries the result as base64."""


def get_share_bytes(vms: int) -> int:
    """Returns what one VM may write in one window, in bytes."""
    windows = math.ceil(RETENTION_S / WINDOW_S) + 2
    return max(MAX_STORED_BYTES // windows // max(vms, 1), MAX_RECORD_BYTES)


class Pace:
    """Bounds how fast this VM claims, by its share of the store's writes.

    When an outage ends, everybody who was refused comes back within seconds.
    Without this bound the store would meet all of them at once.
    """

    __slots__ = ("_at_s", "_tokens")

    def __init__(self) -> None:
        """Makes a pace with a full burst."""
        self._tokens = math.inf
        self._at_s = 0.0

    def take(self, now_s: float, vms: int) -> float:
        """Takes the right to one claim.

        Args:
            now_s: The time, in seconds.
            vms: How many VMs share the store.

        Returns:
            0 if it may be made, else the time until one may, in seconds.
        """
        per_s = RECORDS_PER_S / max(vms, 1)
        most = max(per_s * BURST_S, 1.0)
        self._tokens += (now_s - self._at_s) * per_s
        self._tokens = min(self._tokens, most)
        self._at_s = now_s
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / per_s
        self._tokens -= 1.0
        return 0.0


class Sightings:
    """When this VM first saw each claim of others, bounded."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        """Makes it empty."""
        self._seen: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def get_age_s(self, nonce: str, now_s: float) -> float:
        """Notes a claim and returns how long it has been known, in seconds."""
        first_s = self._seen.setdefault(nonce, now_s)
        while len(self._seen) > MAX_SIGHTINGS:
            self._seen.popitem(last=False)
        return now_s - first_s
