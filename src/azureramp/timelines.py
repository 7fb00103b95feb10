"""A process's bounded timeline, with a hybrid logical clock.

Every process records what it does. The clock (Kulkarni et al., 2014) keeps
the order of cause across processes whose wall clocks differ: an event that a
message caused is always later than the message's sending.
"""

from __future__ import annotations

import collections
import datetime
import time
from collections.abc import Callable

import msgspec

from azureramp import events

COUNTER_BITS = 16
"""Low bits of a clock value that count events within one millisecond."""

CAPACITY = 50_000
"""Most events that a process keeps; older ones are dropped and counted."""


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One event in a process's timeline.

    Attributes:
        clock: The hybrid logical clock's value.
        vm: The VM's name.
        at_s: The VM's wall clock, in seconds since 1970, UTC.
        monotonic_s: The process's monotonic clock, in seconds.
        event: The event.
    """

    clock: int
    vm: str
    at_s: float
    monotonic_s: float
    event: events.AnyEvent


def format_utc(at_s: float) -> str:
    """Formats a wall-clock time.

    Args:
        at_s: Seconds since 1970, UTC.

    Returns:
        ISO 8601 with milliseconds and the suffix `Z`.
    """
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment:%f}"[:3] + "Z"


class Timeline:
    """The bounded record of one process's events.

    Attributes:
        vm: The VM's name.
        dropped: How many events were dropped for want of room.
        observer: Told of each record, for tests that act at a step.
    """

    __slots__ = ("_clock", "_records", "_wall", "dropped", "observer", "vm")

    def __init__(
        self,
        vm: str,
        wall: Callable[[], float] = time.time,
        capacity: int = CAPACITY,
    ) -> None:
        """Makes an empty timeline.

        Args:
            vm: The VM's name.
            wall: Reads the wall clock, in seconds since 1970.
            capacity: Most events to keep.
        """
        self.vm = vm
        self.dropped = 0
        self.observer: Callable[[Record], None] | None = None
        self._wall = wall
        self._clock = 0
        self._records: collections.deque[Record] = collections.deque(
            maxlen=capacity
        )

    def read_clock(self) -> int:
        """Advances the clock for a local event or a sending."""
        physical = int(self._wall() * 1000) << COUNTER_BITS
        self._clock = max(self._clock + 1, physical)
        return self._clock

    def observe_clock(self, received: int) -> None:
        """Moves the clock past one that came with a message."""
        self._clock = max(self._clock, received) + 1

    def record(self, event: events.AnyEvent, monotonic_s: float) -> None:
        """Records an event.

        Args:
            event: The event.
            monotonic_s: The process's monotonic clock, in seconds.
        """
        if len(self._records) == self._records.maxlen:
            self.dropped += 1
        record = Record(
            clock=self.read_clock(),
            vm=self.vm,
            at_s=self._wall(),
            monotonic_s=monotonic_s,
            event=event,
        )
        self._records.append(record)
        if self.observer is not None:
            self.observer(record)

    def get_records(self, after: int = 0) -> list[Record]:
        """Returns the records later than a clock value, in order."""
        return [record for record in self._records if record.clock > after]


def merge(timelines: list[list[Record]]) -> list[Record]:
    """Merges the timelines of several processes into one causal order."""
    joined = [record for timeline in timelines for record in timeline]
    joined.sort(key=lambda record: (record.clock, record.vm))
    return joined
