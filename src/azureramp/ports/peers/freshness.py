"""Detection of envelopes that arrive too late to be accepted.

The durations in a message count from its arrival, so a delayed message would
start work that no caller is waiting for any more. Envelopes arrive late when a
link recovers, when this process was paused, or when a recorded envelope is
replayed.
"""

from __future__ import annotations

import dataclasses
import math

MAX_DELAY_MS = 2000
"""Maximum delay of an envelope beyond the usual delay, in milliseconds."""

WINDOW_MS = 10_000
"""Length of the window for the minimum clock difference, in milliseconds."""


@dataclasses.dataclass(slots=True)
class Sender:
    """The state kept for one sending VM.

    Attributes:
        incarnation: The newest incarnation seen.
        window_start_ms: Start of the current window on this VM's clock, in
            milliseconds.
        min_difference_ms: The minimum difference between arrival and sending
            time in the current window, in milliseconds.
        previous_min_ms: The same for the previous window.
    """

    incarnation: int
    window_start_ms: int
    min_difference_ms: float = math.inf
    previous_min_ms: float = math.inf


class Freshness:
    """Accepts or rejects envelopes by their sending time.

    The clocks of the two VMs are unrelated, so the difference between arrival
    and sending time is a constant offset plus the delay. The recent minimum of
    the difference serves as the reference without delay. It expires after two
    windows, since clocks drift, and the clock of a suspended VM stops.
    """

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        """Makes a filter without known senders."""
        self._senders: dict[str, Sender] = {}

    def accept(
        self, vm: str, incarnation: int, sent_ms: int, now_ms: int
    ) -> bool:
        """Returns True if an envelope is to be accepted.

        Args:
            vm: The name of the sending VM.
            incarnation: The sender's incarnation.
            sent_ms: The sending time on the sender's clock, in milliseconds.
            now_ms: The current time on this VM's clock, in milliseconds.

        Returns:
            False if it is from an earlier incarnation or was delayed too long.
        """
        sender = self._senders.get(vm)
        if sender is None or incarnation > sender.incarnation:
            sender = self._senders[vm] = Sender(incarnation, now_ms)
        elif incarnation < sender.incarnation:
            return False
        if now_ms - sender.window_start_ms > WINDOW_MS:
            sender.previous_min_ms = sender.min_difference_ms
            sender.min_difference_ms = math.inf
            sender.window_start_ms = now_ms
        difference_ms = now_ms - sent_ms
        sender.min_difference_ms = min(sender.min_difference_ms, difference_ms)
        reference_ms = min(sender.min_difference_ms, sender.previous_min_ms)
        return difference_ms - reference_ms <= MAX_DELAY_MS
