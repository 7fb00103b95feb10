"""Sub-requests on their way to the owners, and their results back."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Collection, Iterable

import expression

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import outbox as outbox_controller
from azureramp.policy import deadlines, snapshots, topology

Receiver = Callable[[messages.PartResult], None]


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


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One sub-request that was sent.

    Attributes:
        part: Its number, unique within the request.
        shard: Its shard.
        searcher: The searcher's name.
        owner: The VM that it was sent to.
        sent_s: When.
        reason: `first`, `hedge` or `retry`.
    """

    part: int
    shard: resources.Shard
    searcher: str
    owner: str
    sent_s: float
    reason: str


class Dispatcher:
    """Sends sub-requests, and hands each result to its request."""

    __slots__ = (
        "_board",
        "_outbox",
        "_receivers",
        "_rolled_out",
        "_topology",
        "_topology_key",
    )

    def __init__(
        self, board: blackboard.Blackboard, outbox: outbox_controller.Outbox
    ) -> None:
        """Makes a dispatcher without requests."""
        self._board = board
        self._outbox = outbox
        self._receivers: dict[str, Receiver] = {}
        self._rolled_out: dict[str, int] = {}
        self._topology = topology.build(board.configuration)
        self._topology_key = (board.configuration, board.configuration.revision)

    def get_topology(self) -> topology.Topology:
        """Returns the configuration in force, indexed once a revision."""
        configuration = self._board.configuration
        key = (configuration, configuration.revision)
        if key != self._topology_key:
            self._topology = topology.build(configuration)
            self._topology_key = key
        return self._topology

    def is_owned(self, searcher: str) -> bool:
        """Tells whether a searcher has an owner VM to send to."""
        owner = self._board.owners.get(searcher)
        return owner is not None and owner in self._board.members

    def pin(
        self, index: str, after: int = 0
    ) -> expression.Result[snapshots.Snapshot, errors.Failure]:
        """Pins the version that a request reads; see `snapshots.choose`."""
        table = self.get_topology()
        pinned = snapshots.choose(
            table.maps.get(index, ()),
            table.sites,
            self._board.get_searcher_states(),
            self.is_owned,
            rolled_out=self._rolled_out.get(index, 0),
            after=after,
        )
        match pinned:
            case expression.Result(tag="ok", ok=snapshot):
                if snapshots.has_enough(snapshot):
                    self._rolled_out[index] = snapshot.shard_map.version
        return pinned

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
            receiver(result)

    def make_attempt(
        self, part: int, shard: resources.Shard, searcher: str, reason: str
    ) -> Attempt:
        """Makes an attempt for a searcher that has an owner."""
        now_s = asyncio.get_running_loop().time()
        owner = self._board.owners[searcher]
        return Attempt(part, shard, searcher, owner, now_s, reason)

    def send(
        self, header: Header, attempts: Iterable[Attempt]
    ) -> list[Attempt]:
        """Sends attempts, all of one owner in one message.

        Args:
            header: What they share.
            attempts: The attempts.

        Returns:
            Those that could not be sent, since their owner is not known.
        """
        by_owner: dict[str, list[Attempt]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt)
        unsent: list[Attempt] = []
        for owner, group in by_owner.items():
            if not self._outbox.send(owner, self._make_batch(header, group)):
                unsent.extend(group)
                continue
            for attempt in group:
                self._record_chosen(header, attempt)
        return unsent

    def cancel(self, request_id: str, attempts: Collection[Attempt]) -> None:
        """Tells the owners that nobody waits for some attempts any more."""
        by_owner: dict[str, list[int]] = {}
        for attempt in attempts:
            by_owner.setdefault(attempt.owner, []).append(attempt.part)
        for owner, parts in by_owner.items():
            message = messages.Cancel(request_id=request_id, parts=tuple(parts))
            self._outbox.send(owner, message)

    def _make_batch(
        self, header: Header, group: list[Attempt]
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

    def _record_chosen(self, header: Header, attempt: Attempt) -> None:
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
