"""Receiving from the other daemons: each message goes to its controller."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from azureramp import blackboard, messages

Receiver = Callable[[str, Any], None]
"""Takes the sending VM's name and the message."""


@dataclasses.dataclass(slots=True, frozen=True)
class Receivers:
    """Who takes which message, by the message's type.

    Attributes:
        by_type: A receiver for each type of peer message.
        envelope: Sees each envelope first: its sender and incarnation.
    """

    by_type: dict[type[messages.PeerMessage], Receiver]
    envelope: Callable[[str, int], None]


class Inbox:
    """Hands messages to the controllers."""

    __slots__ = ("_board", "_receivers")

    def __init__(
        self, board: blackboard.Blackboard, receivers: Receivers
    ) -> None:
        """Makes an inbox for these receivers."""
        self._board = board
        self._receivers = receivers

    def receive(self, envelope: messages.Envelope) -> None:
        """Takes an envelope from a port."""
        self._board.timeline.observe_clock(envelope.clock)
        self._receivers.envelope(envelope.sender, envelope.incarnation)
        for message in envelope.messages:
            self.receive_one(envelope.sender, message)

    def receive_one(self, sender: str, message: messages.PeerMessage) -> None:
        """Takes one message; one that nobody receives is ignored."""
        receiver = self._receivers.by_type.get(type(message))
        if receiver is not None:
            receiver(sender, message)
