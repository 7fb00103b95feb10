"""Sub-requests on their way to the owners, and their results back."""

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


class Receiver(Protocol):
    """A running request, as far as its owners' messages concern it."""

    def receive(self, result: messages.PartResult) -> None:
        """Takes one sub-request's result."""
        ...

    def receive_late(self, part: int) -> None:
        """Learns that a sub-request runs for unusually long."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """What all sub-requests of one request share.

    Attributes:
        request_id: The request.
        index: The index.
        version: The pinned index version.
        priority: The caller's priority.
        fingerprint: The hash by which crashes are blamed on the request.
        repeatable: False if at most one attempt may ever run.
        isolated: True if nothing else may run beside it.
        body: The query or the operation, JSON.
        answer_s: When the coordinator answers at the latest.
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
    """Sends sub-requests, and hands each result to its request.

    Attributes:
        measured: What was measured of the searchers.
        viewer: What is known of the searchers now.
    """

    __slots__ = (
        "_board",
        "_outbox",
        "_receivers",
        "measured",
        "viewer",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_controller.Outbox,
        measured: measurements_module.Measurements,
    ) -> None:
        """Makes a dispatcher without requests."""
        self.measured = measured
        self._board = board
        self._outbox = outbox
        self._receivers: dict[str, Receiver] = {}
        self.viewer = searcher_view.Viewer(board)

    def get_topology(self) -> topology.Topology:
        """Returns the configuration in force, indexed."""
        return self.viewer.get().table

    def register(self, request_id: str, receiver: Receiver) -> None:
        """Begins to hand a request's results to its receiver."""
        self._receivers[request_id] = receiver

    def unregister(self, request_id: str) -> None:
        """Ends it; what comes later is dropped."""
        self._receivers.pop(request_id, None)

    def receive_results(
        self, sender: str, results: messages.PartResults
    ) -> None:
        """Takes results from an owner."""
        receiver = self._receivers.get(results.request_id)
        if receiver is None:
            return
        for result in results.results:
            receiver.receive(result)

    def receive_late(self, sender: str, late: messages.PartsLate) -> None:
        """Takes an owner's notice of sub-requests that run long."""
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
            view: What is known of the searchers.
            candidates: The searchers' names.
            avoided: Backend servers to use only if there is no other.
        """
        sites = view.table.sites
        known = [name for name in candidates if name in sites]
        apart = [n for n in known if sites[n].server not in avoided]
        if not known:
            return None
        return self.measured.scoreboard.choose(
            apart or known,
            view.states,
            asyncio.get_running_loop().time(),
            self.measured.random,
        )

    def make_attempt(
        self,
        view: searcher_view.View,
        part: int,
        shard: resources.Shard,
        searcher: str,
        reason: str,
    ) -> assembly.Attempt:
        """Makes an attempt for a searcher that has an owner."""
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
        """Tells whether an attempt's searcher has another owner by now."""
        return self._board.owners.get(attempt.searcher) != attempt.owner

    def is_owner_lost(self, attempt: assembly.Attempt) -> bool:
        """Tells whether an attempt's owner has gone with the attempt.

        A VM that restarted has forgotten it; one that is no longer heard
        will not answer, or too late.
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
        self, header: Header, attempts: Iterable[assembly.Attempt]
    ) -> list[assembly.Attempt]:
        """Sends attempts, all of one owner in one message.

        Args:
            header: What they share.
            attempts: The attempts.

        Returns:
            Those that could not be sent, since their owner is not known.
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
                self.measured.scoreboard.begin(attempt.searcher)
                self._record_chosen(header, attempt)
        return unsent

    def cancel(
        self, request_id: str, attempts: Collection[assembly.Attempt]
    ) -> None:
        """Tells the owners that nobody waits for some attempts any more."""
        by_owner: dict[str, list[int]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt.part)
        for owner, parts in by_owner.items():
            message = messages.Cancel(request_id=request_id, parts=tuple(parts))
            self._outbox.send(owner, message)

    def _make_batch(
        self, header: Header, group: list[assembly.Attempt]
    ) -> messages.QueryBatch:
        """Makes the message for one owner."""
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

    def _record_chosen(self, header: Header, attempt: assembly.Attempt) -> None:
        """Records who was chosen."""
        event = events.PartChosen(
            request_id=header.request_id,
            part=attempt.part,
            shard=attempt.shard.name,
            searcher=attempt.searcher,
            owner=attempt.owner,
            reason=attempt.reason,
        )
        self._board.timeline.record(event, attempt.sent_s)
