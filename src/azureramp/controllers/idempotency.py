"""Idempotency records: a request that may not be repeated runs at most once.

Only the holder of a claim may dispatch, once, and only after the store has
said that the claim's compare-and-swap took effect. docs/design/idempotency.md
gives the reasons.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

import expression

from azureramp import blackboard, errors, events
from azureramp.controllers import (
    record_claimer,
    record_saver,
    record_writer,
)
from azureramp.policy import idempotency
from azureramp.ports.store import api

FINISH_S = 0.25
"""Longest time that an answer waits for its record, in seconds."""

MAX_REMEMBERED = 1000
"""How many outcomes this VM replays without asking the store."""

MAX_HELD = 5000
"""Most claims that this VM holds at once."""

NOT_RUN_DETAIL = (
    "this attempt did not run; an earlier one with the same key may have, so "
    "ask again with the same key"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Claimed:
    """The right to dispatch one request, once.

    Attributes:
        store_key: The record's key in the store.
        idempotency_key: The caller's key.
        record: The claim as written.
        revision: The store revision that wrote it.
        may_dispatch_until_s: No byte may go to a backend server after this
            time, on the loop's clock. Check it right before the write: a
            holder that was paused wakes with a claim that others may have
            given up as unknown meanwhile.
    """

    store_key: str
    idempotency_key: str
    record: idempotency.Record
    revision: int
    may_dispatch_until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Recorded:
    """The outcome of an earlier run.

    Attributes:
        request_id: The request that ran.
        result: The backend server's result, JSON; `null` if it was not kept.
        whole: False if the result was too large to be kept.
    """

    request_id: str
    result: bytes
    whole: bool = True


Answer = expression.Result[Claimed | Recorded, errors.Failure]


class Records:
    """The idempotency records as one VM uses them."""

    __slots__ = (
        "_board",
        "_claimer",
        "_held",
        "_number",
        "_quota",
        "_remembered",
        "_rng",
        "_saver",
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
        self._writer = record_writer.RecordWriter(store, rng)
        self._saver = record_saver.RecordSaver(self._writer)
        self._claimer = record_claimer.RecordClaimer(self._writer, self._saver)
        self._quota = idempotency.Quota()
        self._number = 0
        self._held: dict[str, Claimed] = {}
        self._remembered: collections.OrderedDict[str, idempotency.Record] = (
            collections.OrderedDict()
        )

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
        claim = self._make_claim(request_hash, request_id)
        store_key = idempotency.make_store_key(caller, key)
        known = self._look_up(store_key, claim)
        if known is not None:
            return self._answer(key, known)
        refusal = self._check_room(now_s)
        if refusal is not None:
            return expression.Error(refusal)
        if not self._writer.may_call():
            return expression.Error(self._make_unavailable())
        outcome = await self._claimer.claim(store_key, claim)
        if not isinstance(outcome, int):
            self._quota.give_back(0)
            return self._answer(key, outcome)
        until_s = now_s + idempotency.DISPATCH_S
        claimed = Claimed(store_key, key, claim, outcome, until_s)
        self._board.metrics.count("idempotency.records")
        self._record(key, claim, "claimed")
        if asyncio.get_running_loop().time() >= until_s:
            # This process was paused while it claimed.
            self.release(claimed)
            return expression.Error(self._make_unavailable())
        self._held[store_key] = claimed
        return expression.Ok(claimed)

    async def finish(self, claimed: Claimed, result: bytes) -> None:
        """Records the outcome; waits for it for a short time only."""
        whole = len(result) <= idempotency.MAX_RESULT_BYTES
        record = idempotency.change(
            claimed.record,
            idempotency.State.FINISHED,
            result if whole else b"null",
            whole,
        )
        self._quota.give_back(len(record.result))
        self._record(claimed.idempotency_key, record, "finished")
        await self._save(claimed, record)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Records that the request may have run."""
        record = idempotency.change(claimed.record, idempotency.State.UNKNOWN)
        self._record(claimed.idempotency_key, record, "unknown")
        await self._save(claimed, record)

    def release(self, claimed: Claimed) -> None:
        """Gives a claim back, in the background; only if nothing ran."""
        record = idempotency.change(claimed.record, idempotency.State.RELEASED)
        self._held.pop(claimed.store_key, None)
        self._quota.give_back(0)
        self._saver.add(
            record_saver.Save(claimed.store_key, record, claimed.revision)
        )
        self._record(claimed.idempotency_key, record, "released")

    async def run(self) -> None:
        """Writes what the store has not taken yet, for ever."""
        await self._saver.run()

    async def drain(self, limit_s: float) -> None:
        """Waits until everything is written, or for the limit.

        What is not written by then stays claimed in the store: a retry is
        told that the outcome is unknown, which is true as far as the store
        can tell.
        """
        self._saver.hurried = True
        waiting = list(self._saver.waiting.values())
        try:
            async with asyncio.timeout(limit_s):
                for save in waiting:
                    await save.done.wait()
        except TimeoutError:
            return

    def _make_claim(
        self, request_hash: int, request_id: str
    ) -> idempotency.Record:
        """Makes a claim's record with a nonce that no other one has."""
        self._number += 1
        vm = self._board.settings.vm
        return idempotency.Record(
            state=idempotency.State.CLAIMED,
            nonce=f"{vm}.{self._board.incarnation}.{self._number}."
            f"{self._rng.getrandbits(64):016x}",
            request_hash=request_hash,
            request_id=request_id,
            vm=vm,
        )

    def _look_up(
        self, store_key: str, claim: idempotency.Record
    ) -> idempotency.Record | errors.Failure | None:
        """Finds what this VM knows of a key without asking the store."""
        held = self._held.get(store_key)
        record = held.record if held else self._remembered.get(store_key)
        if record is None:
            return None
        match idempotency.judge(record, claim, 0.0):
            case idempotency.Replay(record=known):
                return known
            case idempotency.Refuse(kind=kind):
                return errors.Failure(kind)
        return None

    def _check_room(self, now_s: float) -> errors.Failure | None:
        """Refuses a claim that would pass a bound."""
        for store_key, held in list(self._held.items()):
            if now_s < held.may_dispatch_until_s + idempotency.UNKNOWN_S:
                break
            del self._held[store_key]
        if len(self._held) >= MAX_HELD:
            return errors.Failure(errors.Kind.OVERLOADED, "too many claims")
        wait_s = self._quota.take(now_s, len(self._board.members))
        if not wait_s:
            return None
        return errors.Failure(
            errors.Kind.OVERLOADED,
            "the records' share of the store is used up",
            int(wait_s * 1000),
        )

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
        # Spread, so that the refused don't come back together.
        wait_ms += self._rng.randrange(500, 2500)
        return errors.Failure(
            errors.Kind.STORE_UNAVAILABLE, NOT_RUN_DETAIL, wait_ms
        )

    async def _save(self, claimed: Claimed, record: idempotency.Record) -> None:
        """Saves a record, and waits for a short time until it is settled."""
        self._remembered[claimed.store_key] = record
        self._remembered.move_to_end(claimed.store_key)
        while len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)
        self._held.pop(claimed.store_key, None)
        save = record_saver.Save(claimed.store_key, record, claimed.revision)
        self._saver.add(save)
        try:
            async with asyncio.timeout(FINISH_S):
                await save.done.wait()
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
        rng: Draws nonces and waits.
    """
    return Records(board, store, rng)
