"""Sends messages to the other daemons in batches.

All messages for one peer from one iteration of the event loop are sent in one
envelope. An envelope between processes costs more CPU time than its content,
so batching is what makes the extra hop through an owner affordable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from azureramp import blackboard, messages
from azureramp.ports.peers import api as peers_api

LocalReceiver = Callable[[str, messages.PeerMessage], None]


class Outbox:
    """Batches messages by peer.

    Attributes:
        on_local_message: Called with the sender's name and each message that
            this VM sends to itself; set by `daemon.wiring`.
    """

    __slots__ = ("_board", "_pending", "_port", "on_local_message")

    def __init__(
        self, board: blackboard.Blackboard, port: peers_api.Peers
    ) -> None:
        """Creates an outbox that sends through a port."""
        self._board = board
        self._port = port
        self._pending: dict[str, list[messages.PeerMessage]] = {}
        self.on_local_message: LocalReceiver | None = None

    def send(self, vm: str, message: messages.PeerMessage) -> bool:
        """Sends a message in the next iteration of the event loop.

        Args:
            vm: The receiving VM's name; messages to this VM itself are passed
                to `on_local_message`.
            message: The message.

        Returns:
            False if the VM is not a member, so that nothing is sent.
        """
        if vm != self._board.settings.vm and vm not in self._board.members:
            return False
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.setdefault(vm, []).append(message)
        return True

    def reconnect(self, vm: str) -> None:
        """Closes the link to a VM and opens a new one."""
        member = self._board.members.get(vm)
        if member is not None:
            self._board.metrics.count("peer.reconnects")
            self._port.reconnect(member.vm.peer_address)

    def _flush(self) -> None:
        """Passes each peer's messages to the port as one envelope."""
        pending, self._pending = self._pending, {}
        for vm, batch in pending.items():
            if vm == self._board.settings.vm:
                for message in batch:
                    if self.on_local_message is not None:
                        self.on_local_message(vm, message)
                continue
            member = self._board.members.get(vm)
            if member is None:
                continue
            if not self._port.send(member.vm.peer_address, *batch):
                self._board.metrics.count("peer.dropped")
