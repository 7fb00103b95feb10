"""Settles one claim by compare-and-swap, or leaves it to be released."""

from __future__ import annotations

import asyncio

from azureramp import errors
from azureramp.controllers import record_releases, record_writer
from azureramp.policy import idempotency, record_bounds
from azureramp.ports.store import api

ATTEMPTS = 5
"""Most writes that one claim makes."""

ATTEMPT_S = 1.0
"""Longest wait for the reply to one write, in seconds."""

CLAIM_S = 3.0
"""Longest time that a claim takes, in seconds."""

Outcome = int | idempotency.Record | errors.Failure
"""The claim's revision, the record of an earlier run, or why neither."""


class RecordClaimer:
    """Makes claims.

    A write whose reply was lost may have landed or may land later. It is
    repeated with the same nonce: the repeated compare-and-swap names the same
    revision, so it either takes effect or shows what did, and from then on
    the first one can't land. A plain read would not do: it may answer from
    the past, and a write that it doesn't show may still come.

    If even that can't be had, the claim is refused, and a released record is
    written in the background, which consumes the revision or replaces the
    claim. Until then the key is blocked for others, but never dispatched.
    """

    __slots__ = ("_releases", "_sightings", "_writer")

    def __init__(
        self,
        writer: record_writer.RecordWriter,
        releases: record_releases.RecordReleases,
    ) -> None:
        """Makes a claimer.

        Args:
            writer: Writes the claims.
            releases: Writes the releases.
        """
        self._writer = writer
        self._releases = releases
        self._sightings = record_bounds.Sightings()

    async def claim(self, store_key: str, claim: idempotency.Record) -> Outcome:
        """Writes a claim until the store has settled it.

        Args:
            store_key: The record's key in the store.
            claim: The record to write.

        Returns:
            The outcome; `STORE_UNAVAILABLE` if nothing may be dispatched.
        """
        expected = api.CREATE
        may_land = False
        until_s = asyncio.get_running_loop().time() + CLAIM_S
        data = idempotency.encode(claim)
        try:
            for _ in range(ATTEMPTS):
                left_s = until_s - asyncio.get_running_loop().time()
                if left_s <= 0:
                    break
                might_land, may_land = may_land, True
                result = await self._writer.write(
                    store_key, data, expected, min(left_s, ATTEMPT_S)
                )
                if result.is_error():
                    kind = result.error.kind
                    if kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
                        continue
                    may_land = might_land
                    break
                may_land = False
                if isinstance(result.ok, api.Written):
                    return result.ok.revision
                present = result.ok.present
                if present is None:
                    expected = api.CREATE
                    continue
                match await self._judge(present, claim):
                    case idempotency.Mine():
                        return present.revision
                    case idempotency.Replay(record=record):
                        return record
                    case idempotency.Refuse(kind=kind):
                        return errors.Failure(kind)
                    case idempotency.Free():
                        expected = present.revision
            return errors.Failure(errors.Kind.STORE_UNAVAILABLE)
        finally:
            # Also when the caller went away in the middle of a write.
            if may_land:
                released = idempotency.change(claim, idempotency.State.RELEASED)
                self._releases.add(
                    record_releases.Release(store_key, released, expected)
                )

    async def _judge(
        self, present: api.Entry, claim: idempotency.Record
    ) -> idempotency.Verdict:
        """Judges the record that a claim ran into.

        A caller who is told that the outcome is unknown looks what became of
        the request, and may send a new one. So this is said only once it has
        been recorded: then nobody can release the claim and run it after
        all. While it can't be recorded, the answer is `IN_PROGRESS`.
        """
        record = idempotency.decode(present.value or b"")
        if record is None:
            return idempotency.judge(None, claim.nonce, claim.request_hash, 0.0)
        verdict = idempotency.judge(
            record, claim.nonce, claim.request_hash, 0.0
        )
        if not isinstance(verdict, idempotency.Refuse):
            return verdict
        if verdict.kind is errors.Kind.KEY_REUSED:
            return verdict
        outcomes = await self._writer.read_group(record.group, ATTEMPT_S)
        if outcomes is None:
            return verdict
        record = idempotency.complete(record, outcomes.get(record.nonce))
        now_s = asyncio.get_running_loop().time()
        age_s = self._sightings.get_age_s(record.nonce, now_s)
        verdict = idempotency.judge(
            record, claim.nonce, claim.request_hash, age_s
        )
        if (
            record.state is idempotency.State.CLAIMED
            and age_s >= idempotency.UNKNOWN_S
            and not await self._record_unknown(present, record)
        ):
            return idempotency.Refuse(errors.Kind.IN_PROGRESS)
        return verdict

    async def _record_unknown(
        self, present: api.Entry, record: idempotency.Record
    ) -> bool:
        """Records that a claim's outcome is unknown; False if it can't."""
        unknown = idempotency.change(record, idempotency.State.UNKNOWN)
        written = await self._writer.write(
            present.key,
            idempotency.encode(unknown),
            present.revision,
            ATTEMPT_S,
        )
        return written.is_ok() and isinstance(written.ok, api.Written)
