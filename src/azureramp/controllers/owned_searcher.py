"""The state of the searchers that this VM owns."""

from __future__ import annotations

from azureramp import events, messages
from azureramp.controllers import directory, parts
from azureramp.policy import queues, ramps
from azureramp.ports.searchers import api as searchers_api

UNCONFIRMED = -1
"""Initial value that differs from every count of lost connections, so that the
searcher is probed before anything is sent to it."""

Part = parts.Part


class OwnedSearcher:
    """One searcher that this VM owns.

    Attributes:
        place: The searcher, its server and zone.
        ramp: Limits the number of concurrent calls.
        queue: Sub-requests that wait for a slot.
        running: Sub-requests that run on it, by key.
        health: Its last health report; None before the first.
        reachable: False while it is down or not yet probed.
        missed_reads: Consecutive health reads that timed out.
        confirmed_lost: Number of lost connections when its incarnation was
            last confirmed.
        succeeded_s: Loop time of its last successful call, in seconds.
        reserved: Slots that former owners still use and the loop time, in
            seconds, by which they are free, by the VM that reported them.
        abandoned_until_s: Loop times, in seconds, at which the slots of
            abandoned calls become free.
        recorded_state: The state and incarnation that were recorded last.
    """

    __slots__ = (
        "abandoned_until_s",
        "confirmed_lost",
        "health",
        "missed_reads",
        "place",
        "queue",
        "ramp",
        "reachable",
        "recorded_state",
        "reserved",
        "running",
        "succeeded_s",
    )

    def __init__(self, place: directory.SearcherLocation) -> None:
        """Creates the state of a searcher that has not been probed yet."""
        searcher = place.searcher
        self.place = place
        self.ramp = ramps.Ramp(searcher.slots, searcher.cold_limit)
        self.queue: queues.PriorityQueue[Part] = queues.PriorityQueue()
        self.running: dict[tuple[str, int], Part] = {}
        self.health: searchers_api.Health | None = None
        self.reachable = False
        self.missed_reads = 0
        self.confirmed_lost = 0
        self.succeeded_s = 0.0
        self.reserved: dict[str, tuple[int, float]] = {}
        self.abandoned_until_s: list[float] = []
        self.recorded_state: tuple[str, int] | None = None

    def get_name(self) -> str:
        """Returns the searcher's name."""
        return self.place.searcher.name

    def get_address(self) -> str:
        """Returns the searcher's `IP:port`."""
        return self.place.searcher.address

    def is_cold(self) -> bool:
        """Returns True if it is in cold start."""
        return self.ramp.state is ramps.State.COLD

    def count_in_use(self, now_s: float) -> int:
        """Returns the number of slots in use, including former owners'."""
        reserved = sum(
            slots
            for slots, until_s in self.reserved.values()
            if now_s < until_s
        )
        if self.abandoned_until_s:
            self.abandoned_until_s = [
                until_s for until_s in self.abandoned_until_s if until_s > now_s
            ]
        return len(self.running) + reserved + len(self.abandoned_until_s)

    def reserve(self, former: str, slots: int, until_s: float) -> None:
        """Reserves the slots that a former owner still uses."""
        self.reserved[former] = (slots, until_s)

    def get_longest_remaining_s(self, now_s: float) -> float:
        """Returns the longest remaining time of a slot in use, in seconds."""
        ends_s = [part.deadline_s for part in self.running.values()]
        ends_s += self.abandoned_until_s
        ends_s += [until_s for _, until_s in self.reserved.values()]
        return max(0.0, max(ends_s, default=now_s) - now_s)

    def has_room(self, part: Part, now_s: float) -> bool:
        """Returns True if a slot is free for a sub-request now."""
        in_use = self.count_in_use(now_s)
        if part.alone:
            return in_use == 0
        if any(running.alone for running in self.running.values()):
            return False
        return in_use < self.ramp.limit

    def make_call(
        self, part: Part, now_s: float, lease_s: float
    ) -> searchers_api.Call:
        """Creates the port's call for a sub-request.

        Args:
            part: The sub-request.
            now_s: The loop time, in seconds.
            lease_s: Maximum duration of a cold searcher's call, in seconds.
        """
        left_s = part.deadline_s - now_s
        if self.is_cold():
            # Once the lease has expired, another VM may own the searcher and
            # relies on none of this VM's calls still running there.
            left_s = min(left_s, lease_s)
        expected_ms = self.ramp.get_expected_ms()
        return part.make_call(
            self.get_address(), left_s, expected_ms, self.is_cold()
        )

    def make_dispatched(
        self, part: Part, lease_until_s: float
    ) -> events.PartDispatched:
        """Creates the event of a sub-request that is about to be written.

        Args:
            part: The sub-request.
            lease_until_s: Loop time at which this VM's lease expires, in
                seconds.
        """
        place = self.place
        return events.PartDispatched(
            request_id=part.batch.request_id,
            part=part.request.part,
            searcher=place.searcher.name,
            server=place.server.name,
            zone=place.server.zone,
            version=part.batch.version,
            low=part.request.low,
            high=part.request.high,
            in_use=self.count_in_use(part.sent_s),
            limit=self.ramp.limit,
            cold=self.is_cold(),
            lease_ms=(lease_until_s - part.sent_s) * 1000,
            repeatable=part.batch.repeatable,
            fingerprint=part.batch.fingerprint,
        )

    def has_state(self) -> bool:
        """Returns True if its state was determined after its acquisition."""
        return not self.reachable or bool(self.health and self.health.versions)

    def make_state(self, usable: bool) -> messages.SearcherState:
        """Creates the state that is announced to the other VMs.

        Args:
            usable: True if this VM would send work to it.
        """
        health = self.health
        return messages.SearcherState(
            searcher=self.get_name(),
            incarnation=health.incarnation if health else 0,
            usable=usable,
            limit=self.ramp.limit,
            queued=len(self.queue),
            service_ms=self.ramp.get_usual_service_ms(),
            versions=health.versions if health else (),
        )


class Holdings:
    """The searchers that this VM owns and their unfinished sub-requests.

    Attributes:
        owned: The owned searchers by name.
        parts: The unfinished sub-requests with their searchers, by key,
            including queued ones of suspect requests.
    """

    __slots__ = ("owned", "parts")

    def __init__(self) -> None:
        """Creates empty holdings."""
        self.owned: dict[str, OwnedSearcher] = {}
        self.parts: dict[tuple[str, int], tuple[OwnedSearcher, Part]] = {}

    def get_fingerprints_in_flight(self, server: str) -> set[int]:
        """Returns the fingerprints of the calls in flight on a server."""
        return {
            part.batch.fingerprint
            for owned, part in self.parts.values()
            if part.sent and owned.place.server.name == server
        }
