"""Writes claims by compare-and-swap, and schedules the release of lost ones."""

from __future__ import annotations

import asyncio

from azureramp import errors
from azureramp.controllers import record_releases, record_writer
from azureramp.policy import idempotency, record_limits
from azureramp.ports.store import api

MAX_WRITES = 5
"""Maximum number of writes per claim."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of one write, in seconds."""

CLAIM_TIMEOUT_S = 3.0
"""Timeout of a claim with all its writes, in seconds."""

Outcome = int | idempotency.Record | errors.Failure
"""The claim's revision, the record of an earlier run, or the failure."""


class RecordClaimer:
    """Writes claims to the store.

    A write whose reply was lost may have taken effect, or may take effect
    later. It is repeated with the same nonce: the repeated compare-and-swap
    expects the same revision, so it either takes effect or returns the entry
    that did, and from then on the first write can't take effect. A plain read
    is not enough: it may return an old state, and a write that it doesn't
    show may still take effect.

    If the repeated write has no result either, the claim is refused, and a
    released record is written in the background, which uses up the expected
    revision or replaces the claim. Until then the key is blocked for others,
    but the request is never dispatched.
    """

    __slots__ = ("_observed", "_releases", "_writer")

    def __init__(
        self,
        writer: record_writer.RecordWriter,
        releases: record_releases.RecordReleases,
    ) -> None:
        """Creates a claimer.

        Args:
            writer: Writes the claims.
            releases: Writes the releases of claims that may take effect later.
        """
        self._writer = writer
        self._releases = releases
        self._observed = record_limits.ClaimSightings()

    async def claim(self, store_key: str, claim: idempotency.Record) -> Outcome:
        """Writes a claim, repeatedly until its outcome is known.

        Args:
            store_key: The record's key in the store.
            claim: The record to write.

        Returns:
            The outcome; `STORE_UNAVAILABLE` if the claim could not be
            confirmed, so that the request must not be dispatched.
        """
        expected = api.NO_REVISION
        may_take_effect = False
        until_s = asyncio.get_running_loop().time() + CLAIM_TIMEOUT_S
        data = idempotency.encode_record(claim)
        try:
            for _ in range(MAX_WRITES):
                remaining_s = until_s - asyncio.get_running_loop().time()
                if remaining_s <= 0:
                    break
                could_take_effect, may_take_effect = may_take_effect, True
                result = await self._writer.write(
                    store_key, data, expected, min(remaining_s, WRITE_TIMEOUT_S)
                )
                if result.is_error():
                    kind = result.error.kind
                    if kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
                        continue
                    may_take_effect = could_take_effect
                    break
                may_take_effect = False
                if isinstance(result.ok, api.Written):
                    return result.ok.revision
                current = result.ok.current
                if current is None:
                    expected = api.NO_REVISION
                    continue
                match await self._evaluate_conflict(current, claim):
                    case idempotency.Owned():
                        return current.revision
                    case idempotency.Replay(record=record):
                        return record
                    case idempotency.Refuse(kind=kind):
                        return errors.Failure(kind)
                    case idempotency.Claimable():
                        expected = current.revision
            return errors.Failure(errors.Kind.STORE_UNAVAILABLE)
        finally:
            # Also runs if the caller disconnects during a write.
            if may_take_effect:
                released = idempotency.with_state(
                    claim, idempotency.State.RELEASED
                )
                self._releases.add(
                    record_releases.Release(store_key, released, expected)
                )

    async def _evaluate_conflict(
        self, current: api.Entry, claim: idempotency.Record
    ) -> idempotency.Verdict:
        """Evaluates the record with which a claim conflicted.

        A caller that gets `OUTCOME_UNKNOWN` checks the effects of the request
        itself and may send a new one. So this is answered only after it has
        been recorded: from then on no process can release the claim and run
        the request after all. While it can't be recorded, the answer is
        `IN_PROGRESS`.
        """
        record = idempotency.decode_record(current.value or b"")
        if record is None:
            return idempotency.evaluate_claim(
                None, claim.nonce, claim.request_hash, 0.0
            )
        verdict = idempotency.evaluate_claim(
            record, claim.nonce, claim.request_hash, 0.0
        )
        if not isinstance(verdict, idempotency.Refuse):
            return verdict
        if verdict.kind is errors.Kind.KEY_REUSED:
            return verdict
        outcomes = await self._writer.read_group(record.group, WRITE_TIMEOUT_S)
        if outcomes is None:
            return verdict
        record = idempotency.with_outcome(record, outcomes.get(record.nonce))
        now_s = asyncio.get_running_loop().time()
        age_s = self._observed.record_sighting(record.nonce, now_s)
        verdict = idempotency.evaluate_claim(
            record, claim.nonce, claim.request_hash, age_s
        )
        if (
            record.state is idempotency.State.CLAIMED
            and age_s >= idempotency.UNKNOWN_AFTER_S
            and not await self._record_unknown(current, record)
        ):
            return idempotency.Refuse(errors.Kind.IN_PROGRESS)
        return verdict

    async def _record_unknown(
        self, current: api.Entry, record: idempotency.Record
    ) -> bool:
        """Records a claim's outcome as unknown; returns True if stored."""
        unknown = idempotency.with_state(record, idempotency.State.UNKNOWN)
        written = await self._writer.write(
            current.key,
            idempotency.encode_record(unknown),
            current.revision,
            WRITE_TIMEOUT_S,
        )
        return written.is_ok() and isinstance(written.ok, api.Written)
