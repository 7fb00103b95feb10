"""A process's bounded timeline of events, ordered by a hybrid logical clock.

Every process records its events. The clock (Kulkarni et al., 2014) preserves
causal order across processes whose wall clocks differ: an event caused by a
message always has a later clock value than the sending of the message.
"""

from __future__ import annotations

import collections
import datetime
import time
from collections.abc import Callable

import msgspec

from azureramp import events

COUNTER_BITS = 16
"""Number of low bits of a clock value, which count events within the same
millisecond."""

CAPACITY = 50_000
"""Maximum number of events kept; older ones are dropped and counted."""


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One event in a process's timeline.

    Attributes:
        clock: The value of the hybrid logical clock.
        vm: The VM's name.
        at_s: The time of the VM's wall clock, in seconds since 1970, UTC.
        monotonic_s: The time of the process's monotonic clock, in seconds.
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
        dropped: The number of events dropped because the timeline was full.
        observer: Called with each record, for tests that act on an event.
    """

    __slots__ = (
        "_clock",
        "_read_wall_clock",
        "_records",
        "dropped",
        "observer",
        "vm",
    )

    def __init__(
        self,
        vm: str,
        wall_clock: Callable[[], float] = time.time,
        capacity: int = CAPACITY,
    ) -> None:
        """Creates an empty timeline.

        Args:
            vm: The VM's name.
            wall_clock: Returns the time of the wall clock, in seconds since
                1970.
            capacity: Maximum number of events to keep.
        """
        self.vm = vm
        self.dropped = 0
        self.observer: Callable[[Record], None] | None = None
        self._read_wall_clock = wall_clock
        self._clock = 0
        self._records: collections.deque[Record] = collections.deque(
            maxlen=capacity
        )

    def advance_clock(self) -> int:
        """Advances the clock for a local event or a message to be sent.

        Returns:
            The new clock value.
        """
        physical = int(self._read_wall_clock() * 1000) << COUNTER_BITS
        self._clock = max(self._clock + 1, physical)
        return self._clock

    def merge_clock(self, received: int) -> None:
        """Advances the clock past the clock value of a received message."""
        self._clock = max(self._clock, received) + 1

    def record(self, event: events.AnyEvent, monotonic_s: float) -> None:
        """Records an event.

        Args:
            event: The event.
            monotonic_s: The time of the process's monotonic clock, in seconds.
        """
        if len(self._records) == self._records.maxlen:
            self.dropped += 1
        record = Record(
            clock=self.advance_clock(),
            vm=self.vm,
            at_s=self._read_wall_clock(),
            monotonic_s=monotonic_s,
            event=event,
        )
        self._records.append(record)
        if self.observer is not None:
            self.observer(record)

    def get_records(self, after: int = 0) -> list[Record]:
        """Returns the records later than a clock value, oldest first."""
        return [record for record in self._records if record.clock > after]


def merge(timelines: list[list[Record]]) -> list[Record]:
    """Merges the timelines of several processes in causal order."""
    joined = [record for timeline in timelines for record in timeline]
    joined.sort(key=lambda record: (record.clock, record.vm))
    return joined
