"""The owner of searchers: the one VM that sends work to each of them."""

from __future__ import annotations

import asyncio
import random

import logbook

from azureramp import blackboard, errors, messages
from azureramp.controllers import (
    directory,
    handoffs,
    late_notices,
    owned_searcher,
    ownership_changes,
    part_runner,
    poisoning,
    probing,
    replies,
)
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import once
from azureramp.ports.searchers import api as searchers_api

TICK_S = 0.1
"""Time between looks at what is due, in seconds."""

ONCE_S = 120.0
"""How long a sub-request that may not be repeated is remembered, in
seconds, so that a message that comes twice doesn't run it twice."""

MAX_ONCE = 50_000
"""Most of them remembered; further ones are refused."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part

_logger = logbook.Logger("azureramp.owner")


class Owner:
    """Owns searchers: takes work for them, and gives them up in order."""

    __slots__ = (
        "_board",
        "_changes",
        "_directory",
        "_handoffs",
        "_holdings",
        "_once",
        "_poisoning",
        "_prober",
        "_runner",
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
        self._directory = directory.Directory(board)
        self._holdings = owned_searcher.Holdings()
        self._handoffs = handoffs.Handoffs(board, outbox)
        self._prober = probing.Prober(
            board, port, self._holdings, rng, self._take_look
        )
        self._poisoning = poisoning.Poisoning(
            board, outbox, port, self._directory, self._holdings
        )
        self._runner = part_runner.PartRunner(
            board,
            port,
            self._directory,
            self._holdings,
            self._poisoning,
            self._prober,
            replies.Replies(outbox),
            late_notices.LateNotices(outbox),
        )
        self._poisoning.on_charged = self._runner.isolate
        self._runner.on_released = self._handoffs.end_part
        self._once: once.Once[tuple[str, int]] = once.Once(ONCE_S, MAX_ONCE)
        self._changes = ownership_changes.OwnershipChanges(
            board,
            port,
            self._directory,
            self._holdings,
            self._handoffs,
            self._prober,
            self._runner,
        )

    def receive_batch(self, sender: str, batch: messages.QueryBatch) -> None:
        """Takes the sub-requests of one request."""
        deadline_s = _now_s() + batch.remaining_ms / 1000
        for request in batch.parts:
            key = (batch.request_id, request.part)
            if key in self._holdings.parts or key in self._once:
                continue
            part = Part(sender, batch, request, key, deadline_s)
            if not batch.repeatable and not self._once.add(key, _now_s()):
                self._runner.fail(part, errors.Failure(errors.Kind.OVERLOADED))
            else:
                self._runner.take(part)

    def receive_cancel(self, sender: str, message: messages.Cancel) -> None:
        """Ends sub-requests that nobody waits for."""
        for number in message.parts:
            entry = self._holdings.parts.get((message.request_id, number))
            if entry is not None:
                self._runner.cancel(*entry)

    def receive_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Takes a searcher from its former owner."""
        owned = self._holdings.owned.get(message.searcher)
        if owned is None:
            self._handoffs.receive(sender, message)
            self.update_ownership()
        else:
            # This VM didn't wait for it, but what still runs counts.
            ownership_changes.hold_slots(owned, sender, message)

    def receive_handoff_done(
        self, sender: str, message: messages.HandoffDone
    ) -> None:
        """Learns that a former owner has nothing running any more."""
        for name in message.searchers:
            owned = self._holdings.owned.get(name)
            if owned is None:
                self._handoffs.receive_done(sender, name)
            else:
                owned.held.pop(sender, None)
                self._runner.pump(owned)

    def receive_crash_notice(
        self, sender: str, message: messages.CrashNotice
    ) -> None:
        """Learns of a crash that another owner saw."""
        self._poisoning.receive_notice(message)

    def update_ownership(self) -> None:
        """Starts on searchers that are this VM's now, and hands off others.

        It also takes in a changed configuration.
        """
        self._changes.update()
        self._publish()

    async def run(self) -> None:
        """Probes the searchers and looks at what is due, forever."""
        while True:
            try:
                self._tick()
            except Exception:
                # A fault in one look must not end all later ones.
                _logger.exception("the owner's look failed")
            await asyncio.sleep(TICK_S)

    async def drain(self, limit_s: float) -> None:
        """Hands everything off and waits for what runs.

        Args:
            limit_s: Hard limit, in seconds; what runs then is cut.
        """
        self._changes.draining = True
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
        self._handoffs.tend()
        self._prober.close()
        self._poisoning.close()

    def _tick(self) -> None:
        """Looks at what is due."""
        self.update_ownership()
        self._handoffs.tend()
        self._poisoning.repeat_quarantines()
        queued = 0
        for owned in list(self._holdings.owned.values()):
            self._runner.pump(owned)
            self._prober.probe_if_due(owned)
            queued += len(owned.queue)
        self._board.metrics.set_gauge("searcher.queued", queued)

    def _take_look(self, owned: OwnedSearcher) -> None:
        """Takes what a health read brought."""
        if not owned.reachable:
            failure = errors.Failure(errors.Kind.CONNECTION_LOST, "down")
            self._runner.fail_waiting(owned, failure)
        self._runner.pump(owned)
        self._publish()

    def _publish(self) -> None:
        """Writes the owned searchers' states on the blackboard.

        A searcher that was just taken over and not looked at yet has no
        state: what the others know from its last owner is better than none.
        """
        has_lease = _now_s() < self._board.lease_until_s
        self._board.owned = {
            name: owned.make_state(
                owned.reachable
                and owned.place.refusal is None
                and (has_lease or not owned.is_cold())
            )
            for name, owned in self._holdings.owned.items()
            if owned.is_known()
        }


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
