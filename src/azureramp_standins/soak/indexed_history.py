"""A run's history, indexed for the checks."""

from __future__ import annotations

import collections
import dataclasses
import math

from azureramp_standins.soak import history

UNDISTURBED_S = 4.0
"""Guarantees with a time bound apply to VMs that have been free of faults for
this long, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A violation of one of the tier's guarantees.

    Attributes:
        guarantee: The name of the guarantee.
        at_s: When it was violated, on the loop's clock.
        detail: What was observed.
    """

    guarantee: str
    at_s: float
    detail: str


class IndexedHistory:
    """A history with indexes over its arrivals and requests.

    Attributes:
        history: The history.
        arrivals_by_id: The arrivals of each request, by time.
        arrivals_by_service: The arrivals at each service, by time.
        requests_by_id: The callers' requests by id.
    """

    __slots__ = (
        "arrivals_by_id",
        "arrivals_by_service",
        "history",
        "requests_by_id",
    )

    def __init__(self, run_history: history.History) -> None:
        """Builds the indexes of a history."""
        self.history = run_history
        self.requests_by_id = {each.id: each for each in run_history.requests}
        self.arrivals_by_id: dict[str, list[history.Arrival]] = (
            collections.defaultdict(list)
        )
        self.arrivals_by_service: dict[str, list[history.Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in sorted(run_history.arrivals, key=lambda each: each.at_s):
            self.arrivals_by_id[arrival.id].append(arrival)
            self.arrivals_by_service[arrival.service].append(arrival)

    def get_account(self, request: history.CallerRequest) -> str:
        """Returns the account that holds a request's key; empty if none."""
        span = self.history.keys.get(request.key)
        return "" if span is None else span.account

    def has_valid_key(self, request: history.CallerRequest) -> bool:
        """Returns True if a request's key was valid, or not needed."""
        if not self.history.keys or request.is_public():
            return True
        span = self.history.keys.get(request.key)
        return span is not None and request.ended_s < span.until_s

    def may_be_refused(self, request: history.CallerRequest) -> bool:
        """Returns True if a request's key need not be in force everywhere.

        This holds for keys that were never valid, were revoked before the
        answer, or were added during the run.
        """
        if not self.has_valid_key(request):
            return True
        span = self.history.keys.get(request.key)
        return span is not None and span.from_s > -math.inf

    def is_undisturbed(self, vm: str, from_s: float, to_s: float) -> bool:
        """Returns True if no fault hit a VM or the store in a span of time.

        VMs receive the store's changes from each other, so a fault of a link
        between daemons disturbs all of them.

        Args:
            vm: The VM's name.
            from_s: The start of the span. Faults that ended less than
                `UNDISTURBED_S` earlier count too; reloads never count.
            to_s: The end of the span.
        """
        link = vm.replace("vm-", "store-")
        return not any(
            span.began_s <= to_s
            and span.ended_s >= from_s - UNDISTURBED_S
            and span.how != "reload"
            and (
                span.kind == "store"
                or span.name in (vm, link)
                or span.name.startswith("peer-")
            )
            for span in self.history.fault_spans
        )
