"""Who owns which searcher, and until when this VM may send to cold ones."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from azureramp import blackboard, messages, resources
from azureramp.policy import leases, lists, ownership, pace

READ_LIST_S = 1.0
"""Time between reads of the VM list, in seconds."""

Inputs = tuple[int, frozenset[ownership.Candidate]]
"""What the owners are computed from: a revision and the candidates."""


class Ownership:
    """Computes the owners and keeps this VM's lease.

    Attributes:
        window: The VM lists read of late.
        lease: What the others have granted to this VM.
        on_owners: Called after the owners or the times to start changed.
    """

    __slots__ = (
        "_alone_from_s",
        "_board",
        "_inputs",
        "_pace",
        "_promises",
        "lease",
        "on_owners",
        "window",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        started_s: float,
        times: pace.Pace,
    ) -> None:
        """Makes a VM that owns nothing and has promised nothing.

        Args:
            board: The process's state.
            started_s: When the process began, on the loop's clock.
            times: The times that fit the size of the cell.
        """
        self._pace = times
        lag_s = board.settings.list_lag_ms / 1000
        self._board = board
        self._inputs: Inputs | None = None
        self._promises = leases.Promises(started_s, times.longest_lease_s)
        self._alone_from_s: dict[str, float] = {}
        self.lease = leases.Lease(times.lease_s)
        self.window = lists.ListWindow(
            2 * (lag_s + READ_LIST_S) + times.longest_lease_s
        )
        self.on_owners: Callable[[], None] | None = None

    def grant(
        self,
        holder: leases.Holder,
        message: messages.Heartbeat,
        now_s: float,
        *,
        leaving: bool = False,
    ) -> messages.HeartbeatAck:
        """Answers a heartbeat, and promises what can be promised.

        Args:
            holder: Who sent it.
            message: The heartbeat.
            now_s: The time of its arrival.
            leaving: True if this VM shuts down; then it promises nothing.
        """
        refused = None
        if not leaving:
            refused = self._promises.grant(
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

    def waits(self, now_s: float) -> bool:
        """Tells whether this VM waits for grants, so that it is urgent."""
        return (
            math.inf in self._board.may_start_s.values()
            or self._board.lease_until_s < now_s + 2 * self._pace.interval_s
        )

    def record_ack(
        self, voter: str, message: messages.HeartbeatAck, now_s: float
    ) -> None:
        """Counts an acknowledgement towards the lease."""
        if message.granted and self.window.knows(message.lists):
            self.lease.record_ack(voter, message.sequence, message.refused)
        if self.waits(now_s):
            self.update_lease(now_s)

    def set_pace(self, times: pace.Pace) -> None:
        """Takes the times that fit the size of the cell."""
        self._pace = times
        self.lease.set_length(times.lease_s)
        self._promises.set_longest(times.longest_lease_s)

    def get_lists_to_tell(self) -> tuple[tuple[str, ...], ...]:
        """Returns the lists read of late, if they were several."""
        read = self.window.get_own()
        return read if len(read) > 1 else ()

    def update_owners(
        self, candidates: Sequence[ownership.Candidate], now_s: float
    ) -> bool:
        """Computes the owners, if anything that they rest on has changed.

        Returns:
            True if this VM claims other searchers than before.
        """
        board = self._board
        self._promises.expire(now_s)
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
        alone_s = now_s + self._pace.longest_lease_s + self._pace.interval_s
        self._alone_from_s = {
            name: self._alone_from_s.get(name, alone_s) for name in mine
        }
        board.may_start_s = {
            name: board.may_start_s.get(name, math.inf) for name in mine
        }
        board.owners = owners
        claims = frozenset(leases.compute_claim(name) for name in mine)
        changed = claims != self.lease.get_claims()
        self.lease.set_claims(claims)
        self._call_on_owners()
        return changed

    def update_lease(self, now_s: float) -> None:
        """Computes until when cold searchers may get work, and what starts.

        The blackboard has one lease for all searchers, so it is the shortest
        of those on which this VM has started: a searcher that another VM was
        granted while this one was paused ends it for all, until the views
        agree again.

        A searcher starts once a majority has granted it. Where there is no
        majority at all, it starts after a lease length, by when any other
        VM's lease has run out: warm searchers then go on, and cold ones wait,
        as the lease has not begun.
        """
        board = self._board
        contact_until_s = self.lease.compute_contact_until_s(self.window)
        bounds = [contact_until_s]
        started = False
        for name, start_s in board.may_start_s.items():
            until_s = self.lease.compute_until_s(
                leases.compute_claim(name), self.window
            )
            if start_s == math.inf:
                granted = until_s > now_s
                alone = contact_until_s <= now_s >= self._alone_from_s[name]
                if not granted and not alone:
                    continue
                board.may_start_s[name] = now_s
                started = True
            bounds.append(until_s)
        board.lease_until_s = min(bounds)
        if started:
            self._call_on_owners()

    def _call_on_owners(self) -> None:
        if self.on_owners is not None:
            self.on_owners()


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
