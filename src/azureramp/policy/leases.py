"""The heartbeat lease: who may send to a cold searcher.

A VM claims its searchers in each heartbeat. Each VM that hears it promises
every claimed searcher that it has not promised to another, for the length of
the lease, counted from the arrival. The claimant counts from the sending, so
its lease always ends before the promises do. Since any two majorities share a
VM, no two claimants ever hold the same searcher.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterable

import xxhash

from azureramp.policy import lists

DRIFT = 0.01
"""Share of a lease that its holder gives up, since clocks of different VMs
don't run at quite the same rate."""


def compute_claim(searcher: str) -> int:
    """Computes the identity of a searcher in claims."""
    return xxhash.xxh3_64_intdigest(searcher.encode())


@dataclasses.dataclass(slots=True, frozen=True)
class Holder:
    """A process that may hold leases.

    Attributes:
        vm: The VM's name.
        incarnation: The process's incarnation. A restarted process is
            another holder: it knows nothing of what the former one sent.
    """

    vm: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Promise:
    """One searcher promised to one holder.

    Attributes:
        holder: The holder.
        until_s: When the promise ends, on this VM's clock.
    """

    holder: Holder
    until_s: float


class Promises:
    """What this VM has promised to others, and to itself.

    Kept in memory only. A restarted VM has forgotten its promises, so it
    makes none for one lease length: by then the forgotten ones have ended.
    """

    __slots__ = ("_by_claim", "_longest_s", "_started_s")

    def __init__(self, started_s: float, lease_s: float) -> None:
        """Makes an empty table.

        Args:
            started_s: When this process began, on its clock.
            lease_s: The longest lease that is granted, in seconds.
        """
        self._longest_s = lease_s
        self._started_s = started_s
        self._by_claim: dict[int, Promise] = {}

    def set_longest(self, lease_s: float) -> None:
        """Sets the longest lease that is granted, in seconds.

        It is also how long after its start this process grants none.
        """
        self._longest_s = lease_s

    def grant(
        self,
        holder: Holder,
        claims: Iterable[int],
        lease_s: float,
        now_s: float,
    ) -> frozenset[int] | None:
        """Answers a heartbeat.

        Args:
            holder: Who asks.
            claims: The searchers that it claims.
            lease_s: The lease that it asks for, in seconds.
            now_s: The time of the heartbeat's arrival.

        Returns:
            The claims that are refused; None if nothing is granted at all.
        """
        quiet = now_s < self._started_s + self._longest_s
        if quiet or not 0 < lease_s <= self._longest_s:
            return None
        refused: set[int] = set()
        for claim in claims:
            promise = self._by_claim.get(claim)
            if promise is None or promise.until_s <= now_s:
                self._by_claim[claim] = Promise(holder, now_s + lease_s)
            elif promise.holder == holder:
                promise.until_s = max(promise.until_s, now_s + lease_s)
            else:
                refused.add(claim)
        return frozenset(refused)

    def expire(self, now_s: float) -> None:
        """Forgets the promises that have ended, to bound the table."""
        self._by_claim = {
            claim: promise
            for claim, promise in self._by_claim.items()
            if promise.until_s > now_s
        }


@dataclasses.dataclass(slots=True, frozen=True)
class Sent:
    """A heartbeat that was sent.

    Attributes:
        at_s: When, on this VM's clock.
        claims: What it claimed.
    """

    at_s: float
    claims: frozenset[int]


class Lease:
    """What the others have granted to this VM."""

    __slots__ = ("_agreed", "_claims", "_granted", "_lease_s", "_sent")

    def __init__(self, lease_s: float) -> None:
        """Makes a lease that nobody has granted.

        Args:
            lease_s: Its length, in seconds.
        """
        self._lease_s = lease_s * (1 - DRIFT)
        self._claims: frozenset[int] = frozenset()
        self._sent: dict[int, Sent] = {}
        self._agreed: dict[str, float] = {}
        self._granted: dict[int, dict[str, float]] = {}

    def set_length(self, lease_s: float) -> None:
        """Sets the length of the leases asked for, in seconds.

        A shorter one counts at once, a longer one from the next heartbeat
        on: the promises already made are of the old length.
        """
        held_s = lease_s * (1 - DRIFT)
        if held_s > self._lease_s:
            self._agreed.clear()
            self._sent.clear()
            for times in self._granted.values():
                times.clear()
        self._lease_s = held_s

    def set_claims(self, claims: Collection[int]) -> None:
        """Sets what is claimed from the next heartbeat on.

        A claim that was given up loses all grants, those still on their way
        included: when it comes back, another VM may have held it meanwhile.
        """
        now = frozenset(claims)
        for claim in self._claims - now:
            self._granted.pop(claim, None)
            for sequence, sent in self._sent.items():
                self._sent[sequence] = Sent(sent.at_s, sent.claims - {claim})
        for claim in now - self._claims:
            self._granted[claim] = {}
        self._claims = now

    def get_claims(self) -> frozenset[int]:
        """Returns what is claimed."""
        return self._claims

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Takes note that a heartbeat is about to be sent."""
        oldest_s = now_s - self._lease_s
        for number in [n for n, s in self._sent.items() if s.at_s < oldest_s]:
            del self._sent[number]
        self._sent[sequence] = Sent(now_s, self._claims)

    def get_sent_s(self, sequence: int) -> float | None:
        """Returns when a heartbeat was sent; None if it is too long ago."""
        sent = self._sent.get(sequence)
        return None if sent is None else sent.at_s

    def record_ack(
        self, voter: str, sequence: int, refused: Collection[int]
    ) -> None:
        """Takes an acknowledgement that grants all but some claims.

        The lease counts from the sending of the heartbeat acknowledged,
        never from the acknowledgement's arrival, which may be late.
        """
        sent = self._sent.get(sequence)
        if sent is None:
            return
        self._agreed[voter] = max(self._agreed.get(voter, -math.inf), sent.at_s)
        for claim in sent.claims.difference(refused):
            times = self._granted[claim]
            times[voter] = max(times.get(voter, -math.inf), sent.at_s)

    def compute_contact_until_s(self, window: lists.ListWindow) -> float:
        """Computes until when a majority acknowledges this VM at all."""
        return self._compute(window, self._agreed)

    def compute_until_s(self, claim: int, window: lists.ListWindow) -> float:
        """Computes until when a claim is granted; minus infinity if never."""
        return self._compute(window, self._granted.get(claim, {}))

    def _compute(
        self, window: lists.ListWindow, times: dict[str, float]
    ) -> float:
        agreed_s = window.compute_agreed(times)
        return -math.inf if agreed_s is None else agreed_s + self._lease_s
