"""Idempotency records: a request that may not be repeated runs at most once.

Only the holder of a claim may dispatch, once, and only after the store has
said that the claim's compare-and-swap took effect. docs/design/idempotency.md
gives the reasons.
"""

from __future__ import annotations

import asyncio
import random
import secrets

import expression

from azureramp import blackboard, errors, events
from azureramp.controllers import (
    record_claimer,
    record_memory,
    record_outcomes,
    record_releases,
    record_writer,
)
from azureramp.policy import idempotency, record_bounds
from azureramp.ports.store import api

FINISH_S = 0.15
"""Longest time that an answer waits for its record, in seconds."""

SPREAD_MS = (500, 2500)
"""How the refused are spread, so that they don't come back together."""

NOT_RUN_DETAIL = (
    "this attempt did not run; an earlier one with the same key may have, so "
    "ask again with the same key"
)


Claimed = record_memory.Claimed
Recorded = record_memory.Recorded

Answer = expression.Result[Claimed | Recorded, errors.Failure]


class Records:
    """The idempotency records as one VM uses them."""

    __slots__ = (
        "_board",
        "_claimer",
        "_memory",
        "_number",
        "_outcomes",
        "_pace",
        "_process",
        "_quota",
        "_releases",
        "_rng",
        "_writer",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: api.Store,
        rng: random.Random,
    ) -> None:
        """Makes the records of one VM; see `make`."""
        self._board = board
        self._rng = rng
        # Two processes with one nonce would both believe that they hold the
        # claim of either. So it comes from the system's entropy: incarnation
        # numbers come from clocks, and seeds from incarnations.
        self._process = f"{board.settings.vm}.{secrets.token_hex(12)}"
        self._writer = record_writer.RecordWriter(store, rng)
        self._releases = record_releases.RecordReleases(self._writer)
        self._claimer = record_claimer.RecordClaimer(
            self._writer, self._releases
        )
        self._outcomes = record_outcomes.RecordOutcomes(
            self._writer,
            board.metrics,
            self._process,
        )
        self._pace = record_bounds.Pace()
        self._quota = record_bounds.Quota()
        self._number = 0
        self._memory = record_memory.RecordMemory()

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> Answer:
        """Claims a key for a request.

        A refusal that says `not_run` speaks of this request; only a record
        can tell of an earlier one with the same key.

        Args:
            caller: The caller's name.
            key: The caller's idempotency key.
            request_hash: The hash of the request's content.
            request_id: The request.

        Returns:
            The right to dispatch; or the recorded outcome; or a failure:
            `KEY_REUSED`, `IN_PROGRESS`, `OUTCOME_UNKNOWN`, `OVERLOADED` or
            `STORE_UNAVAILABLE`.
        """
        now_s = asyncio.get_running_loop().time()
        store_key = idempotency.make_store_key(caller, key)
        known = self._memory.look_up(store_key, request_hash, now_s)
        if known is not None:
            return self._answer(key, known)
        if self._writer.get_wait_s() > 0:
            return expression.Error(self._make_unavailable())
        refusal = self._check_room(now_s)
        if refusal is not None:
            return expression.Error(refusal)
        if not self._writer.may_call():
            return expression.Error(self._make_unavailable())
        claim = self._make_claim(request_hash, request_id)
        outcome = None
        try:
            outcome = await self._claimer.claim(store_key, claim)
        finally:
            if not isinstance(outcome, int):
                self._quota.give_back(record_bounds.OVERHEAD_BYTES)
                self._outcomes.close_claim(claim.group)
        if isinstance(outcome, idempotency.Record):
            self._memory.keep(store_key, outcome, now_s)
        if not isinstance(outcome, int):
            return self._answer(key, outcome)
        until_s = now_s + idempotency.DISPATCH_S
        claimed = Claimed(store_key, key, claim, outcome, until_s)
        self._board.metrics.count("idempotency.records")
        self._record(key, claim, "claimed")
        if asyncio.get_running_loop().time() >= until_s:
            # This process was paused while it claimed.
            self.release(claimed)
            return expression.Error(self._make_unavailable())
        self._memory.hold(claimed)
        return expression.Ok(claimed)

    async def finish(self, claimed: Claimed, result: bytes) -> None:
        """Records the outcome; waits for it for a short time only."""
        outcome = idempotency.make_finished(result)
        self._give_back(claimed, outcome)
        self._record(claimed.idempotency_key, claimed.record, "finished")
        await self._save(claimed, outcome)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Records that the request may have run."""
        outcome = idempotency.Outcome(state=idempotency.State.UNKNOWN)
        self._give_back(claimed, outcome)
        self._record(claimed.idempotency_key, claimed.record, "unknown")
        await self._save(claimed, outcome)

    def release(self, claimed: Claimed) -> None:
        """Gives a claim back, in the background; only if nothing ran."""
        record = idempotency.change(claimed.record, idempotency.State.RELEASED)
        self._memory.drop(claimed)
        self._give_back(claimed, None)
        self._releases.add(
            record_releases.Release(claimed.store_key, record, claimed.revision)
        )
        self._outcomes.close_claim(record.group)
        self._record(claimed.idempotency_key, record, "released")

    async def run(self) -> None:
        """Writes what the store has not taken yet, for ever."""
        tasks = [
            asyncio.ensure_future(self._releases.run()),
            asyncio.ensure_future(self._outcomes.run()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def drain(self, limit_s: float) -> None:
        """Waits until everything is written, or for the limit.

        What is not written by then stays claimed in the store: a retry is
        told that the outcome is unknown, which is true as far as the store
        can tell.
        """
        self._releases.hurried = True
        waiting = [each.done for each in self._releases.waiting.values()]
        waiting += self._outcomes.get_waiting()
        try:
            async with asyncio.timeout(limit_s):
                for done in waiting:
                    await done.wait()
        except TimeoutError:
            return

    def _make_claim(
        self, request_hash: int, request_id: str
    ) -> idempotency.Record:
        """Makes a claim's record with a nonce that no other one has."""
        self._number += 1
        return idempotency.Record(
            state=idempotency.State.CLAIMED,
            nonce=f"{self._process}.{self._number}",
            request_hash=request_hash,
            request_id=request_id,
            vm=self._board.settings.vm,
            group=self._outcomes.name_group(),
        )

    def _give_back(
        self, claimed: Claimed, outcome: idempotency.Outcome | None
    ) -> None:
        """Gives the room back that a claim turned out not to need."""
        record = idempotency.encode(claimed.record)
        stored = len(claimed.store_key) + len(record)
        if outcome is not None:
            nonce = claimed.record.nonce
            stored += len(idempotency.encode_group({nonce: outcome}))
        self._quota.give_back(stored)

    def _check_room(self, now_s: float) -> errors.Failure | None:
        """Refuses a claim that would pass a bound."""
        if self._memory.is_full(now_s):
            return errors.Failure(errors.Kind.OVERLOADED, "too many claims")
        vms = len(self._board.members)
        wait_s = self._pace.take(now_s, vms)
        if wait_s:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the records' share of the store's writes is used up",
                int(wait_s * 1000) + self._rng.randrange(*SPREAD_MS),
            )
        wait_s = self._quota.take(now_s, vms)
        if wait_s:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the records' share of the store's room is used up",
                int(wait_s * 1000) + self._rng.randrange(*SPREAD_MS),
            )
        return None

    def _answer(
        self, key: str, known: idempotency.Record | errors.Failure
    ) -> Answer:
        """Answers a claim that was not to be had."""
        if isinstance(known, errors.Failure):
            if known.kind is errors.Kind.STORE_UNAVAILABLE:
                known = self._make_unavailable()
            return expression.Error(known)
        self._board.metrics.count("idempotency.replayed")
        self._record(key, known, "replayed")
        return expression.Ok(
            Recorded(known.request_id, known.result, known.whole)
        )

    def _make_unavailable(self) -> errors.Failure:
        """Refuses a claim since the store can't be asked."""
        wait_ms = int(self._writer.get_wait_s() * 1000)
        wait_ms += self._rng.randrange(*SPREAD_MS)
        return errors.Failure(
            errors.Kind.STORE_UNAVAILABLE, NOT_RUN_DETAIL, wait_ms
        )

    async def _save(
        self, claimed: Claimed, outcome: idempotency.Outcome
    ) -> None:
        """Saves an outcome, and waits for a short time until it is settled."""
        now_s = asyncio.get_running_loop().time()
        self._memory.remember(claimed, outcome, now_s)
        done = self._outcomes.add(claimed.record, outcome)
        if outcome.state is idempotency.State.FINISHED:
            self._outcomes.close_claim(claimed.record.group)
        try:
            async with asyncio.timeout(FINISH_S):
                await done.wait()
        except TimeoutError:
            return

    def _record(self, key: str, record: idempotency.Record, state: str) -> None:
        """Records a change in the timeline."""
        event = events.IdempotencyChanged(
            key=key, request_id=record.request_id, state=state
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)


def make(
    board: blackboard.Blackboard, store: api.Store, rng: random.Random
) -> Records:
    """Makes the idempotency records of one VM.

    Args:
        board: The process's state.
        store: The platform's key-value service.
        rng: Draws waits.
    """
    return Records(board, store, rng)
