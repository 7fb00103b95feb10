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
from azureramp.controllers import record_saver
from azureramp.policy import backoff, idempotency
from azureramp.ports.store import api

CLAIM_ATTEMPTS = 4
"""Most writes that one claim makes."""

CALL_S = 2.0
"""Longest time that a call of the store takes, in seconds."""

FINISH_S = 0.25
"""Longest time that an answer waits for its record, in seconds."""

MAX_REMEMBERED = 1000
"""How many outcomes this VM replays without asking the store."""

RETENTION_S = 86_400.0
"""How long a record is kept at least, in seconds."""

LEASE_S = 600.0
"""How long one lease takes new records, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Claimed:
    """The right to dispatch one request, once.

    Attributes:
        store_key: The record's key in the store.
        idempotency_key: The caller's key.
        record: The claim as written.
        revision: The store revision that wrote it.
        may_dispatch_until_s: No byte may go to a backend server after this
            time, on the loop's clock; check it right before the write.
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


class Records:
    """The idempotency records as one VM uses them."""

    __slots__ = (
        "_backoff",
        "_board",
        "_held",
        "_lease",
        "_lease_lock",
        "_lease_until_s",
        "_number",
        "_remembered",
        "_rng",
        "_saver",
        "_sightings",
        "_store",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: api.Store,
        rng: random.Random,
    ) -> None:
        """Makes the records of one VM; see `make`."""
        self._board = board
        self._store = store
        self._rng = rng
        self._backoff = backoff.Backoff()
        self._held: dict[str, Claimed] = {}
        self._lease = ""
        self._lease_lock = asyncio.Lock()
        self._lease_until_s = 0.0
        self._number = 0
        self._remembered: collections.OrderedDict[str, idempotency.Record] = (
            collections.OrderedDict()
        )
        self._saver = record_saver.RecordSaver(
            store, self._get_lease, self._backoff, rng
        )
        self._sightings = idempotency.Sightings()

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> expression.Result[Claimed | Recorded, errors.Failure]:
        """Claims a key for a request.

        Args:
            caller: The caller's name.
            key: The caller's idempotency key.
            request_hash: The hash of the request's content.
            request_id: The request.

        Returns:
            The right to dispatch; or the recorded outcome; or a failure:
            `KEY_REUSED`, `IN_PROGRESS`, `OUTCOME_UNKNOWN`, or
            `STORE_UNAVAILABLE` if this request did not run.
        """
        loop = asyncio.get_running_loop()
        self._number += 1
        record = idempotency.Record(
            state=idempotency.State.CLAIMED,
            nonce=f"{self._board.settings.vm}-{self._board.incarnation}"
            f"-{self._number}-{self._rng.getrandbits(64):016x}",
            request_hash=request_hash,
            request_id=request_id,
            vm=self._board.settings.vm,
        )
        store_key = idempotency.make_store_key(caller, key)
        until_s = loop.time() + idempotency.DISPATCH_S
        known = self._look_up(store_key, record)
        if known is not None:
            return self._answer(key, known)
        if not self._backoff.may_call(loop.time(), CALL_S):
            return expression.Error(self._refuse())
        result = await self._write_claim(store_key, record)
        if isinstance(result, errors.Failure):
            return expression.Error(result)
        if not isinstance(result, int):
            return self._answer(key, result)
        claimed = Claimed(store_key, key, record, result, until_s)
        self._held[store_key] = claimed
        self._board.metrics.count("idempotency.records")
        self._record(claimed, "claimed")
        return expression.Ok(claimed)

    async def finish(self, claimed: Claimed, result: bytes) -> None:
        """Records the outcome; waits for it for a short time only."""
        whole = len(result) <= idempotency.MAX_RESULT_BYTES
        record = _change(
            claimed.record,
            idempotency.State.FINISHED,
            result if whole else b"null",
            whole,
        )
        self._remember(claimed.store_key, record)
        await self._save(claimed, record)
        self._record(claimed, "finished")

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Records that the request may have run."""
        record = _change(claimed.record, idempotency.State.UNKNOWN)
        self._remember(claimed.store_key, record)
        await self._save(claimed, record)
        self._record(claimed, "unknown")

    def release(self, claimed: Claimed) -> None:
        """Gives a claim back, in the background; only if nothing ran."""
        record = _change(claimed.record, idempotency.State.RELEASED)
        self._held.pop(claimed.store_key, None)
        self._saver.add(
            record_saver.Save(claimed.store_key, record, claimed.revision)
        )
        self._record(claimed, "released")

    async def run(self) -> None:
        """Writes what the store has not taken yet, for ever."""
        await self._saver.run()

    async def drain(self, limit_s: float) -> None:
        """Waits until everything is written, or for the limit."""
        waiting = list(self._saver.waiting.values())
        try:
            async with asyncio.timeout(limit_s):
                for save in waiting:
                    await save.done.wait()
        except TimeoutError:
            return

    async def _write_claim(
        self, store_key: str, record: idempotency.Record
    ) -> int | idempotency.Record | errors.Failure:
        """Writes a claim until the store has settled it.

        A write whose reply was lost is repeated with the same nonce: the
        repeated compare-and-swap either takes effect or shows what did, and
        in both cases the first one can't take effect any more. If it can't
        be settled, the claim is refused and released in the background.

        Returns:
            The claim's revision, the record that stands, or the failure.
        """
        expected = api.CREATE
        unsettled = False
        data = idempotency.encode(record)
        try:
            for _ in range(CLAIM_ATTEMPTS):
                lease = await self._get_lease()
                if lease.is_error():
                    break
                sent_unsettled, unsettled = unsettled, True
                result = await self._store.write(
                    store_key, data, expected, lease.ok
                )
                if result.is_error():
                    now_s = asyncio.get_running_loop().time()
                    self._backoff.record_failure(now_s, self._rng)
                    kind = result.error.kind
                    if kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
                        continue
                    unsettled = sent_unsettled
                    if kind is errors.Kind.NOT_FOUND:
                        self._lease = ""
                        continue
                    break
                self._backoff.record_success()
                unsettled = False
                match result.ok:
                    case api.Written(revision=revision):
                        return revision
                    case api.Conflicted(present=None):
                        expected = api.CREATE
                    case api.Conflicted(present=present):
                        assert present is not None
                        verdict = await self._judge(present, record)
                        if isinstance(verdict, idempotency.Free):
                            expected = present.revision
                        elif isinstance(verdict, idempotency.Mine):
                            return present.revision
                        elif isinstance(verdict, idempotency.Replay):
                            return verdict.record
                        else:
                            return errors.Failure(verdict.kind)
            return self._refuse()
        finally:
            if unsettled:
                released = _change(record, idempotency.State.RELEASED)
                self._saver.add(
                    record_saver.Save(store_key, released, expected)
                )

    async def _judge(
        self, present: api.Entry, claim: idempotency.Record
    ) -> idempotency.Verdict:
        """Judges the record that a claim ran into.

        An outcome is called unknown only after that has been recorded, so
        that a caller who was told so and acts on it can rely on it: nobody
        can release the record and run the request afterwards.
        """
        record = idempotency.decode(present.value or b"")
        now_s = asyncio.get_running_loop().time()
        age_s = 0.0
        if record is not None:
            age_s = self._sightings.get_age_s(record.nonce, now_s)
        verdict = idempotency.judge(record, claim, age_s)
        if (
            record is None
            or verdict != idempotency.Refuse(errors.Kind.OUTCOME_UNKNOWN)
            or record.state is idempotency.State.UNKNOWN
        ):
            return verdict
        lease = await self._get_lease()
        if lease.is_ok():
            data = idempotency.encode(
                _change(record, idempotency.State.UNKNOWN)
            )
            written = await self._store.write(
                present.key, data, present.revision, lease.ok
            )
            if written.is_ok() and isinstance(written.ok, api.Written):
                return verdict
        return idempotency.Refuse(errors.Kind.IN_PROGRESS)

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

    def _answer(
        self, key: str, known: idempotency.Record | errors.Failure
    ) -> expression.Result[Claimed | Recorded, errors.Failure]:
        """Answers a claim by what is known already."""
        if isinstance(known, errors.Failure):
            return expression.Error(known)
        self._board.metrics.count("idempotency.replayed")
        self._record_change(key, known.request_id, "replayed")
        return expression.Ok(
            Recorded(known.request_id, known.result, known.whole)
        )

    def _refuse(self) -> errors.Failure:
        """Refuses a claim since the store can't be asked."""
        now_s = asyncio.get_running_loop().time()
        wait_ms = int(self._backoff.get_wait_s(now_s) * 1000)
        wait_ms += self._rng.randrange(500, 1500)
        return errors.Failure(
            errors.Kind.STORE_UNAVAILABLE,
            "this attempt did not run; ask again with the same key",
            wait_ms,
        )

    async def _save(self, claimed: Claimed, record: idempotency.Record) -> None:
        """Saves a record, and waits for a short time until it is settled."""
        save = record_saver.Save(claimed.store_key, record, claimed.revision)
        self._saver.add(save)
        self._held.pop(claimed.store_key, None)
        try:
            async with asyncio.timeout(FINISH_S):
                await save.done.wait()
        except TimeoutError:
            return

    async def _get_lease(self) -> expression.Result[str, errors.Failure]:
        """Gets the lease whose end deletes the records written now.

        The platform counts the time and deletes them all in one go: no VM
        compares clocks, and no write is spent on deleting.
        """
        async with self._lease_lock:
            now_s = asyncio.get_running_loop().time()
            if self._lease and now_s < self._lease_until_s:
                return expression.Ok(self._lease)
            granted = await self._store.grant_lease(RETENTION_S + LEASE_S)
            if granted.is_error():
                self._backoff.record_failure(now_s, self._rng)
                return granted
            self._lease = granted.ok
            self._lease_until_s = now_s + LEASE_S
            return granted

    def _remember(self, store_key: str, record: idempotency.Record) -> None:
        """Keeps an outcome for retries that come to this VM."""
        self._remembered[store_key] = record
        self._remembered.move_to_end(store_key)
        while len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def _record(self, claimed: Claimed, state: str) -> None:
        """Records a change of a claim in the timeline."""
        self._record_change(
            claimed.idempotency_key, claimed.record.request_id, state
        )

    def _record_change(self, key: str, request_id: str, state: str) -> None:
        """Records a change in the timeline."""
        event = events.IdempotencyChanged(
            key=key, request_id=request_id, state=state
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


def _change(
    record: idempotency.Record,
    state: idempotency.State,
    result: bytes = b"",
    whole: bool = True,
) -> idempotency.Record:
    """Makes the record of a claim's next state."""
    return idempotency.Record(
        state=state,
        nonce=record.nonce,
        request_hash=record.request_hash,
        request_id=record.request_id,
        vm=record.vm,
        result=result,
        whole=whole,
    )
