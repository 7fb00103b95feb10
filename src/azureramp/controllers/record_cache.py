"""In-memory cache of the idempotency records used by one VM."""

from __future__ import annotations

import collections
import dataclasses
import math

from azureramp import errors
from azureramp.policy import idempotency, record_limits

MAX_CACHED_OUTCOMES = 1000
"""Maximum number of cached outcomes, replayed without a call to the store."""

CACHE_TTL_S = 600.0
"""Time for which an outcome is cached, in seconds.

Longer than the time within which retries arrive, and short enough that a
record leaves the cache soon after the store has deleted it.
"""

MAX_CLAIMS = 5000
"""Maximum number of claims that this VM holds at once."""


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The right to dispatch one request, once.

    Attributes:
        store_key: The record's key in the store.
        idempotency_key: The caller's key.
        record: The claim as written.
        revision: The store revision that wrote it.
        may_dispatch_until_s: No byte may go to a backend server after this
            time, on the loop's clock. Check it right before the write: while
            the holder was paused, other processes may have recorded the
            outcome of its claim as unknown.
    """

    store_key: str
    idempotency_key: str
    record: idempotency.Record
    revision: int
    may_dispatch_until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedOutcome:
    """The outcome of an earlier run.

    Attributes:
        request_id: The id of the request that ran.
        result: The backend server's result as JSON; `null` if it was not
            stored.
        complete: False if the result was too large to be stored.
    """

    request_id: str
    result: bytes
    complete: bool = True


class RecordMemory:
    """The claims held by this VM, and a cache of recent outcomes."""

    __slots__ = ("_claims", "_outcomes")

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._claims: dict[str, Claim] = {}
        self._outcomes: collections.OrderedDict[
            str, tuple[idempotency.Record, float]
        ] = collections.OrderedDict()

    def add_claim(self, claimed: Claim) -> None:
        """Adds a claim."""
        self._claims[claimed.store_key] = claimed

    def remove_claim(self, claimed: Claim) -> None:
        """Removes a claim."""
        self._claims.pop(claimed.store_key, None)

    def finish_claim(
        self, claimed: Claim, outcome: idempotency.Outcome, now_s: float
    ) -> None:
        """Removes a claim and caches its outcome for retries.

        An outcome that arrives after the retention time is not cached: the
        key is free by then, and another request may have claimed it.
        """
        self.remove_claim(claimed)
        began_s = claimed.may_dispatch_until_s - idempotency.DISPATCH_WINDOW_S
        if now_s + CACHE_TTL_S < began_s + record_limits.RETENTION_S:
            record = idempotency.with_outcome(claimed.record, outcome)
            self.cache_outcome(claimed.store_key, record, now_s)

    def cache_outcome(
        self, store_key: str, record: idempotency.Record, now_s: float
    ) -> None:
        """Caches a record with its outcome; evicts the oldest if full."""
        self._outcomes[store_key] = (record, now_s + CACHE_TTL_S)
        self._outcomes.move_to_end(store_key)
        while len(self._outcomes) > MAX_CACHED_OUTCOMES:
            self._outcomes.popitem(last=False)

    def is_full(self, now_s: float) -> bool:
        """Returns True if no further claim may be held.

        A claim without an outcome is removed here once other processes may
        record it as unknown; the store still has it.
        """
        for store_key, claim in list(self._claims.items()):
            until_s = claim.may_dispatch_until_s + idempotency.UNKNOWN_AFTER_S
            if now_s < until_s:
                break
            del self._claims[store_key]
        return len(self._claims) >= MAX_CLAIMS

    def find_answer(
        self, store_key: str, request_hash: int, now_s: float
    ) -> idempotency.Record | errors.Failure | None:
        """Returns the cached answer to a claim; None if there is none."""
        claim = self._claims.get(store_key)
        if claim is not None:
            record, until_s = claim.record, math.inf
        elif store_key in self._outcomes:
            record, until_s = self._outcomes[store_key]
        else:
            return None
        if now_s >= until_s:
            return None
        match idempotency.evaluate_claim(record, "", request_hash, 0.0):
            case idempotency.Replay(record=found):
                return found
            case idempotency.Refuse(kind=kind):
                return errors.Failure(kind)
        return None
