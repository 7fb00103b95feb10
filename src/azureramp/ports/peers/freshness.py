"""Which envelopes are too old to be taken.

A message's durations count from its arrival, so one that was long on its way
would begin work that nobody waits for any more. Envelopes come late when a
link heals, when this process was paused, or when somebody sends a recorded
one again.
"""

from __future__ import annotations

import dataclasses
import math

MAX_DELAY_MS = 2000
"""Longest time on the way, beyond the usual, in milliseconds."""

WINDOW_MS = 10_000
"""How long the least time on the way is remembered, in milliseconds."""


@dataclasses.dataclass(slots=True)
class Sender:
    """What is known of one VM's process.

    Attributes:
        incarnation: The newest incarnation heard.
        began_ms: When the present window began, on this VM's clock.
        least_ms: The least difference of the two VMs' clocks in this window.
        former_ms: The same of the window before.
    """

    incarnation: int
    began_ms: int
    least_ms: float = math.inf
    former_ms: float = math.inf


class Freshness:
    """Judges envelopes by their sending time.

    The two clocks have nothing to do with each other, but the difference
    between arrival and sending is the same for all envelopes of a process
    but for their time on the way. The least difference of late stands for
    none. It is forgotten after two windows, since clocks drift, and that of a
    suspended VM stands still.
    """

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        """Makes one that knows nobody."""
        self._senders: dict[str, Sender] = {}

    def accept(
        self, vm: str, incarnation: int, sent_ms: int, now_ms: int
    ) -> bool:
        """Judges one envelope.

        Args:
            vm: The sender.
            incarnation: The sender's incarnation.
            sent_ms: The sender's clock at the sending, in milliseconds.
            now_ms: This VM's clock, in milliseconds.

        Returns:
            False if it is of an earlier process or was too long on its way.
        """
        sender = self._senders.get(vm)
        if sender is None or incarnation > sender.incarnation:
            sender = self._senders[vm] = Sender(incarnation, now_ms)
        elif incarnation < sender.incarnation:
            return False
        if now_ms - sender.began_ms > WINDOW_MS:
            sender.former_ms = sender.least_ms
            sender.least_ms = math.inf
            sender.began_ms = now_ms
        difference_ms = now_ms - sent_ms
        sender.least_ms = min(sender.least_ms, difference_ms)
        usual_ms = min(sender.least_ms, sender.former_ms)
        return difference_ms - usual_ms <= MAX_DELAY_MS
