"""Heartbeat leases, which decide which VM may send to a cold searcher.

A VM claims its searchers in each heartbeat. Each VM that receives it grants
every claimed searcher that it has not granted to another VM, for the length
of the lease, counted from the arrival. The claimant counts from the sending,
so its lease always expires before the grants do. Since any two majorities
share a VM, no two claimants ever hold the same searcher.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterable

import xxhash

from azureramp.policy import vm_lists

MAX_CLOCK_DRIFT = 0.01
"""Fraction by which a holder shortens its lease, because the clocks of VMs run
at slightly different rates."""


def compute_claim_hash(searcher: str) -> int:
    """Computes the hash that identifies a searcher in claims."""
    return xxhash.xxh3_64_intdigest(searcher.encode())


@dataclasses.dataclass(slots=True, frozen=True)
class Holder:
    """A process that may hold leases.

    Attributes:
        vm: The VM's name.
        incarnation: The process's incarnation. A restarted process is a
            different holder: it does not know what its predecessor sent.
    """

    vm: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Grant:
    """A grant of one searcher to one holder.

    Attributes:
        holder: The holder.
        until_s: When the grant expires, in seconds on this VM's clock.
    """

    holder: Holder
    until_s: float


class IssuedGrants:
    """The grants that this VM has made to other VMs and to itself.

    They are kept in memory only. A restarted VM has lost its grants, so it
    makes none for the length of one lease: by then the lost ones have expired.
    """

    __slots__ = ("_by_claim", "_max_lease_s", "_started_s")

    def __init__(self, started_s: float, lease_s: float) -> None:
        """Creates an empty table.

        Args:
            started_s: When this process started, in seconds on its clock.
            lease_s: The longest lease that is granted, in seconds.
        """
        self._max_lease_s = lease_s
        self._started_s = started_s
        self._by_claim: dict[int, Grant] = {}

    def set_max_lease(self, lease_s: float) -> None:
        """Sets the longest lease that is granted, in seconds.

        This is also the time after its start in which this process grants none.
        """
        self._max_lease_s = lease_s

    def grant_claims(
        self,
        holder: Holder,
        claims: Iterable[int],
        lease_s: float,
        now_s: float,
    ) -> frozenset[int] | None:
        """Grants the claims of a heartbeat.

        Args:
            holder: The sender of the heartbeat.
            claims: The searchers that it claims.
            lease_s: The requested lease length, in seconds.
            now_s: When the heartbeat arrived, in seconds.

        Returns:
            The claims that are refused; None if nothing is granted at all.
        """
        starting = now_s < self._started_s + self._max_lease_s
        if starting or not 0 < lease_s <= self._max_lease_s:
            return None
        refused: set[int] = set()
        for claim in claims:
            grant = self._by_claim.get(claim)
            if grant is None or grant.until_s <= now_s:
                self._by_claim[claim] = Grant(holder, now_s + lease_s)
            elif grant.holder == holder:
                grant.until_s = max(grant.until_s, now_s + lease_s)
            else:
                refused.add(claim)
        return frozenset(refused)

    def expire(self, now_s: float) -> None:
        """Removes expired grants, to bound the size of the table."""
        self._by_claim = {
            claim: grant
            for claim, grant in self._by_claim.items()
            if grant.until_s > now_s
        }


@dataclasses.dataclass(slots=True, frozen=True)
class SentHeartbeat:
    """A heartbeat that was sent.

    Attributes:
        at_s: When it was sent, in seconds on this VM's clock.
        claims: The searchers that it claimed.
    """

    at_s: float
    claims: frozenset[int]


class ReceivedGrants:
    """The leases that the other VMs have granted to this VM."""

    __slots__ = ("_agreed", "_claims", "_granted", "_lease_s", "_sent")

    def __init__(self, lease_s: float) -> None:
        """Creates a lease without grants.

        Args:
            lease_s: The length of the lease, in seconds.
        """
        self._lease_s = lease_s * (1 - MAX_CLOCK_DRIFT)
        self._claims: frozenset[int] = frozenset()
        self._sent: dict[int, SentHeartbeat] = {}
        self._agreed: dict[str, float] = {}
        self._granted: dict[int, dict[str, float]] = {}

    def set_length(self, lease_s: float) -> None:
        """Sets the length of the requested leases, in seconds.

        A shorter length applies at once, a longer one from the next heartbeat
        on, since existing grants have the old length.
        """
        held_s = lease_s * (1 - MAX_CLOCK_DRIFT)
        if held_s > self._lease_s:
            self._agreed.clear()
            self._sent.clear()
            for times in self._granted.values():
                times.clear()
        self._lease_s = held_s

    def set_claims(self, claims: Collection[int]) -> None:
        """Sets the searchers that are claimed from the next heartbeat on.

        A dropped claim loses all grants, including those still in transit: if
        it is claimed again, another VM may have held it in the meantime.
        """
        current = frozenset(claims)
        for claim in self._claims - current:
            self._granted.pop(claim, None)
            for sequence, sent in self._sent.items():
                self._sent[sequence] = SentHeartbeat(
                    sent.at_s, sent.claims - {claim}
                )
        for claim in current - self._claims:
            self._granted[claim] = {}
        self._claims = current

    def get_claims(self) -> frozenset[int]:
        """Returns the current claims."""
        return self._claims

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Records that a heartbeat is about to be sent."""
        oldest_s = now_s - self._lease_s
        for number in [n for n, s in self._sent.items() if s.at_s < oldest_s]:
            del self._sent[number]
        self._sent[sequence] = SentHeartbeat(now_s, self._claims)

    def get_sent_s(self, sequence: int) -> float | None:
        """Returns when a heartbeat was sent; None if that is too long ago."""
        sent = self._sent.get(sequence)
        return None if sent is None else sent.at_s

    def record_ack(
        self, voter: str, sequence: int, refused: Collection[int]
    ) -> None:
        """Records an acknowledgement, which grants all claims not refused.

        The lease counts from the sending of the acknowledged heartbeat, not
        from the arrival of the acknowledgement, which may be delayed.
        """
        sent = self._sent.get(sequence)
        if sent is None:
            return
        self._agreed[voter] = max(self._agreed.get(voter, -math.inf), sent.at_s)
        for claim in sent.claims.difference(refused):
            times = self._granted[claim]
            times[voter] = max(times.get(voter, -math.inf), sent.at_s)

    def compute_contact_until_s(self, window: vm_lists.ListWindow) -> float:
        """Computes until when a majority acknowledges this VM's heartbeats."""
        return self._compute(window, self._agreed)

    def compute_until_s(self, claim: int, window: vm_lists.ListWindow) -> float:
        """Computes until when a claim is granted; minus infinity if not."""
        return self._compute(window, self._granted.get(claim, {}))

    def _compute(
        self, window: vm_lists.ListWindow, times: dict[str, float]
    ) -> float:
        agreed_s = window.compute_majority_s(times)
        return -math.inf if agreed_s is None else agreed_s + self._lease_s
