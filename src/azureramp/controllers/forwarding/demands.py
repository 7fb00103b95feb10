"""A request that asks for admission, and what its calls then met."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from azureramp import catalog
from azureramp.controllers.forwarding import fan_out, part
from azureramp.policy import congestion
from azureramp.ports.forwarding import api


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request that asks for admission.

    Attributes:
        route: Its route.
        services: The services that it needs one searcher of each.
        account: The name of its client account; empty if it has none.
        priority: Its priority; 0 is the highest.
        answer_by_s: When its answer must be sent, on the loop's clock.
        began_s: When it arrived, on the loop's clock.
        waited_s: How long its caller had waited before, in seconds.
        usual_s: The usual duration of the route's calls, in seconds; 0 if it
            has not been measured.
    """

    route: catalog.Route
    services: tuple[str, ...]
    account: str
    priority: int
    answer_by_s: float
    began_s: float
    waited_s: float
    usual_s: float

    def count_needed(self) -> int:
        """Returns how many of the services must answer."""
        match self.route.destination:
            case catalog.FanoutDestination() as destination:
                return fan_out.compute_min_shards(destination)
            case catalog.SplitDestination():
                return 1


def measure_outcome(
    demand: Demand, parts: Sequence[part.Part], now_s: float
) -> congestion.Outcome:
    """Summarizes what a request's calls met.

    Args:
        demand: The request.
        parts: Its parts.
        now_s: The current time.
    """
    full = queued = slow = 0
    for each in parts:
        match each.reply:
            case None:
                full += bool(each.rejections)
            case api.Reply(load=api.Load(waiting=waiting, slots=slots)):
                queued += congestion.is_queued(waiting, slots)
        slow += congestion.is_slow(
            each.get_waited_s(now_s),
            demand.usual_s,
            demand.route.target_latency_s,
        )
    needed = min(len(parts), demand.count_needed())
    return congestion.Outcome(len(parts), needed, full, queued, slow)
