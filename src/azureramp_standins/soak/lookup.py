"""A run's history with what the checks look up in it."""

from __future__ import annotations

import collections
import dataclasses

from azureramp_standins.soak import history

CALM_S = 4.0
"""Promises with a time bound hold for VMs that have been undisturbed for this
long, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """A promise that was broken.

    Attributes:
        promise: Which.
        at_s: When.
        detail: What was seen.
    """

    promise: str
    at_s: float
    detail: str


class Seen:
    """A history with what the checks look up in it.

    Attributes:
        history: The history.
        by_id: The arrivals of each request.
        by_service: The arrivals at each service, in order.
        tries: The tries by id.
    """

    __slots__ = ("by_id", "by_service", "history", "tries")

    def __init__(self, seen: history.History) -> None:
        """Sorts a history."""
        self.history = seen
        self.tries = {each.id: each for each in seen.tries}
        self.by_id: dict[str, list[history.Arrival]] = collections.defaultdict(
            list
        )
        self.by_service: dict[str, list[history.Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in sorted(seen.arrivals, key=lambda each: each.at_s):
            self.by_id[arrival.id].append(arrival)
            self.by_service[arrival.service].append(arrival)

    def is_calm(self, vm: str, from_s: float, to_s: float) -> bool:
        """Tells whether a VM and the store were undisturbed for a span.

        Args:
            vm: The VM's name.
            from_s: The span's beginning; faults up to `CALM_S` before count.
            to_s: Its end.
        """
        link = vm.replace("vm-", "store-")
        return not any(
            span.began_s <= to_s
            and span.ended_s >= from_s - CALM_S
            and span.how != "reload"
            and (span.kind == "store" or span.name in (vm, link))
            for span in self.history.spans
        )
