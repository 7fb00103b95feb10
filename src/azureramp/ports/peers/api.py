"""The interface to the links between the daemons.

Messages are one-way. They may be lost, delayed or duplicated, but not altered,
since the transport authenticates each envelope with a keyed MAC. Envelopes of
an earlier incarnation and those delayed by more than `freshness.MAX_DELAY_MS`
are dropped. Sending never blocks: a full or disconnected link drops messages,
and the sender's own timeouts handle the loss.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from azureramp import messages

Handler = Callable[[messages.Envelope], None]


class Peers(Protocol):
    """The links from this daemon to all others."""

    async def start(self, handler: Handler) -> None:
        """Starts receiving.

        Args:
            handler: Called for each authentic envelope that is received and
                not dropped as outdated.
        """
        ...

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Queues messages for a peer as one envelope.

        Args:
            address: The peer's `IP:port`.
            *batch: The messages, in order.

        Returns:
            False if the messages were dropped immediately, since the link is
            not connected or its queue is full. True does not imply delivery.
        """
        ...

    def reconnect(self, address: str) -> None:
        """Closes a link that is no longer delivering and opens a new one.

        Messages queued in the old link are lost.

        Args:
            address: The peer's `IP:port`.
        """
        ...

    async def close(self) -> None:
        """Closes all links after a short time for sending queued messages."""
        ...
