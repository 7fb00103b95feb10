"""Computes exactly how much of the index an answer covers.

Coverage is the share of documents in the covered key ranges, computed with
integers. Counting replies would count a shard twice if it was repartitioned or
answered by two replicas, and floats would round an incomplete answer up to 1.
"""

from __future__ import annotations

import fractions
import math
from collections.abc import Collection

import msgspec

from azureramp import messages, resources, responses


class ResultLedger:
    """The merged results of one pinned version, at most one for each shard.

    Attributes:
        shard_map: The pinned version's shard map.
    """

    __slots__ = ("_held", "_total", "shard_map")

    def __init__(self, shard_map: resources.ShardMap) -> None:
        """Creates an empty ledger."""
        self.shard_map = shard_map
        self._held: dict[str, bytes] = {}
        self._total = sum(shard.size for shard in shard_map.shards)

    def has_result(self, shard: resources.Shard) -> bool:
        """Returns True if the ledger has the shard's result."""
        return shard.name in self._held

    def add(
        self, shard: resources.Shard, done: messages.PartDone, items: bytes
    ) -> bool:
        """Adds a result if it is of the requested version and range.

        The searcher states the version and the range that it answered from.
        These differ if it was repartitioned or reloaded during the call; its
        items would then mix two snapshots or count keys twice.

        Args:
            shard: The shard of the sub-request.
            done: The result.
            items: The result's items: a validated JSON array without its
                brackets.

        Returns:
            False if the result was not added, because its version or range
            differs or the ledger already has a result of the shard.
        """
        if self.has_result(shard) or not self.matches(shard, done):
            return False
        self._held[shard.name] = items
        return True

    def matches(self, shard: resources.Shard, done: messages.PartDone) -> bool:
        """Returns True if a result is of the pinned version and range."""
        return (done.version, done.low, done.high) == (
            self.shard_map.version,
            shard.low,
            shard.high,
        )

    def is_complete(self) -> bool:
        """Returns True if the ledger has the result of every shard."""
        return len(self._held) == len(self.shard_map.shards)

    def get_coverage(self) -> float:
        """Returns the share of documents covered; see `round_down`."""
        return round_down(self.get_exact_coverage(), self.is_complete())

    def get_exact_coverage(self) -> fractions.Fraction:
        """Returns the exact share of documents covered."""
        return self._measure(self._held)

    def get_reachable_coverage(
        self, lost: Collection[str]
    ) -> fractions.Fraction:
        """Returns the share that is covered if all other shards answer.

        Args:
            lost: The names of the shards that will get no result.
        """
        names = {s.name for s in self.shard_map.shards if s.name not in lost}
        return self._measure(names)

    def get_missing(self) -> tuple[responses.KeyRange, ...]:
        """Returns the missing ranges, ascending, adjacent ranges joined."""
        missing: list[responses.KeyRange] = []
        for shard in self.shard_map.shards:
            if shard.name in self._held:
                continue
            if missing and missing[-1].high == shard.low:
                joined = responses.KeyRange(missing[-1].low, shard.high)
                missing[-1] = joined
            else:
                missing.append(responses.KeyRange(shard.low, shard.high))
        return tuple(missing)

    def get_items(self, shard: resources.Shard) -> bytes:
        """Returns the items of a shard with a result, as a JSON array."""
        return b"[" + self._held[shard.name] + b"]"

    def merge(self) -> bytes:
        """Returns all items as one JSON array, in the order of the shards."""
        shard_items = [
            self._held[shard.name]
            for shard in self.shard_map.shards
            if self._held.get(shard.name)
        ]
        return b"[" + b",".join(shard_items) + b"]"

    def _measure(self, names: Collection[str]) -> fractions.Fraction:
        """Returns the share of the documents that the named shards contain."""
        if self._total == 0:
            return fractions.Fraction(
                len(names), max(1, len(self.shard_map.shards))
            )
        size = sum(s.size for s in self.shard_map.shards if s.name in names)
        return fractions.Fraction(size, self._total)


def round_down(share: fractions.Fraction, complete: bool) -> float:
    """Converts a share to a float, rounded down.

    Args:
        share: The exact share, 0 to 1.
        complete: True if no shard is missing; otherwise the result is less
            than 1, even if the missing shards contain no documents.
    """
    if complete:
        return 1.0
    rounded = float(share)
    if fractions.Fraction(rounded) > share or rounded >= 1.0:
        rounded = math.nextafter(rounded, 0.0)
    return rounded


_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def read_items(data: bytes) -> bytes | None:
    """Validates that a result's items are one complete JSON array.

    A reply that was truncated in transit is not valid JSON.

    Args:
        data: The items.

    Returns:
        The content between the brackets; None if the data is invalid.
    """
    try:
        items = _items_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return b",".join(bytes(item) for item in items)
