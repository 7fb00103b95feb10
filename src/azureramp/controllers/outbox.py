"""Sending to the other daemons, batched.

All messages that one turn of the event loop makes for one peer travel in one
envelope: a message between processes costs more processor time than its
content, so the batch is what makes an owner's hop affordable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from azureramp import blackboard, messages
from azureramp.ports.peers import api as peers_api

Local = Callable[[str, messages.PeerMessage], None]


class Outbox:
    """Batches messages by peer.

    Attributes:
        local: Takes the messages that this VM sends to itself, with the
            sender's name; set by the wiring.
    """

    __slots__ = ("_board", "_pending", "_port", "local")

    def __init__(
        self, board: blackboard.Blackboard, port: peers_api.Peers
    ) -> None:
        """Makes an outbox that sends through a port."""
        self._board = board
        self._port = port
        self._pending: dict[str, list[messages.PeerMessage]] = {}
        self.local: Local | None = None

    def send(self, vm: str, message: messages.PeerMessage) -> bool:
        """Sends a message, at the end of this turn of the loop.

        Args:
            vm: The receiving VM's name; this VM's own is delivered here.
            message: The message.

        Returns:
            False if the VM is not known, so that nothing is sent.
        """
        if vm != self._board.settings.vm and vm not in self._board.members:
            return False
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.setdefault(vm, []).append(message)
        return True

    def reconnect(self, vm: str) -> None:
        """Gives the link to a VM up and opens a new one."""
        member = self._board.members.get(vm)
        if member is not None:
            self._board.metrics.count("peer.reconnects")
            self._port.reconnect(member.vm.peer_address)

    def _flush(self) -> None:
        """Hands each peer's messages to the port, as one envelope."""
        pending, self._pending = self._pending, {}
        for vm, batch in pending.items():
            if vm == self._board.settings.vm:
                for message in batch:
                    if self.local is not None:
                        self.local(vm, message)
                continue
            member = self._board.members.get(vm)
            if member is None:
                continue
            if not self._port.send(member.vm.peer_address, *batch):
                self._board.metrics.count("peer.dropped")
