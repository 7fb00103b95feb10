"""What requests lost in each span of time, from the log lines of all VMs.

A request's line says whether it was late, short, refused or failed, and how
each call to a searcher ended. Summed over a span and a route this shows at
which moments users were served badly, and which shards, searchers and VMs held
their requests up.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from azureramp import log_lines

REQUEST_CHANNEL = "azureramp.request"

SLOW_SHARE = 0.5
"""A call that lasted this part of the request's own time held it up."""


class Loss(enum.Enum):
    """How a request was served badly."""

    LATE = "late"
    SHORT = "short"
    REFUSED = "refused"
    FAILED = "failed"


LOSSES = {
    "short": Loss.SHORT,
    "shed": Loss.REFUSED,
    "overloaded": Loss.REFUSED,
    "quarantined": Loss.REFUSED,
    "shards_unreachable": Loss.REFUSED,
    "deadline_too_short": Loss.REFUSED,
    "no_configuration": Loss.REFUSED,
    "shards_missing": Loss.FAILED,
    "outcome_unknown": Loss.FAILED,
    "deadline_passed": Loss.FAILED,
    "searcher_failed": Loss.FAILED,
}
"""The outcomes in request lines that are losses whatever time they took."""

ANSWERED = frozenset(("answered", "complete", "short"))
"""The outcomes of requests that were answered, in time or late."""


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A span of time and a route.

    Attributes:
        begins_s: When it begins, in seconds since 1970.
        route: The route's name.
    """

    begins_s: float
    route: str


@dataclasses.dataclass(slots=True)
class Lost:
    """What the requests of a span lost.

    Attributes:
        counts: The requests by loss. One that is late and short counts twice.
        shards: How many of these requests each service held up.
        searchers: How many each searcher held up.
        vms: How many each VM took.
    """

    counts: collections.Counter[Loss] = dataclasses.field(
        default_factory=collections.Counter
    )
    shards: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    searchers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    vms: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def collect(lines: list[log_lines.Line], span_s: float) -> dict[Span, Lost]:
    """Collects the losses of each span.

    Args:
        lines: The log lines of all VMs, by time.
        span_s: The length of a span, in seconds.

    Returns:
        The spans with any loss, in the order of time and route.
    """
    found: dict[Span, Lost] = {}
    for line in lines:
        losses = judge(line)
        if not losses:
            continue
        begins_s = line.at_s // span_s * span_s
        span = Span(begins_s, str(line.fields.get("route", "")))
        lost = found.setdefault(span, Lost())
        lost.counts.update(losses)
        lost.vms[line.vm] += 1
        shards, searchers = find_culprits(line)
        lost.shards.update(shards)
        lost.searchers.update(searchers)
    order = sorted(found, key=lambda each: (each.begins_s, each.route))
    return {span: found[span] for span in order}


def judge(line: log_lines.Line) -> list[Loss]:
    """Returns how the request of a line was served badly."""
    if line.channel != REQUEST_CHANNEL:
        return []
    outcome = str(line.fields.get("outcome", ""))
    losses = [LOSSES[outcome]] if outcome in LOSSES else []
    if outcome in ANSWERED and _is_late(line):
        losses.append(Loss.LATE)
    return losses


def find_culprits(line: log_lines.Line) -> tuple[set[str], set[str]]:
    """Returns the services and searchers that held up a request.

    Of a service whose call succeeded soon nothing is told, also where an
    earlier call to it failed: that cost the request nothing.
    """
    took_ms = float(line.fields.get("took_ms", 0.0))
    by_service: dict[str, list[log_lines.Call]] = collections.defaultdict(list)
    for call in log_lines.parse_calls(line):
        by_service[call.service].append(call)
    shards: set[str] = set()
    searchers: set[str] = set()
    for service, calls in by_service.items():
        if any(_helped(call, took_ms) for call in calls):
            continue
        shards.add(service)
        searchers.update(call.searcher for call in calls if call.searcher)
    return shards, searchers


def _helped(call: log_lines.Call, took_ms: float) -> bool:
    """Tells whether a call succeeded without holding its request up."""
    if call.end != "200" or call.ended_ms is None:
        return False
    return call.ended_ms < SLOW_SHARE * took_ms


def _is_late(line: log_lines.Line) -> bool:
    """Tells whether an answer took longer than its route's target."""
    target_ms = line.fields.get("target_ms")
    took_ms = line.fields.get("took_ms")
    if target_ms is None or took_ms is None:
        return False
    return float(took_ms) > float(target_ms)
