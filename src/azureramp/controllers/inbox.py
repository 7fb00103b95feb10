"""Passes messages received from other daemons to the controllers."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from azureramp import blackboard, messages

Receiver = Callable[[str, Any], None]
"""Called with the sending VM's name and the message."""


@dataclasses.dataclass(slots=True, frozen=True)
class Receivers:
    """The receivers of peer messages.

    Attributes:
        by_type: The receiver for each type of peer message.
        on_envelope: Called with the sender and the incarnation of each
            envelope, before its messages are passed on.
    """

    by_type: dict[type[messages.PeerMessage], Receiver]
    on_envelope: Callable[[str, int], None]


class Inbox:
    """Dispatches received messages to the controllers."""

    __slots__ = ("_board", "_receivers")

    def __init__(
        self, board: blackboard.Blackboard, receivers: Receivers
    ) -> None:
        """Creates an inbox for a set of receivers."""
        self._board = board
        self._receivers = receivers

    def receive(self, envelope: messages.Envelope) -> None:
        """Dispatches the messages of an envelope, in order."""
        self._board.timeline.merge_clock(envelope.clock)
        self._receivers.on_envelope(envelope.sender, envelope.incarnation)
        for message in envelope.messages:
            self.receive_message(envelope.sender, message)

    def receive_message(
        self, sender: str, message: messages.PeerMessage
    ) -> None:
        """Dispatches one message; ignores one without a receiver."""
        receiver = self._receivers.by_type.get(type(message))
        if receiver is not None:
            receiver(sender, message)
