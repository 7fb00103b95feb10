"""Steps at which faults are injected, and how they are detected."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import msgspec

from azureramp import events, messages, timelines
from azureramp.ports.peers import memory as peers_memory
from azureramp.ports.store import api as store_api
from azureramp.ports.store import state as store_state

STEPS: dict[str, str] = {
    "query.admit": "a coordinator has admitted a query",
    "query.pin": "the index version is pinned",
    "query.record_key": "an idempotency record is written",
    "query.dispatch": "an owner is about to send a call to a searcher",
    "query.part_arrives": "the first partial result of a query has arrived",
    "query.merge": "the last partial result of a query has arrived",
    "query.reply": "the answer is sent",
    "query.record": "the outcome of a request is recorded",
    "configuration.validate": "an operator's change has arrived",
    "configuration.write": "the change is written",
    "configuration.watch": "the first VM has applied the change",
    "configuration.relay": "the change is relayed to a peer",
    "configuration.apply": "a second VM has applied the change",
    "configuration.confirm": "a peer acknowledges the revision",
    "lifecycle.start": "the replaced VM's process has started",
    "lifecycle.advertise": "the started process has applied its configuration",
    "lifecycle.drain": "a leaving VM is no longer advertised",
    "lifecycle.hand_off": "a leaving VM hands its searchers over",
    "lifecycle.exit": "a leaving VM begins to drain its requests",
}
"""Descriptions of what has just happened, by step."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReachedStep:
    """A step that has just been reached.

    Attributes:
        step: The step's name.
        vm: The VM that reached it; empty if unknown.
        searcher: The searcher concerned; empty if none is.
    """

    step: str
    vm: str = ""
    searcher: str = ""


Observer = Callable[[ReachedStep], None]


class StepDetector:
    """Detects steps from the daemons' events, writes and messages.

    Attributes:
        observer: Called at each step.
        base_revision: The store's revision before the operator's change.
        restarted_vm: Name of the VM whose start is a step.
        shard_count: Number of sub-requests of a query.
    """

    __slots__ = (
        "_applied",
        "_parts",
        "base_revision",
        "observer",
        "restarted_vm",
        "shard_count",
    )

    def __init__(self, shard_count: int) -> None:
        """Initializes a detector without an observer."""
        self.observer: Observer | None = None
        self.restarted_vm = ""
        self.base_revision = 2**62
        self.shard_count = shard_count
        self._parts: dict[str, int] = {}
        self._applied: dict[int, int] = {}

    def report(self, step: str, vm: str = "", searcher: str = "") -> None:
        """Reports a step to the observer."""
        if self.observer is not None:
            self.observer(ReachedStep(step, vm, searcher))

    def observe_event(self, record: timelines.Record) -> None:
        """Handles a record of a VM's timeline."""
        vm = record.vm
        match record.event:
            case events.RequestAdmitted():
                self.report("query.admit", vm)
            case events.PartDispatched(searcher=searcher):
                self.report("query.dispatch", vm, searcher)
            case events.PartEnded(request_id=request_id, searcher=searcher):
                count = self._parts.get(request_id, 0) + 1
                self._parts[request_id] = count
                if count == 1:
                    self.report("query.part_arrives", vm, searcher)
                if count == self.shard_count:
                    self.report("query.merge", vm, searcher)
            case events.RequestAnswered():
                self.report("query.reply", vm)
            case events.IdempotencyChanged(state="finished"):
                self.report("query.record", vm)
            case events.ConfigurationApplied(revision=revision):
                self._observe_applied(vm, revision)
            case events.ProcessStarted() if vm == self.restarted_vm:
                self.report("lifecycle.start", vm)
            case events.StopChanged(step="unadvertised"):
                self.report("lifecycle.drain", vm)
            case events.StopChanged(step="handing_off"):
                self.report("lifecycle.hand_off", vm)
            case events.StopChanged(step="draining"):
                self.report("lifecycle.exit", vm)

    def _observe_applied(self, vm: str, revision: int) -> None:
        """Counts the VMs that have applied a revision."""
        count = self._applied.get(revision, 0) + 1
        self._applied[revision] = count
        if vm == self.restarted_vm:
            self.report("lifecycle.advertise", vm)
        elif count == 1:
            self.report("configuration.watch", vm)
        elif count == 2:
            self.report("configuration.apply", vm)

    def observe_write(self, key: str) -> None:
        """Handles a write that took effect in the store."""
        if key.startswith("/azureramp/idempotency"):
            self.report("query.record_key")
        elif key.startswith("/azureramp/resources"):
            self.report("configuration.write")

    def observe_message(self, message: messages.PeerMessage) -> None:
        """Handles a peer message that was sent."""
        match message:
            case messages.ConfigurationUpdate():
                self.report("configuration.relay")
            case messages.HeartbeatAck(revision=revision) if (
                revision > self.base_revision
            ):
                self.report("configuration.confirm")


class ObservedState(store_state.State):
    """State of a key-value service that reports its writes to a detector."""

    __slots__ = ("detector",)

    def __init__(self, detector: StepDetector) -> None:
        """Initializes an empty state."""
        super().__init__()
        self.detector = detector

    def write(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease: str = "",
    ) -> store_api.WriteOutcome | None:
        """Writes a value, and reports it to the detector if it took effect."""
        outcome = super().write(key, value, expected_revision, lease)
        if isinstance(outcome, store_api.Written):
            self.detector.observe_write(key)
        return outcome


class ObservedNetwork(peers_memory.Network):
    """A network that reports peer messages to a detector."""

    __slots__ = ("_decoder", "detector")

    def __init__(self, seed: int, detector: StepDetector) -> None:
        """Initializes a network without faults."""
        super().__init__(seed)
        self.detector = detector
        self._decoder = msgspec.msgpack.Decoder(messages.Envelope)

    def send(self, source: str, target: str, data: bytes) -> None:
        """Carries an envelope, and reports its messages to the detector."""
        super().send(source, target, data)
        for message in self._decoder.decode(data).messages:
            self.detector.observe_message(message)
