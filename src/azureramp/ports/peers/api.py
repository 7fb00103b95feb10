"""The interface of the links between the daemons.

Messages are one-way and may be lost, late or doubled, but not altered: the
transport authenticates each envelope by a keyed MAC. Envelopes of an earlier
incarnation, and those more than `freshness.MAX_DELAY_MS` late, are dropped.
Sending never waits: a full or silent link drops, and the sender's own
timeouts cover the loss.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from azureramp import messages

Handler = Callable[[messages.Envelope], None]


class Peers(Protocol):
    """The links to all other daemons."""

    async def start(self, handler: Handler) -> None:
        """Begins to receive.

        Args:
            handler: Called for each envelope that arrives and is authentic.
        """
        ...

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Queues messages for a peer, as one envelope.

        Args:
            address: The peer's `IP:port`.
            *batch: The messages, in order.

        Returns:
            False if they were dropped at once, since the link's queue is
            full; True says nothing of their arrival.
        """
        ...

    def reconnect(self, address: str) -> None:
        """Gives a link up that has gone silent, and opens a new one.

        What waits in it is lost.

        Args:
            address: The peer's `IP:port`.
        """
        ...

    async def close(self) -> None:
        """Sends what is queued, within a short time, and closes."""
        ...
