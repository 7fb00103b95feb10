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

BURST_SHARE = 0.1
"""The share of `MAX_STORED_BYTES` that is for bursts."""

MAX_RECORD_BYTES = OVERHEAD_BYTES + (idempotency.MAX_RESULT_BYTES + 2) * 4 // 3
"""The most that one record takes; JSON carries the result as base64."""

MAX_SIGHTINGS = 10_000
"""How many claims of other VMs one VM remembers having seen."""


class Bucket:
    """A token bucket: an amount that grows with time, up to a bound."""

    __slots__ = ("_at_s", "_tokens")

    def __init__(self) -> None:
        """Makes a full one."""
        self._tokens = math.inf
        self._at_s = 0.0

    def take(
        self, amount: float, now_s: float, per_s: float, most: float
    ) -> float:
        """Takes an amount, if there is as much.

        Args:
            amount: How much.
            now_s: The time, in seconds.
            per_s: How fast it grows.
            most: Its bound; at least `amount`.

        Returns:
            0 if there was as much, else the time until there is, in seconds.
        """
        self._tokens += (now_s - self._at_s) * per_s
        self._tokens = min(self._tokens, most)
        self._at_s = now_s
        if self._tokens < amount:
            return (amount - self._tokens) / per_s
        self._tokens -= amount
        return 0.0

    def give_back(self, amount: float) -> None:
        """Gives back what was taken and not needed."""
        self._tokens += amount


class Pace:
    """Bounds how fast this VM claims, by its share of the store's writes.

    When an outage ends, everybody who was refused comes back within seconds.
    Without this bound the store would meet all of them at once.
    """

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        """Makes a pace with a full burst."""
        self._bucket = Bucket()

    def take(self, now_s: float, vms: int) -> float:
        """Takes the right to one claim; returns as `Bucket.take`.

        Args:
            now_s: The time, in seconds.
            vms: How many VMs share the store.
        """
        per_s = RECORDS_PER_S / max(vms, 1)
        most = max(per_s * BURST_S, 1.0)
        return self._bucket.take(1.0, now_s, per_s, most)


class Quota:
    """The bytes of records that this VM may still write.

    The platform deletes what is older than a retention and two windows, so
    what all VMs write in that time is all that is stored. A VM that bounds
    its own writes, on its own clock, keeps its share of the bound. A restart
    forgets what was used, and may use the share for bursts once more.
    """

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        """Makes an unused quota."""
        self._bucket = Bucket()

    def take(self, now_s: float, vms: int) -> float:
        """Takes room for a record of the largest size.

        Args:
            now_s: The time, in seconds.
            vms: How many VMs share the store.

        Returns:
            As `Bucket.take`.
        """
        most = get_burst_bytes(vms)
        per_s = get_bytes_per_s(vms)
        return self._bucket.take(MAX_RECORD_BYTES, now_s, per_s, most)

    def give_back(self, stored_bytes: int) -> None:
        """Gives back what a record did not need.

        Args:
            stored_bytes: What it takes in the store.
        """
        self._bucket.give_back(max(MAX_RECORD_BYTES - stored_bytes, 0))


def get_burst_bytes(vms: int) -> float:
    """Returns what one VM may write at once, in bytes."""
    share = MAX_STORED_BYTES * BURST_SHARE / max(vms, 1)
    return max(share, MAX_RECORD_BYTES)


def get_bytes_per_s(vms: int) -> float:
    """Returns what one VM may write in the long run, in bytes a second."""
    kept_s = RETENTION_S + 2 * WINDOW_S
    return MAX_STORED_BYTES * (1 - BURST_SHARE) / kept_s / max(vms, 1)


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
