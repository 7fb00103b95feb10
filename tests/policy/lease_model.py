"""A cell of VMs that claim searchers, with simulated time and faults.

The VMs' views of the owners are not modelled: any VM may claim the searcher at
any time, which covers every possible view. The clocks run at slightly
different rates.
"""

from __future__ import annotations

import dataclasses

from azureramp.policy import leases, vm_lists

LEASE_S = 1.5
LAG_S = 5.0
READ_S = 1.0
WINDOW_S = 2 * (LAG_S + READ_S) + LEASE_S
SEARCHER = 1


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """A heartbeat in transit."""

    target: str
    holder: leases.Holder
    sequence: int
    claims: frozenset[int]
    lists: tuple[tuple[str, ...], ...]


@dataclasses.dataclass(slots=True)
class Ack:
    """An acknowledgement in transit."""

    target: leases.Holder
    voter: str
    sequence: int
    refused: frozenset[int]
    lists: tuple[int, ...]


class Node:
    """A process of a VM."""

    def __init__(self, name: str, incarnation: int, rate: float) -> None:
        self.holder = leases.Holder(name, incarnation)
        self.rate = rate
        self.paused = False
        self.sequence = 0
        self.read_s = 0.0
        self.promises: leases.IssuedGrants
        self.lease = leases.ReceivedGrants(LEASE_S)
        self.window = vm_lists.ListWindow(WINDOW_S)
        self.until_s: dict[int, float] = {}

    def update(self, now_s: float) -> None:
        """Computes the lease, as the controller does after each event."""
        self.window.expire(now_s)
        self.until_s = {
            claim: self.lease.compute_until_s(claim, self.window)
            for claim in self.lease.get_claims()
        }

    def may_send(self, searcher: int, now_s: float) -> bool:
        return now_s < self.until_s.get(searcher, 0.0)


class Cell:
    """All VMs, the VM list, and the messages in transit."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.now_s = 100.0
        self.history: list[tuple[float, tuple[str, ...]]] = [(0.0, names)]
        self.nodes: dict[str, Node] = {}
        self.wire: list[Heartbeat | Ack] = []
        self._starts = 0
        for name in names:
            self.start(name)

    def clock(self, node: Node) -> float:
        return self.now_s * node.rate

    def start(self, name: str) -> None:
        """Starts a process, or restarts it without its state."""
        self._starts += 1
        rate = 1.0 + 0.002 * (self._starts % 3 - 1)
        node = Node(name, self._starts, rate)
        node.promises = self.make_promises(self.clock(node))
        self.nodes[name] = node
        self.read(name, 0.0)

    def make_promises(self, started_s: float) -> leases.IssuedGrants:
        return leases.IssuedGrants(started_s, LEASE_S)

    def read(self, name: str, lag_s: float) -> None:
        """Reads the VM list as it was `lag_s` seconds ago."""
        node = self.nodes[name]
        seen = [n for at, n in self.history if at <= self.now_s - lag_s]
        node.window.record(seen[-1], self.clock(node))
        node.read_s = self.now_s
        node.update(self.clock(node))

    def change_list(self, names: tuple[str, ...]) -> None:
        """Changes the list without starting or stopping processes."""
        self.history.append((self.now_s, names))

    def claim(self, name: str, claims: frozenset[int]) -> None:
        node = self.nodes[name]
        node.lease.set_claims(claims)
        node.update(self.clock(node))

    def send_heartbeat(
        self, name: str, reached: frozenset[str], *, answered: bool = True
    ) -> None:
        """Sends a heartbeat, which arrives at some VMs at once, at others late.

        Args:
            name: The sender.
            reached: The VMs at which it arrives at once.
            answered: True if their acknowledgements arrive at once too.
        """
        node = self.nodes[name]
        if node.paused:
            return
        node.sequence += 1
        node.lease.record_sent(node.sequence, self.clock(node))
        for target in self.nodes:
            heartbeat = Heartbeat(
                target,
                node.holder,
                node.sequence,
                node.lease.get_claims(),
                node.window.get_read_lists(),
            )
            if target in reached or target == name:
                ack = self.receive_heartbeat(heartbeat)
                if ack is not None and (answered or target == name):
                    self.receive_ack(ack)
                elif ack is not None:
                    self.wire.append(ack)
            else:
                self.wire.append(heartbeat)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> Ack | None:
        node = self.nodes.get(heartbeat.target)
        if node is None or node.paused:
            return None
        for names in heartbeat.lists:
            node.window.record_from_peer(names, self.clock(node))
        refused = node.promises.grant_claims(
            heartbeat.holder, heartbeat.claims, LEASE_S, self.clock(node)
        )
        if refused is None:
            return None
        return Ack(
            heartbeat.holder,
            heartbeat.target,
            heartbeat.sequence,
            refused,
            node.window.get_hashes(),
        )

    def receive_ack(self, ack: Ack) -> None:
        node = self.nodes.get(ack.target.vm)
        if node is None or node.paused or node.holder != ack.target:
            return
        if node.window.contains_all(ack.lists):
            node.lease.record_ack(ack.voter, ack.sequence, ack.refused)
        node.update(self.clock(node))

    def deliver(self, index: int, *, keep: bool) -> None:
        """Delivers a late message; with `keep` it can be delivered again."""
        if not self.wire:
            return
        index %= len(self.wire)
        message = self.wire[index] if keep else self.wire.pop(index)
        if isinstance(message, Ack):
            self.receive_ack(message)
            return
        ack = self.receive_heartbeat(message)
        if ack is not None:
            self.wire.append(ack)

    def advance(self, by_s: float, lags_s: dict[str, float]) -> None:
        """Advances the time; VMs not paused read the list every second.

        Args:
            by_s: By how much to advance, in seconds.
            lags_s: The age of the list that each VM reads, in seconds.
        """
        end_s = self.now_s + by_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + 0.25)
            for name, node in self.nodes.items():
                if not node.paused and self.now_s - node.read_s >= READ_S:
                    self.read(name, lags_s.get(name, 0.0))

    def find_holders(self) -> list[str]:
        """Returns the VMs that may send to the searcher now, even if paused.

        A paused process may resume at any time, and checks its clock then.
        """
        return [
            name
            for name, node in self.nodes.items()
            if node.may_send(SEARCHER, self.clock(node))
        ]
