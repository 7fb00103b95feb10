"""Idempotency records: a non-idempotent request is executed at most once.

Only the holder of a claim may dispatch the request, once, and only after the
store has confirmed the claim's compare-and-swap. The reasons are in
docs/design/idempotency.md.
"""

from __future__ import annotations

import asyncio
import random
import secrets

import expression

from azureramp import blackboard, errors, events
from azureramp.controllers import (
    record_cache,
    record_claimer,
    record_outcomes,
    record_releases,
    record_writer,
)
from azureramp.policy import idempotency, record_limits
from azureramp.ports.store import api

OUTCOME_WAIT_S = 0.15
"""Maximum time for which a response waits for its record, in seconds."""

RETRY_JITTER_MS = (500, 2500)
"""Bounds of the random delay added to the retry time of a refused request, in
milliseconds, so that refused callers don't all retry at once."""

NOT_RUN_DETAIL = (
    "this attempt did not run; an earlier one with the same key may have, so "
    "ask again with the same key"
)


Claimed = record_cache.Claim
Recorded = record_cache.RecordedOutcome

Answer = expression.Result[Claimed | Recorded, errors.Failure]


class IdempotencyRecords:
    """Claims and outcomes of non-idempotent requests on one VM."""

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
        """Creates the records of one VM; see `make`."""
        self._board = board
        self._rng = rng
        # If two processes used the same nonce, each would treat the other's
        # claim as its own. Nonces therefore come from the system's entropy:
        # incarnation numbers are derived from clocks, and random seeds from
        # incarnation numbers, so neither is certain to be unique.
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
        self._pace = record_limits.ClaimRateLimit()
        self._quota = record_limits.RecordQuota()
        self._number = 0
        self._memory = record_cache.RecordMemory()

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> Answer:
        """Claims a key for a request.

        A refusal with `not_run` applies to this request only; whether an
        earlier request with the same key ran is known only from a record.

        Args:
            caller: The caller's name.
            key: The caller's idempotency key.
            request_hash: The hash of the request's content.
            request_id: The id of the request.

        Returns:
            The claim, which permits one dispatch; or the recorded outcome; or
            a failure: `KEY_REUSED`, `IN_PROGRESS`, `OUTCOME_UNKNOWN`,
            `OVERLOADED` or `STORE_UNAVAILABLE`.
        """
        now_s = asyncio.get_running_loop().time()
        store_key = idempotency.make_store_key(caller, key)
        found = self._memory.find_answer(store_key, request_hash, now_s)
        if found is not None:
            return self._answer(key, found)
        if self._writer.get_wait_s() > 0:
            return expression.Error(self._make_unavailable())
        refusal = self._check_limits(now_s)
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
                self._quota.release(record_limits.RECORD_OVERHEAD_BYTES)
                self._outcomes.close_claim(claim.group)
        if isinstance(outcome, idempotency.Record):
            self._memory.cache_outcome(store_key, outcome, now_s)
        if not isinstance(outcome, int):
            return self._answer(key, outcome)
        until_s = now_s + idempotency.DISPATCH_WINDOW_S
        claimed = Claimed(store_key, key, claim, outcome, until_s)
        self._board.metrics.count("idempotency.records")
        self._record(key, claim, "claimed")
        if asyncio.get_running_loop().time() >= until_s:
            # The process was paused while the claim was being written.
            self.release(claimed)
            return expression.Error(self._make_unavailable())
        self._memory.add_claim(claimed)
        return expression.Ok(claimed)

    async def finish(self, claimed: Claimed, result: bytes) -> None:
        """Records the result; waits up to `OUTCOME_WAIT_S` for the write."""
        outcome = idempotency.make_finished(result)
        self._return_unused_quota(claimed, outcome)
        self._record(claimed.idempotency_key, claimed.record, "finished")
        await self._save(claimed, outcome)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Records that the request may have been executed."""
        outcome = idempotency.Outcome(state=idempotency.State.UNKNOWN)
        self._return_unused_quota(claimed, outcome)
        self._record(claimed.idempotency_key, claimed.record, "unknown")
        await self._save(claimed, outcome)

    def release(self, claimed: Claimed) -> None:
        """Releases a claim in the background.

        Call it only if the request was not dispatched.
        """
        record = idempotency.with_state(
            claimed.record, idempotency.State.RELEASED
        )
        self._memory.remove_claim(claimed)
        self._return_unused_quota(claimed, None)
        self._releases.add(
            record_releases.Release(claimed.store_key, record, claimed.revision)
        )
        self._outcomes.close_claim(record.group)
        self._record(claimed.idempotency_key, record, "released")

    async def run(self) -> None:
        """Writes pending releases and outcomes to the store, forever."""
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
        """Waits until everything is written, up to a limit.

        Requests whose outcome is not written by then stay claimed in the
        store. A retry of one gets `OUTCOME_UNKNOWN`, which is correct as far
        as the store's content goes.

        Args:
            limit_s: The limit, in seconds.
        """
        self._releases.draining = True
        pending = [each.done for each in self._releases.pending.values()]
        pending += self._outcomes.get_pending()
        try:
            async with asyncio.timeout(limit_s):
                for done in pending:
                    await done.wait()
        except TimeoutError:
            return

    def _make_claim(
        self, request_hash: int, request_id: str
    ) -> idempotency.Record:
        """Creates a claim's record with a unique nonce."""
        self._number += 1
        return idempotency.Record(
            state=idempotency.State.CLAIMED,
            nonce=f"{self._process}.{self._number}",
            request_hash=request_hash,
            request_id=request_id,
            vm=self._board.settings.vm,
            group=self._outcomes.assign_group(),
        )

    def _return_unused_quota(
        self, claimed: Claimed, outcome: idempotency.Outcome | None
    ) -> None:
        """Returns the storage that was reserved for a claim but not used."""
        record = idempotency.encode_record(claimed.record)
        stored = len(claimed.store_key) + len(record)
        if outcome is not None:
            nonce = claimed.record.nonce
            stored += len(idempotency.encode_group({nonce: outcome}))
        self._quota.release(stored)

    def _check_limits(self, now_s: float) -> errors.Failure | None:
        """Returns a failure if a new claim would exceed a bound."""
        if self._memory.is_full(now_s):
            return errors.Failure(errors.Kind.OVERLOADED, "too many claims")
        vms = len(self._board.members)
        wait_s = self._pace.acquire(now_s, vms)
        if wait_s:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the records' share of the store's writes is used up",
                int(wait_s * 1000) + self._rng.randrange(*RETRY_JITTER_MS),
            )
        wait_s = self._quota.reserve(now_s, vms)
        if wait_s:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                "the records' share of the store's room is used up",
                int(wait_s * 1000) + self._rng.randrange(*RETRY_JITTER_MS),
            )
        return None

    def _answer(
        self, key: str, found: idempotency.Record | errors.Failure
    ) -> Answer:
        """Makes the answer for a claim that was not granted."""
        if isinstance(found, errors.Failure):
            if found.kind is errors.Kind.STORE_UNAVAILABLE:
                found = self._make_unavailable()
            return expression.Error(found)
        self._board.metrics.count("idempotency.replayed")
        self._record(key, found, "replayed")
        return expression.Ok(
            Recorded(found.request_id, found.result, found.whole)
        )

    def _make_unavailable(self) -> errors.Failure:
        """Makes the refusal for a store that is unavailable."""
        wait_ms = int(self._writer.get_wait_s() * 1000)
        wait_ms += self._rng.randrange(*RETRY_JITTER_MS)
        return errors.Failure(
            errors.Kind.STORE_UNAVAILABLE, NOT_RUN_DETAIL, wait_ms
        )

    async def _save(
        self, claimed: Claimed, outcome: idempotency.Outcome
    ) -> None:
        """Saves an outcome; waits up to `OUTCOME_WAIT_S` for the write."""
        now_s = asyncio.get_running_loop().time()
        self._memory.finish_claim(claimed, outcome, now_s)
        done = self._outcomes.add(claimed.record, outcome)
        if outcome.state is idempotency.State.FINISHED:
            self._outcomes.close_claim(claimed.record.group)
        try:
            async with asyncio.timeout(OUTCOME_WAIT_S):
                await done.wait()
        except TimeoutError:
            return

    def _record(self, key: str, record: idempotency.Record, state: str) -> None:
        """Records a state change in the timeline."""
        event = events.IdempotencyChanged(
            key=key, request_id=record.request_id, state=state
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)


def make(
    board: blackboard.Blackboard, store: api.Store, rng: random.Random
) -> IdempotencyRecords:
    """Creates the idempotency records of one VM.

    Args:
        board: The process's state.
        store: The platform's key-value service.
        rng: Source of the random retry delays.
    """
    return IdempotencyRecords(board, store, rng)
