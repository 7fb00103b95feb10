"""A coordinator with fake owners in one virtual-time loop.

The fake owners communicate through peer messages. Each searcher has slots, a
priority queue, and a behaviour that a test may replace.
"""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import async_solipsism
import expression

from azureramp import (
    blackboard,
    errors,
    messages,
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.controllers import (
    coordinator,
    execution,
    idempotency,
    inbox,
    outbox,
)
from azureramp.policy import identity
from azureramp.ports.peers import memory
from azureramp.ports.store import memory as store_memory
from azureramp.ports.store import state as store_state
from azureramp.ports.vmlist import api as vmlist_api

_T = TypeVar("_T")

Behaviour = Callable[
    [messages.QueryBatch, messages.PartRequest],
    Awaitable[messages.PartResult | None],
]
"""Runs a sub-request as a searcher; None means that it never replies."""

TOKEN = "let-me-in"
OWN_VM = "vm-0"


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine in its own virtual-time loop."""
    loop = async_solipsism.EventLoop()
    try:
        result: _T = loop.run_until_complete(main)
        return result
    finally:
        # Cancelling a fake call starts the next one in its queue.
        while left := asyncio.all_tasks(loop):
            for task in left:
                task.cancel()
            ended = asyncio.gather(*left, return_exceptions=True)
            loop.run_until_complete(ended)
        loop.close()


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """The size of a cell.

    Attributes:
        vms: Number of entry VMs, including the coordinator's.
        shards: Number of shards of the index.
        replicas: Number of searchers per shard, each on its own server.
        zones: Number of availability zones.
        slots: Number of slots per searcher.
    """

    vms: int = 4
    shards: int = 6
    replicas: int = 2
    zones: int = 2
    slots: int = 2


class FakeSearcher:
    """A searcher and its owner's slots and priority queue for it."""

    def __init__(self, name: str, slots: int, behaviour: Behaviour) -> None:
        self.name = name
        self.slots = slots
        self.behaviour = behaviour
        self.calls = 0
        self.running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.cancelled: list[tuple[str, int]] = []
        self.unrepeatable: set[tuple[str, int]] = set()
        self.queue: list[
            tuple[int, int, messages.QueryBatch, messages.PartRequest]
        ] = []
        self._order = itertools.count()

    def put(
        self,
        batch: messages.QueryBatch,
        part: messages.PartRequest,
        reply: Callable[[str, messages.PartResult], None],
    ) -> None:
        entry = (int(batch.priority), next(self._order), batch, part)
        heapq.heappush(self.queue, entry)
        self.start_next(reply)

    def start_next(
        self, reply: Callable[[str, messages.PartResult], None]
    ) -> None:
        while self.queue and len(self.running) < self.slots:
            _, _, batch, part = heapq.heappop(self.queue)
            self.calls += 1
            key = (batch.request_id, part.part)
            if not batch.repeatable:
                self.unrepeatable.add(key)
            self.running[key] = asyncio.ensure_future(
                self._serve(batch, part, reply)
            )

    def cancel(
        self,
        key: tuple[str, int],
        reply: Callable[[str, messages.PartResult], None],
    ) -> None:
        """Cancels a call; a non-repeatable one only while it is queued."""
        for entry in tuple(self.queue):
            if (entry[2].request_id, entry[3].part) == key:
                self.queue.remove(entry)
                kind = errors.Kind.CANCELLED.value
                reply(key[0], messages.PartFailed(key[1], kind, False))
        heapq.heapify(self.queue)
        task = self.running.get(key)
        if task is not None and key not in self.unrepeatable:
            self.cancelled.append(key)
            task.cancel()

    async def _serve(
        self,
        batch: messages.QueryBatch,
        part: messages.PartRequest,
        reply: Callable[[str, messages.PartResult], None],
    ) -> None:
        try:
            result = await self.behaviour(batch, part)
        finally:
            self.running.pop((batch.request_id, part.part), None)
            self.start_next(reply)
        if result is not None:
            reply(batch.request_id, result)


class Cell:
    """One coordinator, its blackboard and the fake owners of all searchers.

    Attributes:
        board: The coordinator's blackboard.
        state: The state of the key-value store.
        store: The coordinator's client of the store.
        records: The coordinator's idempotency records.
        searchers: The fake searchers by name.
        delay_s: The searchers' service time, in seconds.
    """

    def __init__(
        self,
        shape: Shape | None = None,
        seed: int = 1,
        state: store_state.State | None = None,
    ) -> None:
        self.shape = shape or Shape()
        self.state = state or store_state.State()
        self.store = store_memory.MemoryStore(self.state)
        self.store.faults.delay_s = 0.002
        self.random = random.Random(seed)
        self.delay_s = 0.010
        self.network = memory.Network(seed)
        self.searchers: dict[str, FakeSearcher] = {}
        self.board = blackboard.Blackboard(
            make_settings(OWN_VM),
            1,
            timelines.Timeline(OWN_VM),
            metrics.Metrics(),
        )
        self.board.serving = blackboard.Serving.READY
        self.records = idempotency.make(self.board, self.store, self.random)
        self._saving = asyncio.ensure_future(self.records.run())
        self._links: dict[str, memory.MemoryPeers] = {}
        self._declare()
        port = self._make_link(OWN_VM)
        self.outbox = outbox.Outbox(self.board, port)
        self.coordinator = coordinator.make(
            self.board, self.outbox, self.records, self.random
        )
        self.inbox = inbox.Inbox(
            self.board,
            inbox.Receivers(
                {messages.PartResults: self.coordinator.receive_results},
                lambda sender, incarnation: None,
            ),
        )
        self.outbox.on_local_message = lambda sender, message: self._deliver(
            OWN_VM, sender, message
        )
        self.network.attach(get_peer_address(OWN_VM), self.inbox.receive)

    def _declare(self) -> None:
        """Declares zones, servers, the index and the searchers' owners."""
        shape = self.shape
        for number in range(shape.vms):
            name = f"vm-{number}"
            zone = f"zone-{number % shape.zones}"
            vm = vmlist_api.Vm(
                name, zone, f"http-{name}", get_peer_address(name)
            )
            self.board.members[name] = blackboard.Member(
                vm, blackboard.MemberState.LIVE, 1, 0.0, True
            )
        for number in range(shape.zones):
            self.put(resources.Zone(name=f"zone-{number}"))
        for shard in range(shape.shards):
            for replica in range(shape.replicas):
                self._declare_server(shard, replica)
        self.put(
            resources.Service(name="claims", indexes=("cover",)),
            resources.Caller(
                name="clerk",
                token_sha256=identity.hash_token(TOKEN),
                services=("claims",),
                priority=resources.Priority.URGENT,
            ),
        )
        self.put_version(1)
        for number in range(1, shape.vms):
            vm_name = f"vm-{number}"
            self._make_link(vm_name)
            self.network.attach(
                get_peer_address(vm_name), self._make_handler(vm_name)
            )
        self.advertise()

    def _declare_server(self, shard: int, replica: int) -> None:
        """Declares one backend server with one searcher."""
        name = f"s{shard}-{replica}"
        searcher = resources.Searcher(
            name=name, address=f"10.0.0.1:{shard}", slots=self.shape.slots
        )
        self.put(
            resources.BackendServer(
                name=f"server-{name}",
                service="claims",
                zone=f"zone-{replica % self.shape.zones}",
                searchers=(searcher,),
            )
        )
        number = shard * self.shape.replicas + replica
        self.board.owners[name] = f"vm-{number % self.shape.vms}"
        self.searchers[name] = FakeSearcher(
            name, self.shape.slots, self.reply_complete
        )

    def put(self, *declared: resources.AnyResource) -> None:
        """Puts resources into the configuration in force."""
        configuration = self.board.configuration
        kinds = {kind: name for name, kind in resources.KINDS.items()}
        for resource in declared:
            configuration.revision += 1
            kind = kinds[type(resource)]
            configuration.entries[kind, resource.name] = resources.Versioned(
                resource, kind, resource.name, configuration.revision
            )

    def put_version(
        self, version: int, bounds: tuple[int, ...] | None = None
    ) -> None:
        """Declares an index version, divided evenly or at given bounds."""
        count = self.shape.shards
        edges = bounds or tuple(range(0, count * 100 + 1, 100))
        shards = tuple(
            resources.Shard(
                name=f"v{version}-{number}" if bounds else f"{number}",
                low=low,
                high=high,
                size=high - low,
                searchers=self.get_replicas(number % count),
            )
            for number, (low, high) in enumerate(itertools.pairwise(edges))
        )
        self.put(
            resources.ShardMap(
                name=f"cover.{version}",
                index="cover",
                version=version,
                shards=shards,
            )
        )

    def get_replicas(self, shard: int) -> tuple[str, ...]:
        """Returns the names of a shard's searchers."""
        return tuple(f"s{shard}-{n}" for n in range(self.shape.replicas))

    def advertise(
        self, versions: tuple[str, ...] = ("cover.1",), usable: bool = True
    ) -> None:
        """Announces the same state of all searchers from their owners."""
        for name in self.searchers:
            self.advertise_one(name, versions, usable)

    def advertise_one(
        self,
        name: str,
        versions: tuple[str, ...] = ("cover.1",),
        usable: bool = True,
        queued: int = 0,
        service_ms: float = 10.0,
    ) -> None:
        """Announces the state of one searcher from its owner."""
        state = messages.SearcherState(
            name, 1, usable, self.shape.slots, queued, service_ms, versions
        )
        owner = self.board.owners[name]
        if owner == OWN_VM:
            self.board.owned_states[name] = state
            return
        member = self.board.members[owner]
        others = tuple(s for s in member.searchers if s.searcher != name)
        member.searchers = (*others, state)

    async def reply_complete(
        self, batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        """Replies with a complete result, as a healthy searcher does."""
        await asyncio.sleep(self.delay_s)
        return make_done(batch, part, self.delay_s * 1000)

    def make_query(
        self,
        number: int = 1,
        deadline_ms: float = 1000.0,
        minimum_coverage: float = 0.0,
        priority: resources.Priority = resources.Priority.URGENT,
        body: bytes = b'{"member":1}',
    ) -> coordinator.Query:
        """Creates a query that starts now."""
        caller = self.board.configuration.get_callers()["clerk"]
        caller = resources.Caller(
            name=caller.name,
            token_sha256=caller.token_sha256,
            services=caller.services,
            priority=priority,
        )
        now_s = asyncio.get_running_loop().time()
        return coordinator.Query(
            request_id=f"request-{number}",
            caller=caller,
            service="claims",
            index="cover",
            body=body,
            deadline_s=now_s + deadline_ms / 1000,
            minimum_coverage=minimum_coverage,
        )

    def make_execute(
        self,
        number: int = 1,
        key: str = "grant-1",
        deadline_ms: float = 1000,
        body: bytes = b'{"grant":1}',
    ) -> coordinator.ExecuteRequest:
        """Creates a non-repeatable request that starts now."""
        now_s = asyncio.get_running_loop().time()
        return coordinator.ExecuteRequest(
            request_id=f"execute-{number}",
            caller=self.board.configuration.get_callers()["clerk"],
            service="claims",
            index="cover",
            key=150,
            idempotency_key=key,
            body=body,
            deadline_s=now_s + deadline_ms / 1000,
        )

    async def read_record(self) -> str:
        """Returns the state of the key as another VM reads it.

        It claims the key as a retry does, so a free key is claimed afterwards.

        Returns:
            `finished`, `free`, or the kind of the failure.
        """
        other = idempotency.make(
            self.board, store_memory.MemoryStore(self.state), self.random
        )
        request = self.make_execute(99)
        claim = await other.claim(
            request.caller.name,
            request.idempotency_key,
            execution.compute_request_hash(request),
            request.request_id,
        )
        match claim:
            case expression.Result(tag="ok", ok=idempotency.Recorded()):
                return "finished"
            case expression.Result(tag="ok"):
                return "free"
            case expression.Result(error=failure):
                return failure.kind.value

    def count_calls(self) -> int:
        """Returns the total number of calls to all searchers."""
        return sum(searcher.calls for searcher in self.searchers.values())

    def get_events(self, wanted: type[_T]) -> list[_T]:
        """Returns the coordinator's events of one type."""
        records = self.board.timeline.get_records()
        return [r.event for r in records if isinstance(r.event, wanted)]

    def _make_link(self, vm: str) -> memory.MemoryPeers:
        """Creates the sending end of a VM's peer link."""
        link = memory.MemoryPeers(
            self.network, vm, get_peer_address(vm), 1, self.board.timeline
        )
        self._links[vm] = link
        return link

    def _make_handler(self, vm: str) -> Callable[[messages.Envelope], None]:
        """Creates the receiving end of a fake owner's peer link."""

        def handle(envelope: messages.Envelope) -> None:
            for message in envelope.messages:
                self._deliver(vm, envelope.sender, message)

        return handle

    def _deliver(
        self, vm: str, sender: str, message: messages.PeerMessage
    ) -> None:
        """Handles a message as a VM's owner or as the coordinator."""

        def reply(request_id: str, result: messages.PartResult) -> None:
            results = messages.PartResults(
                request_id=request_id, results=(result,)
            )
            if vm == OWN_VM:
                self.coordinator.receive_results(vm, results)
            else:
                self._links[vm].send(get_peer_address(OWN_VM), results)

        match message:
            case messages.QueryBatch():
                for part in message.parts:
                    self.searchers[part.searcher].put(message, part, reply)
            case messages.Cancel():
                for number in message.parts:
                    for searcher in self.searchers.values():
                        if self.board.owners[searcher.name] == vm:
                            searcher.cancel((message.request_id, number), reply)
            case messages.PartResults():
                self.coordinator.receive_results(sender, message)


def make_done(
    batch: messages.QueryBatch,
    part: messages.PartRequest,
    service_ms: float = 10.0,
) -> messages.PartDone:
    """Creates a complete result of a sub-request: its range as one item."""
    items = b"[[%d,%d]]" % (part.low, part.high)
    return messages.PartDone(
        part.part, batch.version, part.low, part.high, items, service_ms
    )


def make_settings(vm: str) -> settings.Settings:
    """Creates the settings of a VM."""
    return settings.Settings(
        vm=vm,
        zone="zone-0",
        http_address=f"http-{vm}",
        peer_address=get_peer_address(vm),
        store_address="store",
        vmlist_address="vmlist",
    )


def get_peer_address(vm: str) -> str:
    """Returns the address of a VM's peer link."""
    return f"peer-{vm}"


def fail_with(
    kind: errors.Kind, sent: bool, delay_s: float = 0.001
) -> Behaviour:
    """Creates a behaviour in which every sub-request fails."""

    async def behave(
        batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        await asyncio.sleep(delay_s)
        return messages.PartFailed(part.part, kind.value, sent)

    return behave


def never_reply() -> Behaviour:
    """Creates a behaviour in which no sub-request gets a reply."""

    async def behave(
        batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        await asyncio.sleep(3600.0)
        return None

    return behave
