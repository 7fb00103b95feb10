"""Sends sub-requests to owners and routes results back to their requests."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Collection, Iterable
from typing import Protocol

from azureramp import blackboard, events, messages, resources
from azureramp.controllers import measurements as measurements_module
from azureramp.controllers import outbox as outbox_controller
from azureramp.controllers import searcher_view
from azureramp.policy import assembly, deadlines, topology


class ResultReceiver(Protocol):
    """A running request that receives messages from owners."""

    def receive(self, result: messages.PartResult) -> None:
        """Handles the result of one sub-request."""
        ...

    def receive_late(self, part: int) -> None:
        """Handles the notice that a sub-request runs unusually long."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHeader:
    """The fields that all sub-requests of one request share.

    Attributes:
        request_id: The request's id.
        index: The index's name.
        version: The pinned index version.
        priority: The caller's priority.
        fingerprint: The hash by which crashes are attributed to the request.
        repeatable: False if at most one attempt may ever run.
        isolated: True if no other call may run on the searcher meanwhile.
        body: The query or the operation, JSON.
        answer_s: Loop time by which the coordinator answers, in seconds.
    """

    request_id: str
    index: str
    version: int
    priority: resources.Priority
    fingerprint: int
    repeatable: bool
    isolated: bool
    body: bytes
    answer_s: float


class Dispatcher:
    """Sends sub-requests and passes each result to its request.

    Attributes:
        measurements: Measurements of the searchers, and the budgets.
        viewer: Provides the current view of the searchers.
    """

    __slots__ = (
        "_board",
        "_outbox",
        "_receivers",
        "measurements",
        "viewer",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_controller.Outbox,
        measured: measurements_module.Measurements,
    ) -> None:
        """Creates a dispatcher without requests."""
        self.measurements = measured
        self._board = board
        self._outbox = outbox
        self._receivers: dict[str, ResultReceiver] = {}
        self.viewer = searcher_view.Viewer(board)

    def get_topology(self) -> topology.Topology:
        """Returns the configuration in force, indexed."""
        return self.viewer.get().table

    def register(self, request_id: str, receiver: ResultReceiver) -> None:
        """Starts passing a request's results to its receiver."""
        self._receivers[request_id] = receiver

    def unregister(self, request_id: str) -> None:
        """Stops passing on a request's results; later ones are dropped."""
        self._receivers.pop(request_id, None)

    def receive_results(
        self, sender: str, results: messages.PartResults
    ) -> None:
        """Passes results from an owner to their request."""
        receiver = self._receivers.get(results.request_id)
        if receiver is None:
            return
        for result in results.results:
            receiver.receive(result)

    def receive_late(self, sender: str, late: messages.PartsLate) -> None:
        """Passes an owner's notice of long-running calls to their request."""
        receiver = self._receivers.get(late.request_id)
        if receiver is None:
            return
        for part in late.parts:
            receiver.receive_late(part)

    def choose(
        self,
        view: searcher_view.View,
        candidates: Collection[str],
        avoided: Collection[str],
    ) -> str | None:
        """Chooses a searcher.

        Args:
            view: The current view of the searchers.
            candidates: The searchers' names.
            avoided: Backend servers to use only if there is no other.

        Returns:
            The searcher's name; None if no candidate is in the configuration.
        """
        sites = view.table.sites
        configured = [name for name in candidates if name in sites]
        on_other_servers = [
            n for n in configured if sites[n].server not in avoided
        ]
        if not configured:
            return None
        return self.measurements.scoreboard.choose(
            on_other_servers or configured,
            view.states,
            asyncio.get_running_loop().time(),
            self.measurements.rng,
        )

    def make_attempt(
        self,
        view: searcher_view.View,
        part: int,
        shard: resources.Shard,
        searcher: str,
        reason: str,
    ) -> assembly.Attempt:
        """Creates an attempt on a searcher that has an owner."""
        owner = self._board.owners[searcher]
        return assembly.Attempt(
            part=part,
            shard=shard,
            searcher=searcher,
            server=view.table.sites[searcher].server,
            owner=owner,
            owner_incarnation=self._board.members[owner].incarnation,
            sent_s=asyncio.get_running_loop().time(),
            reason=reason,
        )

    def has_moved(self, attempt: assembly.Attempt) -> bool:
        """Returns True if an attempt's searcher now has another owner."""
        return self._board.owners.get(attempt.searcher) != attempt.owner

    def is_owner_lost(self, attempt: assembly.Attempt) -> bool:
        """Returns True if an attempt is lost because its owner VM failed.

        A VM that restarted has lost the attempt; one that no longer sends
        heartbeats will not answer, or will answer too late.
        """
        member = self._board.members.get(attempt.owner)
        if member is None:
            return True
        if member.incarnation != attempt.owner_incarnation:
            return attempt.owner_incarnation != 0
        return member.state in (
            blackboard.MemberState.SUSPECT,
            blackboard.MemberState.GONE,
        )

    def send(
        self, header: RequestHeader, attempts: Iterable[assembly.Attempt]
    ) -> list[assembly.Attempt]:
        """Sends attempts, with one message per owner.

        Args:
            header: The fields that they share.
            attempts: The attempts.

        Returns:
            The attempts that could not be sent because the outbox does not
            know their owner.
        """
        by_owner: dict[str, list[assembly.Attempt]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt)
        unsent: list[assembly.Attempt] = []
        for owner, group in by_owner.items():
            if not self._outbox.send(owner, self._make_batch(header, group)):
                unsent.extend(group)
                continue
            for attempt in group:
                self.measurements.scoreboard.record_sent(attempt.searcher)
                self._record_chosen(header, attempt)
        return unsent

    def cancel(
        self, request_id: str, attempts: Collection[assembly.Attempt]
    ) -> None:
        """Notifies the owners that attempts' results are no longer needed."""
        by_owner: dict[str, list[int]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt.part)
        for owner, parts in by_owner.items():
            message = messages.Cancel(request_id=request_id, parts=tuple(parts))
            self._outbox.send(owner, message)

    def _make_batch(
        self, header: RequestHeader, group: list[assembly.Attempt]
    ) -> messages.QueryBatch:
        """Creates the message for one owner."""
        now_s = asyncio.get_running_loop().time()
        return messages.QueryBatch(
            request_id=header.request_id,
            index=header.index,
            version=header.version,
            priority=header.priority,
            remaining_ms=deadlines.get_remaining_ms(now_s, header.answer_s),
            fingerprint=header.fingerprint,
            repeatable=header.repeatable,
            isolated=header.isolated,
            body=header.body,
            parts=tuple(
                messages.PartRequest(
                    attempt.part,
                    attempt.searcher,
                    attempt.shard.name,
                    attempt.shard.low,
                    attempt.shard.high,
                )
                for attempt in group
            ),
        )

    def _record_chosen(
        self, header: RequestHeader, attempt: assembly.Attempt
    ) -> None:
        """Records the choice of an attempt's searcher in the timeline."""
        event = events.PartChosen(
            request_id=header.request_id,
            part=attempt.part,
            shard=attempt.shard.name,
            searcher=attempt.searcher,
            owner=attempt.owner,
            reason=attempt.reason,
        )
        self._board.timeline.record(event, attempt.sent_s)
