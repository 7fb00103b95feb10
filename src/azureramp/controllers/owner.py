"""The owner of searchers: the only VM that sends work to each of them."""

from __future__ import annotations

import asyncio
import random

import logbook

from azureramp import blackboard, errors, messages
from azureramp.controllers import (
    directory,
    handoffs,
    health_probes,
    late_notices,
    owned_searcher,
    ownership_reconciler,
    part_runner,
    poison_detection,
    replies,
)
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import duplicate_cache
from azureramp.ports.searchers import api as searchers_api

TICK_S = 0.1
"""Interval between runs of the periodic work, in seconds."""

DEDUPLICATION_S = 120.0
"""How long the key of a non-repeatable sub-request is remembered, in seconds,
so that a duplicate message doesn't run it twice."""

MAX_DEDUPLICATION_KEYS = 50_000
"""Maximum number of remembered keys; further sub-requests are refused."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part

_logger = logbook.Logger("azureramp.owner")


class Owner:
    """Runs sub-requests on owned searchers and hands searchers off."""

    __slots__ = (
        "_board",
        "_detector",
        "_directory",
        "_handoffs",
        "_holdings",
        "_once",
        "_prober",
        "_reconciler",
        "_runner",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        port: searchers_api.Searchers,
        rng: random.Random,
    ) -> None:
        """Creates an owner without searchers; see `make`."""
        self._board = board
        self._directory = directory.SearcherDirectory(board)
        self._holdings = owned_searcher.Holdings()
        self._handoffs = handoffs.Handoffs(board, outbox)
        self._prober = health_probes.Prober(
            board, port, self._holdings, rng, self._handle_probe
        )
        self._detector = poison_detection.PoisonDetector(
            board, outbox, port, self._directory, self._holdings
        )
        self._runner = part_runner.PartRunner(
            board,
            port,
            self._directory,
            self._holdings,
            self._detector,
            self._prober,
            replies.Replies(outbox),
            late_notices.LateNotices(outbox),
        )
        self._detector.on_attributed = self._runner.requeue_suspect
        self._runner.on_released = self._handoffs.handle_calls_ended
        self._once: duplicate_cache.DuplicateCache[tuple[str, int]] = (
            duplicate_cache.DuplicateCache(
                DEDUPLICATION_S, MAX_DEDUPLICATION_KEYS
            )
        )
        self._reconciler = ownership_reconciler.OwnershipReconciler(
            board,
            port,
            self._directory,
            self._holdings,
            self._handoffs,
            self._prober,
            self._runner,
        )

    def receive_batch(self, sender: str, batch: messages.QueryBatch) -> None:
        """Accepts the sub-requests of one request."""
        deadline_s = _now_s() + batch.remaining_ms / 1000
        for request in batch.parts:
            key = (batch.request_id, request.part)
            if key in self._holdings.parts or key in self._once:
                continue
            part = Part(sender, batch, request, key, deadline_s)
            if not batch.repeatable and not self._once.add(key, _now_s()):
                self._runner.fail(part, errors.Failure(errors.Kind.OVERLOADED))
            else:
                self._runner.enqueue(part)

    def receive_cancel(self, sender: str, message: messages.Cancel) -> None:
        """Cancels sub-requests whose results are no longer needed."""
        for number in message.parts:
            entry = self._holdings.parts.get((message.request_id, number))
            if entry is not None:
                self._runner.cancel(*entry)

    def receive_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Accepts the handoff of a searcher from its former owner."""
        owned = self._holdings.owned.get(message.searcher)
        if owned is None:
            self._handoffs.receive(sender, message)
            self.update_ownership()
        else:
            # This VM started without the handoff, but the former owner's
            # running calls still occupy slots.
            ownership_reconciler.reserve_slots(owned, sender, message)

    def receive_handoff_done(
        self, sender: str, message: messages.HandoffDone
    ) -> None:
        """Handles the notice that a former owner's calls have all ended."""
        for name in message.searchers:
            owned = self._holdings.owned.get(name)
            if owned is None:
                self._handoffs.receive_handoff_done(sender, name)
            else:
                owned.reserved.pop(sender, None)
                self._runner.start_waiting(owned)

    def receive_crash_notice(
        self, sender: str, message: messages.CrashNotice
    ) -> None:
        """Handles the notice of a crash that another owner detected."""
        self._detector.receive_notice(message)

    def update_ownership(self) -> None:
        """Starts owning newly assigned searchers and hands off the others.

        Also applies a changed configuration.
        """
        self._reconciler.update()
        self._publish()

    async def run(self) -> None:
        """Runs the periodic work forever, including health probes."""
        while True:
            try:
                self._tick()
            except Exception:
                # An error in one run must not prevent later runs.
                _logger.exception("periodic work of the owner failed")
            await asyncio.sleep(TICK_S)

    async def drain(self, limit_s: float) -> None:
        """Hands all searchers off and waits for running calls to end.

        Args:
            limit_s: Maximum wait, in seconds; calls that still run after it
                are cancelled.
        """
        self._reconciler.draining = True
        self.update_ownership()
        tasks = [
            part.task
            for _, part in self._holdings.parts.values()
            if part.task is not None
        ]
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=1.0)
        self._handoffs.resend_and_report()
        self._prober.close()
        self._detector.close()

    def _tick(self) -> None:
        """Runs the periodic work once."""
        self.update_ownership()
        self._handoffs.resend_and_report()
        self._detector.repeat_quarantines()
        queued = 0
        for owned in list(self._holdings.owned.values()):
            self._runner.start_waiting(owned)
            self._prober.probe_if_due(owned)
            queued += len(owned.queue)
        self._board.metrics.set_gauge("searcher.queued", queued)

    def _handle_probe(self, owned: OwnedSearcher) -> None:
        """Handles a completed health read."""
        if not owned.reachable:
            failure = errors.Failure(errors.Kind.CONNECTION_LOST, "down")
            self._runner.fail_waiting(owned, failure)
        self._runner.start_waiting(owned)
        self._publish()

    def _publish(self) -> None:
        """Writes the owned searchers' states to the blackboard.

        A searcher that was just taken over and not probed yet is omitted: the
        state that other VMs have from its last owner is better than none.
        """
        has_lease = _now_s() < self._board.lease_until_s
        self._board.owned_states = {
            name: owned.make_state(
                owned.reachable
                and owned.place.refusal_kind is None
                and (has_lease or not owned.is_cold())
            )
            for name, owned in self._holdings.owned.items()
            if owned.has_state()
        }


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    searchers_port: searchers_api.Searchers,
    rng: random.Random,
) -> Owner:
    """Creates the owner controller of a process.

    Args:
        board: The process's state.
        outbox: Sends messages to other VMs.
        searchers_port: Calls the searchers.
        rng: Source of randomness for jitter.
    """
    return Owner(board, outbox, searchers_port, rng)
