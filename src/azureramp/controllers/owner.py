"""The owner of searchers: the one VM that sends work to each of them."""

from __future__ import annotations

import asyncio
import random

import expression

from azureramp import blackboard, errors, events, messages
from azureramp.controllers import directory, owned_searcher, replies
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import queues
from azureramp.ports.searchers import api as searchers_api

TICK_S = 0.1
"""Time between looks at what is due, in seconds."""

Part = owned_searcher.Part
OwnedSearcher = owned_searcher.OwnedSearcher


class Owner:
    """Queues sub-requests and sends them to the searchers it owns."""

    __slots__ = (
        "_board",
        "_directory",
        "_draining",
        "_handoffs",
        "_outbox",
        "_owned",
        "_parts",
        "_port",
        "_probed_s",
        "_probes",
        "_released",
        "_replies",
        "_rng",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        port: searchers_api.Searchers,
        rng: random.Random,
    ) -> None:
        """Makes an owner of nothing; see `make`."""
        self._board = board
        self._outbox = outbox
        self._port = port
        self._rng = rng
        self._directory = directory.Directory()
        self._replies = replies.Replies(outbox)
        self._owned: dict[str, OwnedSearcher] = {}
        self._released: dict[str, tuple[str, OwnedSearcher]] = {}
        self._handoffs: dict[str, tuple[str, messages.Handoff]] = {}
        self._parts: dict[tuple[str, int], tuple[OwnedSearcher, Part]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._probed_s: dict[str, float] = {}
        self._draining = False

    def receive_batch(self, sender: str, batch: messages.QueryBatch) -> None:
        """Takes the sub-requests of one request."""
        deadline_s = _now_s() + batch.remaining_ms / 1000
        for request in batch.parts:
            part = Part(sender, batch, request, deadline_s)
            if part.get_key() not in self._parts:
                self._take(part)

    def receive_cancel(self, sender: str, message: messages.Cancel) -> None:
        """Ends sub-requests that nobody waits for."""
        for number in message.parts:
            entry = self._parts.get((message.request_id, number))
            if entry is None:
                continue
            owned, part = entry
            if part.task is not None:
                if part.batch.repeatable:
                    part.task.cancel()
            elif owned.queue.remove(part):
                self._fail(part, errors.Failure(errors.Kind.CANCELLED))

    def receive_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Takes a searcher from its former owner."""
        self._handoffs[message.searcher] = (sender, message)
        self.update_ownership()

    def receive_handoff_done(
        self, sender: str, message: messages.HandoffDone
    ) -> None:
        """Learns that a former owner has nothing running any more."""
        for name in message.searchers:
            owned = self._owned.get(name)
            if owned is not None:
                owned.held = 0
                self._pump(owned)

    def receive_crash_notice(
        self, sender: str, message: messages.CrashNotice
    ) -> None:
        """Learns of a crash that another owner saw."""

    def update_ownership(self) -> None:
        """Starts on searchers that are this VM's now, and hands off others."""
        places = self._directory.get_places(self._board.configuration)
        for name, owned in list(self._owned.items()):
            place = places.get(name)
            if place is None or not self._is_mine(name):
                self._release(name, owned)
                continue
            owned.place = place
            if place.refusal is not None:
                self._fail_queue(owned, errors.Failure(place.refusal))
        for name, vm in self._board.owners.items():
            if vm != self._board.settings.vm or name in self._owned:
                continue
            if name in places and not self._draining:
                self._try_start(name, places[name])
        self._publish()

    async def run(self) -> None:
        """Probes the searchers and looks at what is due, forever."""
        while True:
            self.update_ownership()
            for name, owned in self._owned.items():
                self._pump(owned)
                self._probe_if_due(name, owned)
            await asyncio.sleep(TICK_S)

    async def drain(self, limit_s: float) -> None:
        """Hands everything off and waits for what runs.

        Args:
            limit_s: Hard limit, in seconds; what runs then is cut.
        """
        self._draining = True
        self.update_ownership()
        for name, owned in list(self._owned.items()):
            self._release(name, owned)
        for probe in list(self._probes):
            probe.cancel()
        tasks = [part.task for _, part in self._parts.values() if part.task]
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)
        for task in tasks:
            task.cancel()

    def _is_mine(self, name: str) -> bool:
        """Tells whether this VM owns a searcher, as far as it knows."""
        return self._board.owners.get(name) == self._board.settings.vm

    def _try_start(self, name: str, place: directory.Place) -> None:
        """Starts on a searcher if its former owner can't use it any more."""
        handoff = self._handoffs.pop(name, None)
        may_start_s = self._board.may_start_s.get(name)
        if handoff is None and (may_start_s is None or may_start_s > _now_s()):
            return
        owned = OwnedSearcher(place)
        reason = "lease_end"
        if handoff is not None:
            _, message = handoff
            owned.ramp.resume(message.limit, message.service_ms)
            owned.held = message.in_use
            owned.held_until_s = _now_s() + self._board.settings.lease_ms / 1000
            reason = "handoff"
        self._owned[name] = owned
        self._port.set_limit(
            place.searcher.address, max(1, place.searcher.connections // 2)
        )
        self._record(
            events.OwnerChanged(searcher=name, owned=True, reason=reason)
        )
        self._probe_if_due(name, owned)

    def _release(self, name: str, owned: OwnedSearcher) -> None:
        """Gives a searcher up, and tells the new owner."""
        del self._owned[name]
        self._probed_s.pop(name, None)
        vm = self._board.owners.get(name, "")
        self._fail_queue(owned, errors.Failure(errors.Kind.NOT_OWNER))
        self._record(
            events.OwnerChanged(searcher=name, owned=False, reason="released")
        )
        if vm in ("", self._board.settings.vm):
            return
        health = owned.health
        self._outbox.send(
            vm,
            messages.Handoff(
                searcher=name,
                incarnation=health.incarnation if health else 0,
                in_use=len(owned.running),
                limit=owned.ramp.limit,
                service_ms=owned.ramp.get_usual_ms(),
            ),
        )
        if owned.running:
            self._released[name] = (vm, owned)

    def _take(self, part: Part) -> None:
        """Queues a sub-request, or refuses it at once."""
        owned = self._owned.get(part.request.searcher)
        if owned is None or self._draining:
            self._fail(part, errors.Failure(errors.Kind.NOT_OWNER))
            return
        if owned.place.refusal is not None:
            self._fail(part, errors.Failure(owned.place.refusal))
            return
        if not owned.reachable:
            failure = errors.Failure(
                errors.Kind.CONNECTION_LOST, "the searcher is down"
            )
            self._fail(part, failure)
            return
        policy = self._board.configuration.get_policy()
        self._parts[part.get_key()] = (owned, part)
        waiting = queues.Waiting(
            part.batch.priority, part.deadline_s, _now_s(), part
        )
        dropped = owned.queue.push(waiting, policy.queue_limit)
        if dropped is not None:
            self._fail(dropped.content, errors.Failure(errors.Kind.OVERLOADED))
        self._pump(owned)

    def _pump(self, owned: OwnedSearcher) -> None:
        """Starts as many sub-requests as there is room for."""
        now_s = _now_s()
        policy = self._board.configuration.get_policy()
        for expired in owned.queue.expire(now_s, policy.queue_ms / 1000):
            self._fail(expired.content, errors.Failure(errors.Kind.OVERLOADED))
        if owned.is_cold() and now_s >= self._board.lease_until_s:
            return
        while (waiting := owned.queue.peek()) is not None:
            part = waiting.content
            if not owned.has_room(part, now_s):
                return
            owned.queue.pop()
            owned.running[part.get_key()] = part
            part.task = asyncio.ensure_future(self._run_part(owned, part))

    async def _run_part(self, owned: OwnedSearcher, part: Part) -> None:
        """Runs one sub-request on its searcher, to its result."""
        began_s = _now_s()
        try:
            result = await self._port.call(
                self._make_call(owned, part),
                lambda: self._may_write(owned, part),
            )
            took_ms = (_now_s() - began_s) * 1000
            self._board.metrics.record_ms("searcher.took_ms", took_ms)
            self._end_part(owned, part, result, took_ms)
        except asyncio.CancelledError:
            self._fail(part, errors.Failure(errors.Kind.CANCELLED))
        finally:
            self._free(owned, part)

    def _make_call(
        self, owned: OwnedSearcher, part: Part
    ) -> searchers_api.Call:
        """Makes the port's call of a sub-request."""
        batch, request = part.batch, part.request
        return searchers_api.Call(
            address=owned.place.searcher.address,
            call_id=f"{batch.request_id}/{request.part}",
            index=batch.index,
            version=batch.version,
            shard=request.shard,
            low=request.low,
            high=request.high,
            deadline_ms=(part.deadline_s - _now_s()) * 1000,
            body=batch.body,
            repeatable=batch.repeatable,
        )

    def _may_write(self, owned: OwnedSearcher, part: Part) -> bool:
        """Decides right before the first byte, and records the dispatch."""
        place = owned.place
        name = place.searcher.name
        now_s = _now_s()
        lease_s = self._board.lease_until_s - now_s
        if self._owned.get(name) is not owned or place.refusal is not None:
            return False
        if owned.is_cold() and lease_s <= 0:
            return False
        part.sent = True
        self._board.metrics.count("searcher.calls")
        self._record(
            events.PartDispatched(
                request_id=part.batch.request_id,
                part=part.request.part,
                searcher=name,
                server=place.server.name,
                zone=place.server.zone,
                version=part.batch.version,
                low=part.request.low,
                high=part.request.high,
                in_use=owned.count_in_use(now_s),
                limit=owned.ramp.limit,
                cold=owned.is_cold(),
                lease_ms=lease_s * 1000,
                repeatable=part.batch.repeatable,
                fingerprint=part.batch.fingerprint,
            )
        )
        return True

    def _end_part(
        self,
        owned: OwnedSearcher,
        part: Part,
        result: expression.Result[
            searchers_api.Reply, searchers_api.CallFailure
        ],
        took_ms: float,
    ) -> None:
        """Tells the coordinator the result, and the ramp what it means."""
        match result:
            case expression.Result(tag="ok", ok=reply):
                owned.ramp.succeed(took_ms)
                done = messages.PartDone(
                    part.request.part,
                    reply.version,
                    reply.low,
                    reply.high,
                    bytes(reply.items),
                    took_ms,
                )
                self._reply(part, done)
            case expression.Result(error=failed):
                if failed.sent:
                    owned.ramp.fail()
                self._fail(part, failed.failure)

    def _free(self, owned: OwnedSearcher, part: Part) -> None:
        """Frees a sub-request's slot."""
        owned.running.pop(part.get_key(), None)
        name = owned.place.searcher.name
        if self._owned.get(name) is owned:
            self._pump(owned)
        released = self._released.get(name)
        if released is not None and released[1] is owned and not owned.running:
            del self._released[name]
            self._outbox.send(
                released[0], messages.HandoffDone(searchers=(name,))
            )

    def _fail_queue(
        self, owned: OwnedSearcher, failure: errors.Failure
    ) -> None:
        """Gives back all that waits, unsent, to go elsewhere."""
        for waiting in owned.queue.clear():
            self._fail(waiting.content, failure)

    def _fail(self, part: Part, failure: errors.Failure) -> None:
        """Tells the coordinator of a failure."""
        self._reply(
            part, replies.make_failed(part.request.part, failure, part.sent)
        )

    def _reply(self, part: Part, result: messages.PartResult) -> None:
        """Sends a result and forgets the sub-request."""
        self._parts.pop(part.get_key(), None)
        self._replies.send(part.coordinator, part.batch.request_id, result)

    def _probe_if_due(self, name: str, owned: OwnedSearcher) -> None:
        """Begins a health read if the last one is long ago."""
        now_s = _now_s()
        if owned.place.refusal is not None:
            return
        probe_s = self._board.settings.probe_ms / 1000
        if now_s - self._probed_s.get(name, -probe_s) < probe_s:
            return
        self._probed_s[name] = now_s
        probe = asyncio.ensure_future(self._probe(owned))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, owned: OwnedSearcher) -> None:
        """Reads a searcher's health and takes it in."""
        result = await self._port.read_health(owned.place.searcher.address)
        match result:
            case expression.Result(tag="ok", ok=health):
                known = owned.health
                if known is None or known.incarnation != health.incarnation:
                    if known is not None:
                        owned.ramp.turn_cold("incarnation")
                    self._record_state(owned, health.incarnation)
                owned.health = health
                owned.reachable = True
            case _:
                if owned.reachable:
                    owned.ramp.turn_cold("lost")
                owned.reachable = False
        self._publish()
        self._pump(owned)

    def _record_state(self, owned: OwnedSearcher, incarnation: int) -> None:
        """Records a searcher's state."""
        self._record(
            events.SearcherChanged(
                searcher=owned.place.searcher.name,
                incarnation=incarnation,
                state=owned.ramp.state.value,
                reason=owned.ramp.reason,
                limit=owned.ramp.limit,
            )
        )

    def _publish(self) -> None:
        """Writes the owned searchers' states on the blackboard."""
        self._board.owned = {
            name: owned.make_state() for name, owned in self._owned.items()
        }

    def _record(self, event: events.AnyEvent) -> None:
        """Records an event."""
        self._board.timeline.record(event, _now_s())


def _now_s() -> float:
    """Reads the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    searchers_port: searchers_api.Searchers,
    rng: random.Random,
) -> Owner:
    """Makes the owner controller of a process.

    Args:
        board: The process's state.
        outbox: Sends to the other VMs.
        searchers_port: Calls the searchers.
        rng: Draws for jitter.
    """
    return Owner(board, outbox, searchers_port, rng)
