"""The steps at which a fault is brought about, and how each is seen."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import msgspec

from azureramp import events, messages, timelines
from azureramp.ports.peers import memory as peers_memory
from azureramp.ports.store import api as store_api
from azureramp.ports.store import state as store_state

STEPS: dict[str, str] = {
    "query.admit": "a coordinator has taken a query",
    "query.pin": "the index version is pinned",
    "query.record_key": "an idempotency record is written",
    "query.dispatch": "an owner is about to write to a searcher",
    "query.part_arrives": "the first result of a query is there",
    "query.merge": "the last result of a query is there",
    "query.reply": "the answer goes out",
    "query.record": "the outcome is recorded",
    "configuration.validate": "an operator's change has arrived",
    "configuration.write": "the change is written",
    "configuration.watch": "a watcher has seen the change",
    "configuration.relay": "the change goes to a peer",
    "configuration.apply": "the change is in force on a second VM",
    "configuration.confirm": "a peer acknowledges the revision",
    "lifecycle.start": "a process begins",
    "lifecycle.advertise": "a started process has its configuration",
    "lifecycle.drain": "a leaving VM is no longer advertised",
    "lifecycle.hand_off": "a leaving VM hands its searchers off",
    "lifecycle.exit": "a leaving VM has nothing left to do",
}
"""The steps and what has just happened at each."""


@dataclasses.dataclass(slots=True, frozen=True)
class Moment:
    """A step that has just been reached.

    Attributes:
        step: The step's name.
        vm: The VM at which it was reached; empty if at none.
        searcher: The searcher that it is about; empty if about none.
    """

    step: str
    vm: str = ""
    searcher: str = ""


Observer = Callable[[Moment], None]


class Watcher:
    """Turns what the daemons do into steps.

    Attributes:
        observer: Told of each step, as it is reached.
        base_revision: The revision before the operator's change.
        restarted: The VM whose start counts as a step.
        shards: How many parts a query has.
    """

    __slots__ = (
        "_applied",
        "_parts",
        "base_revision",
        "observer",
        "restarted",
        "shards",
    )

    def __init__(self, shards: int) -> None:
        """Makes a watcher without an observer."""
        self.observer: Observer | None = None
        self.restarted = ""
        self.base_revision = 2**62
        self.shards = shards
        self._parts: dict[str, int] = {}
        self._applied: dict[int, int] = {}

    def tell(self, step: str, vm: str = "", searcher: str = "") -> None:
        """Tells the observer of a step."""
        if self.observer is not None:
            self.observer(Moment(step, vm, searcher))

    def observe_event(self, record: timelines.Record) -> None:
        """Takes an event from a timeline."""
        vm = record.vm
        match record.event:
            case events.RequestAdmitted():
                self.tell("query.admit", vm)
            case events.PartDispatched(searcher=searcher):
                self.tell("query.dispatch", vm, searcher)
            case events.PartEnded(request_id=request_id, searcher=searcher):
                count = self._parts.get(request_id, 0) + 1
                self._parts[request_id] = count
                if count == 1:
                    self.tell("query.part_arrives", vm, searcher)
                if count == self.shards:
                    self.tell("query.merge", vm, searcher)
            case events.RequestAnswered():
                self.tell("query.reply", vm)
            case events.IdempotencyChanged(state="finished"):
                self.tell("query.record", vm)
            case events.ConfigurationApplied(revision=revision):
                self._observe_applied(vm, revision)
            case events.ProcessStarted() if vm == self.restarted:
                self.tell("lifecycle.start", vm)
            case events.StopChanged(step="unadvertised"):
                self.tell("lifecycle.drain", vm)
            case events.StopChanged(step="handing_off"):
                self.tell("lifecycle.hand_off", vm)
            case events.StopChanged(step="draining"):
                self.tell("lifecycle.exit", vm)

    def _observe_applied(self, vm: str, revision: int) -> None:
        """Counts on how many VMs a revision is in force."""
        count = self._applied.get(revision, 0) + 1
        self._applied[revision] = count
        if vm == self.restarted:
            self.tell("lifecycle.advertise", vm)
        elif count == 1:
            self.tell("configuration.watch", vm)
        elif count == 2:
            self.tell("configuration.apply", vm)

    def observe_write(self, key: str) -> None:
        """Takes a write that took effect in the store."""
        if key.startswith("/azureramp/idempotency"):
            self.tell("query.record_key")
        elif key.startswith("/azureramp/resources"):
            self.tell("configuration.write")

    def observe_message(self, message: messages.PeerMessage) -> None:
        """Takes a peer message as it arrives."""
        match message:
            case messages.ConfigurationUpdate():
                self.tell("configuration.relay")
            case messages.HeartbeatAck(revision=revision) if (
                revision > self.base_revision
            ):
                self.tell("configuration.confirm")


class ObservedState(store_state.State):
    """A key-value service whose writes are observed."""

    __slots__ = ("watcher",)

    def __init__(self, watcher: Watcher) -> None:
        """Makes an empty service."""
        super().__init__()
        self.watcher = watcher

    def write(
        self, key: str, value: bytes | None, expected: int, lease: str = ""
    ) -> store_api.Write | None:
        """Writes, and tells the watcher if it took effect."""
        outcome = super().write(key, value, expected, lease)
        if isinstance(outcome, store_api.Written):
            self.watcher.observe_write(key)
        return outcome


class ObservedNetwork(peers_memory.Network):
    """A network whose messages are observed."""

    __slots__ = ("_codec", "watcher")

    def __init__(self, seed: int, watcher: Watcher) -> None:
        """Makes a network without faults."""
        super().__init__(seed)
        self.watcher = watcher
        self._codec = msgspec.msgpack.Decoder(messages.Envelope)

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Takes an envelope on its way, and shows its messages."""
        super().carry(source, target, data)
        for message in self._codec.decode(data).messages:
            self.watcher.observe_message(message)
