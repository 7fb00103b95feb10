"""The state of one searcher that this VM owns."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import messages
from azureramp.controllers import directory
from azureramp.policy import queues, ramps
from azureramp.ports.searchers import api as searchers_api


@dataclasses.dataclass(slots=True, eq=False)
class Part:
    """One sub-request on its way through an owner.

    Attributes:
        coordinator: The VM that asked.
        batch: The batch that it came in.
        request: The sub-request.
        deadline_s: The request's deadline, on this VM's clock.
        sent: True once its first byte may have been written.
        task: The task that runs it; None while it waits.
    """

    coordinator: str
    batch: messages.QueryBatch
    request: messages.PartRequest
    deadline_s: float
    sent: bool = False
    task: asyncio.Task[None] | None = None

    def get_key(self) -> tuple[str, int]:
        """Returns what names it in the deployment."""
        return (self.batch.request_id, self.request.part)


class OwnedSearcher:
    """One searcher that this VM owns.

    Attributes:
        place: The searcher, its server and zone.
        ramp: How much it may get at once.
        queue: What waits for it.
        running: What runs on it, by key.
        health: Its last report; None before the first.
        reachable: False while it is down.
        held: Slots that the former owner still uses.
        held_until_s: Until when at most the former owner can use them.
    """

    __slots__ = (
        "health",
        "held",
        "held_until_s",
        "place",
        "queue",
        "ramp",
        "reachable",
        "running",
    )

    def __init__(self, place: directory.Place) -> None:
        """Makes the state of a searcher of which nothing is known."""
        searcher = place.searcher
        self.place = place
        self.ramp = ramps.Ramp(searcher.slots, searcher.cold_limit)
        self.queue: queues.Queue[Part] = queues.Queue()
        self.running: dict[tuple[str, int], Part] = {}
        self.health: searchers_api.Health | None = None
        self.reachable = False
        self.held = 0
        self.held_until_s = 0.0

    def is_cold(self) -> bool:
        """Tells whether it is in cold start."""
        return self.ramp.state is ramps.State.COLD

    def count_in_use(self, now_s: float) -> int:
        """Returns how many slots are in use, the former owner's included."""
        held = self.held if now_s < self.held_until_s else 0
        return len(self.running) + held

    def has_room(self, part: Part, now_s: float) -> bool:
        """Tells whether a sub-request may start now."""
        if part.batch.isolated:
            return self.count_in_use(now_s) == 0
        if any(running.batch.isolated for running in self.running.values()):
            return False
        return self.count_in_use(now_s) < self.ramp.limit

    def make_state(self) -> messages.SearcherState:
        """Makes what the other VMs are told of it."""
        health = self.health
        return messages.SearcherState(
            searcher=self.place.searcher.name,
            incarnation=health.incarnation if health else 0,
            usable=self.reachable and self.place.refusal is None,
            limit=self.ramp.limit,
            queued=len(self.queue),
            service_ms=self.ramp.get_usual_ms(),
            versions=health.versions if health else (),
        )
