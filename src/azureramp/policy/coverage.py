"""Exactly how much of the index an answer covers.

Coverage is counted by key range, weighted by the documents in it, in whole
numbers: a count of replies would count a shard twice when it was repartitioned
or answered by two replicas, and a float would round a short answer up to 1.
"""

from __future__ import annotations

import fractions
import math
from collections.abc import Collection

import msgspec

from azureramp import messages, resources, responses


class Ledger:
    """The results held of one pinned version, at most one for each shard.

    Attributes:
        shard_map: The pinned version's shard map.
    """

    __slots__ = ("_held", "_total", "shard_map")

    def __init__(self, shard_map: resources.ShardMap) -> None:
        """Makes a ledger that holds nothing."""
        self.shard_map = shard_map
        self._held: dict[str, bytes] = {}
        self._total = sum(shard.size for shard in shard_map.shards)

    def is_held(self, shard: resources.Shard) -> bool:
        """Tells whether a shard's result is held."""
        return shard.name in self._held

    def hold(
        self, shard: resources.Shard, done: messages.PartDone, items: bytes
    ) -> bool:
        """Takes a result in, if it is what the shard was asked for.

        The searcher states the version and the range that it answered from.
        One that was repartitioned or reloaded under the call states others,
        and its items would mix two snapshots or count keys twice.

        Args:
            shard: The shard of the sub-request.
            done: The result.
            items: The result's items, checked to be a whole JSON array, with
                its brackets taken off.

        Returns:
            False if it is not merged, since it differs or one is held.
        """
        if self.is_held(shard) or not self.is_match(shard, done):
            return False
        self._held[shard.name] = items
        return True

    def is_match(self, shard: resources.Shard, done: messages.PartDone) -> bool:
        """Tells whether a result is of the pinned version and range."""
        return (done.version, done.low, done.high) == (
            self.shard_map.version,
            shard.low,
            shard.high,
        )

    def is_complete(self) -> bool:
        """Tells whether every shard's result is held."""
        return len(self._held) == len(self.shard_map.shards)

    def get_coverage(self) -> float:
        """Returns the share of the documents held, see `round_down`."""
        return round_down(self.get_share(), self.is_complete())

    def get_share(self) -> fractions.Fraction:
        """Returns the exact share of the documents held."""
        return self._measure(self._held)

    def get_reachable(self, lost: Collection[str]) -> fractions.Fraction:
        """Returns the share that can still be held.

        Args:
            lost: The names of the shards that will get no result.
        """
        names = {s.name for s in self.shard_map.shards if s.name not in lost}
        return self._measure(names)

    def get_missing(self) -> tuple[responses.KeyRange, ...]:
        """Returns the ranges not held, ascending, neighbours joined."""
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
        """Returns one held shard's items, a JSON array."""
        return b"[" + self._held[shard.name] + b"]"

    def merge(self) -> bytes:
        """Returns the held items as one JSON array, ascending by shard."""
        pieces = [
            self._held[shard.name]
            for shard in self.shard_map.shards
            if self._held.get(shard.name)
        ]
        return b"[" + b",".join(pieces) + b"]"

    def _measure(self, names: Collection[str]) -> fractions.Fraction:
        """Returns the share of the documents in some shards."""
        if self._total == 0:
            return fractions.Fraction(
                len(names), max(1, len(self.shard_map.shards))
            )
        size = sum(s.size for s in self.shard_map.shards if s.name in names)
        return fractions.Fraction(size, self._total)


def round_down(share: fractions.Fraction, complete: bool) -> float:
    """Turns a share into a float that is never more than it.

    Args:
        share: The exact share, 0 to 1.
        complete: True if nothing is missing; else the float is less than 1,
            also where what is missing holds no document.
    """
    if complete:
        return 1.0
    rounded = float(share)
    if fractions.Fraction(rounded) > share or rounded >= 1.0:
        rounded = math.nextafter(rounded, 0.0)
    return rounded


_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def read_items(data: bytes) -> bytes | None:
    """Checks that a result's items are one whole JSON array.

    A reply that was cut short on its way is not valid JSON any more.

    Args:
        data: The items.

    Returns:
        What is between the brackets, or None.
    """
    try:
        pieces = _items_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return b",".join(bytes(piece) for piece in pieces)
