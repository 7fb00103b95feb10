"""Limits on the age, the rate and the total size of idempotency records."""

from __future__ import annotations

import collections
import math

from azureramp.policy import idempotency

RETENTION_S = 86_400.0
"""Minimum time that a record is kept, in seconds."""

LEASE_WINDOW_S = 600.0
"""How long new records are attached to one lease, in seconds.

A lease stays valid for one retention plus one window, so that a record written
at the end of the window is also kept for a whole retention.
"""

MAX_STORED_BYTES = 1_000_000_000
"""Maximum size of all records in the store, in bytes."""

RECORD_OVERHEAD_BYTES = 600
"""Maximum size of a record in the store without its result, in bytes."""

MAX_RECORDS_PER_S = 200.0
"""Maximum rate of new records per second, over all VMs.

Including the writes of their outcomes, this is less than 400 of the several
hundred writes per second that the store accepts for all purposes; see
docs/design/idempotency.md.
"""

BURST_S = 1.0
"""Maximum burst of new records, in seconds at the full rate."""

BURST_SHARE = 0.1
"""The share of `MAX_STORED_BYTES` that is reserved for bursts."""

MAX_RECORD_BYTES = (
    RECORD_OVERHEAD_BYTES + (idempotency.MAX_RESULT_BYTES + 2) * 4 // 3
)
"""Maximum size of one record, in bytes; JSON encodes the result as base64."""

MAX_SIGHTINGS = 10_000
"""Maximum number of other VMs' claims whose first sighting is kept."""


class TokenBucket:
    """A token bucket."""

    __slots__ = ("_at_s", "_tokens")

    def __init__(self) -> None:
        """Creates a full bucket."""
        self._tokens = math.inf
        self._at_s = 0.0

    def take(
        self, amount: float, now_s: float, per_s: float, most: float
    ) -> float:
        """Takes tokens from the bucket if there are enough.

        Args:
            amount: The number of tokens to take.
            now_s: The current time, in seconds.
            per_s: Tokens added per second.
            most: The bucket's capacity; at least `amount`.

        Returns:
            0 if the tokens were taken, else the time until there are enough,
            in seconds.
        """
        self._tokens += (now_s - self._at_s) * per_s
        self._tokens = min(self._tokens, most)
        self._at_s = now_s
        if self._tokens < amount:
            return (amount - self._tokens) / per_s
        self._tokens -= amount
        return 0.0

    def put_back(self, amount: float) -> None:
        """Returns unused tokens to the bucket."""
        self._tokens += amount


class ClaimRateLimit:
    """Limits this VM's rate of claims to its share of the store's writes.

    After an outage all rejected callers retry within seconds. Without this
    limit the store would receive all their claims at once.
    """

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        """Creates a rate limit with a full burst."""
        self._bucket = TokenBucket()

    def acquire(self, now_s: float, vms: int) -> float:
        """Takes the token for one claim.

        Args:
            now_s: The current time, in seconds.
            vms: Number of VMs that share the store.

        Returns:
            See `Bucket.reserve`.
        """
        per_s = MAX_RECORDS_PER_S / max(vms, 1)
        most = max(per_s * BURST_S, 1.0)
        return self._bucket.take(1.0, now_s, per_s, most)


class RecordQuota:
    """The bytes of records that this VM may still write.

    The platform deletes records older than one retention and two windows, so
    the stored records are those that all VMs wrote within that time. Each VM
    stays within its share of the limit by limiting its own writes, measured by
    its own clock. After a restart the used amount is unknown and the full burst
    is available again.
    """

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        """Creates an unused quota."""
        self._bucket = TokenBucket()

    def reserve(self, now_s: float, vms: int) -> float:
        """Reserves the bytes for a record of maximum size.

        Args:
            now_s: The current time, in seconds.
            vms: Number of VMs that share the store.

        Returns:
            See `Bucket.reserve`.
        """
        most = get_burst_bytes(vms)
        per_s = get_bytes_per_s(vms)
        return self._bucket.take(MAX_RECORD_BYTES, now_s, per_s, most)

    def release(self, stored_bytes: int) -> None:
        """Returns the reserved bytes that a record did not use.

        Args:
            stored_bytes: The record's size in the store, in bytes.
        """
        self._bucket.put_back(max(MAX_RECORD_BYTES - stored_bytes, 0))


def get_burst_bytes(vms: int) -> float:
    """Returns the size of one VM's burst, in bytes."""
    share = MAX_STORED_BYTES * BURST_SHARE / max(vms, 1)
    return max(share, MAX_RECORD_BYTES)


def get_bytes_per_s(vms: int) -> float:
    """Returns one VM's sustained rate of writes, in bytes per second."""
    kept_s = RETENTION_S + 2 * LEASE_WINDOW_S
    return MAX_STORED_BYTES * (1 - BURST_SHARE) / kept_s / max(vms, 1)


class ClaimSightings:
    """When this VM first saw each claim of another VM, bounded in size."""

    __slots__ = ("_first_seen_s",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._first_seen_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_sighting(self, nonce: str, now_s: float) -> float:
        """Records a claim and returns the time since its first sighting.

        Args:
            nonce: The claim's nonce.
            now_s: The current time, in seconds.

        Returns:
            The time, in seconds; 0 for a new claim.
        """
        first_s = self._first_seen_s.setdefault(nonce, now_s)
        while len(self._first_seen_s) > MAX_SIGHTINGS:
            self._first_seen_s.popitem(last=False)
        return now_s - first_s
