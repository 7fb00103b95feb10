"""What one VM knows of idempotency records without asking the store."""

from __future__ import annotations

import collections
import dataclasses
import math

from azureramp import errors
from azureramp.policy import idempotency

MAX_REMEMBERED = 1000
"""How many outcomes this VM replays without asking the store."""

REMEMBERED_S = 600.0
"""How long it does so, in seconds.

Longer than retries take to come, and short, so that this VM forgets a record
soon after the store has deleted it.
"""

MAX_HELD = 5000
"""Most claims that this VM holds at once."""


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


class RecordMemory:
    """The claims that this VM holds, and the outcomes that it has seen."""

    __slots__ = ("_held", "_remembered")

    def __init__(self) -> None:
        """Makes it empty."""
        self._held: dict[str, Claimed] = {}
        self._remembered: collections.OrderedDict[
            str, tuple[idempotency.Record, float]
        ] = collections.OrderedDict()

    def hold(self, claimed: Claimed) -> None:
        """Takes a new claim."""
        self._held[claimed.store_key] = claimed

    def drop(self, claimed: Claimed) -> None:
        """Ends a claim."""
        self._held.pop(claimed.store_key, None)

    def remember(
        self, claimed: Claimed, outcome: idempotency.Outcome, now_s: float
    ) -> None:
        """Ends a claim and keeps its outcome for retries."""
        self.drop(claimed)
        record = idempotency.complete(claimed.record, outcome)
        self.keep(claimed.store_key, record, now_s)

    def keep(
        self, store_key: str, record: idempotency.Record, now_s: float
    ) -> None:
        """Keeps a record that has its outcome, within the bounds."""
        self._remembered[store_key] = (record, now_s + REMEMBERED_S)
        self._remembered.move_to_end(store_key)
        while len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def is_full(self, now_s: float) -> bool:
        """Tells whether no further claim may be held.

        A claim whose holder never said a word is forgotten here when others
        may call it unknown; the store has it.
        """
        for store_key, held in list(self._held.items()):
            until_s = held.may_dispatch_until_s + idempotency.UNKNOWN_S
            if now_s < until_s:
                break
            del self._held[store_key]
        return len(self._held) >= MAX_HELD

    def look_up(
        self, store_key: str, request_hash: int, now_s: float
    ) -> idempotency.Record | errors.Failure | None:
        """Finds the answer to a claim, if this VM knows it."""
        held = self._held.get(store_key)
        if held is not None:
            record, until_s = held.record, math.inf
        elif store_key in self._remembered:
            record, until_s = self._remembered[store_key]
        else:
            return None
        if now_s >= until_s:
            return None
        match idempotency.judge(record, "", request_hash, 0.0):
            case idempotency.Replay(record=known):
                return known
            case idempotency.Refuse(kind=kind):
                return errors.Failure(kind)
        return None
