"""Assignment of searchers to owners, and this VM's lease on cold searchers."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from azureramp import blackboard, messages, resources
from azureramp.policy import heartbeat_times, leases, ownership, vm_lists

READ_LIST_S = 1.0
"""Interval between reads of the VM list, in seconds."""

Inputs = tuple[int, frozenset[ownership.OwnerCandidate]]
"""Input of the assignment: a configuration revision and the candidates."""


class Ownership:
    """Computes the owners and maintains this VM's lease.

    Attributes:
        window: The recently read VM lists.
        lease: The grants that this VM has received from the others.
        on_owners_changed: Called after a change of the owners or of the times
            from which this VM may use its searchers.
    """

    __slots__ = (
        "_board",
        "_inputs",
        "_issued_grants",
        "_pace",
        "_without_majority_from_s",
        "lease",
        "on_owners_changed",
        "window",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        started_s: float,
        times: heartbeat_times.HeartbeatTimes,
    ) -> None:
        """Creates the state of a VM without searchers and without grants.

        Args:
            board: The process's state.
            started_s: Loop time at which the process started, in seconds.
            times: Heartbeat and lease durations for the size of the cell.
        """
        self._pace = times
        lag_s = board.settings.list_lag_ms / 1000
        self._board = board
        self._inputs: Inputs | None = None
        self._issued_grants = leases.IssuedGrants(
            started_s, times.longest_lease_s
        )
        self._without_majority_from_s: dict[str, float] = {}
        self.lease = leases.ReceivedGrants(times.lease_s)
        self.window = vm_lists.ListWindow(
            2 * (lag_s + READ_LIST_S) + times.longest_lease_s
        )
        self.on_owners_changed: Callable[[], None] | None = None

    def grant(
        self,
        holder: leases.Holder,
        message: messages.Heartbeat,
        now_s: float,
        *,
        leaving: bool = False,
    ) -> messages.HeartbeatAck:
        """Acknowledges a heartbeat and grants the claims that can be granted.

        Args:
            holder: The sender.
            message: The heartbeat.
            now_s: Loop time of its arrival, in seconds.
            leaving: True if this VM shuts down; it then grants nothing.
        """
        refused = None
        if not leaving:
            refused = self._issued_grants.grant_claims(
                holder, message.claims, message.lease_ms / 1000, now_s
            )
        return messages.HeartbeatAck(
            sequence=message.sequence,
            granted=refused is not None,
            revision=self._board.configuration.revision,
            refused=tuple(refused or ()),
            lists=self.window.get_hashes(),
            confirmed_age_ms=(now_s - self._board.confirmed_s) * 1000,
            incarnation=self._board.incarnation,
        )

    def needs_grants(self, now_s: float) -> bool:
        """Returns True if this VM needs grants and heartbeats are urgent."""
        return (
            math.inf in self._board.usable_from_s.values()
            or self._board.lease_until_s
            < now_s + 2 * self._pace.heartbeat_interval_s
        )

    def record_ack(
        self, voter: str, message: messages.HeartbeatAck, now_s: float
    ) -> None:
        """Adds an acknowledgement to the lease."""
        if message.granted and self.window.contains_all(message.lists):
            self.lease.record_ack(voter, message.sequence, message.refused)
        if self.needs_grants(now_s):
            self.update_lease(now_s)

    def set_durations(self, times: heartbeat_times.HeartbeatTimes) -> None:
        """Sets the durations for the current size of the cell."""
        self._pace = times
        self.lease.set_length(times.lease_s)
        self._issued_grants.set_max_lease(times.longest_lease_s)

    def get_differing_lists(self) -> tuple[tuple[str, ...], ...]:
        """Returns the recently read VM lists if there are several."""
        read = self.window.get_read_lists()
        return read if len(read) > 1 else ()

    def update_owners(
        self, candidates: Sequence[ownership.OwnerCandidate], now_s: float
    ) -> bool:
        """Computes the owners if their inputs have changed.

        Returns:
            True if the set of searchers that this VM claims has changed.
        """
        board = self._board
        self._issued_grants.expire(now_s)
        self.window.expire(now_s)
        inputs = (board.configuration.revision, frozenset(candidates))
        if inputs == self._inputs:
            return False
        self._inputs = inputs
        owners = ownership.choose_owners(
            get_searcher_zones(board.configuration),
            candidates,
            get_zones_out(board.configuration),
        )
        if owners == board.owners:
            return False
        own = board.settings.vm
        mine = [name for name, owner in owners.items() if owner == own]
        alone_s = (
            now_s + self._pace.longest_lease_s + self._pace.heartbeat_interval_s
        )
        self._without_majority_from_s = {
            name: self._without_majority_from_s.get(name, alone_s)
            for name in mine
        }
        board.usable_from_s = {
            name: board.usable_from_s.get(name, math.inf) for name in mine
        }
        board.owners = owners
        claims = frozenset(leases.compute_claim_hash(name) for name in mine)
        changed = claims != self.lease.get_claims()
        self.lease.set_claims(claims)
        self._call_on_owners()
        return changed

    def update_lease(self, now_s: float) -> None:
        """Computes the lease's expiry and the searchers that may be used.

        The blackboard has one lease for all searchers, so it is the shortest
        lease of the searchers that this VM uses. If a searcher was granted to
        another VM while this one was paused, the lease expires for all of
        them until the VMs' views agree again.

        A searcher may be used once a majority has granted it. Without any
        majority it may be used after one lease length, when any other VM's
        lease has expired: warm searchers then continue to get work, and cold
        ones wait because this VM has no valid lease.
        """
        board = self._board
        contact_until_s = self.lease.compute_contact_until_s(self.window)
        bounds = [contact_until_s]
        started = False
        for name, start_s in board.usable_from_s.items():
            until_s = self.lease.compute_until_s(
                leases.compute_claim_hash(name), self.window
            )
            if start_s == math.inf:
                granted = until_s > now_s
                alone = (
                    contact_until_s
                    <= now_s
                    >= self._without_majority_from_s[name]
                )
                if not granted and not alone:
                    continue
                board.usable_from_s[name] = now_s
                started = True
            bounds.append(until_s)
        board.lease_until_s = min(bounds)
        if started:
            self._call_on_owners()

    def _call_on_owners(self) -> None:
        if self.on_owners_changed is not None:
            self.on_owners_changed()


def get_zones_out(configuration: resources.Configuration) -> frozenset[str]:
    """Returns the names of the availability zones out of service."""
    return frozenset(
        name
        for name, zone in configuration.get_zones().items()
        if zone.state is resources.ZoneState.OUT
    )


def get_searcher_zones(
    configuration: resources.Configuration,
) -> dict[str, str]:
    """Returns the zone of each searcher, by the searcher's name."""
    return {
        searcher.name: server.zone
        for server in configuration.get_backend_servers().values()
        for searcher in server.searchers
    }
