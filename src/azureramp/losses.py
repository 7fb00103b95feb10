"""Summarizes poorly served requests by time span, from the logs of all VMs.

A request's line says whether it was late, short, refused or failed, and how
each call to a searcher ended. The sums per span and route show when callers
were served poorly, and which shards, searchers and VMs delayed their requests.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from azureramp import log_lines, loss_causes, refusal_room

SLOW_CALL_SHARE = 0.5
"""A call that took at least this share of the request's duration delayed it."""


class Loss(enum.Enum):
    """A way in which a request was served poorly."""

    LATE = "late"
    SHORT = "short"
    REFUSED = "refused"
    FAILED = "failed"
    LIMITED = "limited"


class Group(enum.Enum):
    """What the rows of a time span differ in; the value is the log field."""

    ROUTE = "route"
    ACCOUNT = "account"
    PRIORITY = "priority"


OUTCOME_LOSSES = {
    "short": Loss.SHORT,
    "shed": Loss.REFUSED,
    "overloaded": Loss.REFUSED,
    "quarantined": Loss.REFUSED,
    "shards_unreachable": Loss.REFUSED,
    "deadline_too_short": Loss.REFUSED,
    "no_configuration": Loss.REFUSED,
    "keys_outdated": Loss.REFUSED,
    "stale_configuration": Loss.REFUSED,
    "account_limit": Loss.LIMITED,
    "shards_missing": Loss.FAILED,
    "outcome_unknown": Loss.FAILED,
    "deadline_passed": Loss.FAILED,
    "searcher_failed": Loss.FAILED,
}
"""The outcomes in request lines that are losses regardless of the duration."""

LOSS_WEIGHTS = {
    Loss.LATE: 0.9,
    Loss.REFUSED: 0.5,
    Loss.FAILED: 1.0,
    Loss.LIMITED: 0.0,
}
"""The share of a good answer's value that each kind of loss costs. A refused
request was not run, so a retry may still succeed; one beyond its account's
limit was not owed an answer."""

DEFAULT_SHORT_SHARE = 0.5
"""The share of the shards that a short answer is assumed to cover if its line
doesn't say."""

ANSWERED_OUTCOMES = frozenset(("answered", "complete", "short"))
"""The outcomes of answered requests, whether in time or late."""


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A span of time on one route, or of one account or priority.

    Attributes:
        begins_s: The start of the span, in seconds since 1970.
        name: The name of the route or account, or the priority.
    """

    begins_s: float
    name: str


@dataclasses.dataclass(slots=True)
class SpanLosses:
    """The poorly served requests of a span.

    Attributes:
        counts: Number of requests by loss. One that is late and short counts
            twice.
        weight: Their total loss, in units of one good answer.
        causes: Number of calls to the shards that delayed them, by cause.
        room: Number of requests that were refused though there was room; see
            `refusal_room`.
        called_once: Number of times that a request was delayed by a shard and
            had called it only once.
        shards: Number of requests by the service that delayed them.
        searchers: Number of requests by the searcher that delayed them.
        vms: Number of requests by the VM that handled them.
    """

    counts: collections.Counter[Loss] = dataclasses.field(
        default_factory=collections.Counter
    )
    weight: float = 0.0
    causes: collections.Counter[loss_causes.Cause] = dataclasses.field(
        default_factory=collections.Counter
    )
    room: int = 0
    called_once: int = 0
    shards: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    searchers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    vms: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def collect(
    lines: list[log_lines.Line], span_s: float, group: Group = Group.ROUTE
) -> dict[Span, SpanLosses]:
    """Collects the losses of each span.

    Routes on which no logged request was answered are omitted: either no route
    is configured or it has no searchers, which is not poor service. Requests to
    VMs that are not advertised are omitted too: most of them are checks, which
    are sent to every VM, and hardly any come from callers.

    Args:
        lines: The log lines of all VMs, by time.
        span_s: The length of a span, in seconds.
        group: What the spans are divided by.

    Returns:
        The spans with losses, ordered by time and name.
    """
    served = find_served_routes(lines)
    call_times = loss_causes.CallTimes(lines)
    served_times = refusal_room.ServedTimes()
    for line in lines:
        answered = line.fields.get("outcome") in ANSWERED_OUTCOMES
        if answered and not _is_late(line):
            served_times.add(line)
    lost_by_span: dict[Span, SpanLosses] = {}
    for line in lines:
        losses = classify(line)
        route = str(line.fields.get("route", ""))
        if not losses or route not in served:
            continue
        if not line.fields.get("advertised", True):
            continue
        name = str(line.fields.get(group.value, ""))
        span = Span(line.at_s // span_s * span_s, name)
        lost = lost_by_span.setdefault(span, SpanLosses())
        _add(lost, line, losses, call_times)
        lost.room += served_times.had_room(line)
    order = sorted(lost_by_span, key=lambda each: (each.begins_s, each.name))
    return {span: lost_by_span[span] for span in order}


def find_served_routes(lines: list[log_lines.Line]) -> set[str]:
    """Returns the routes on which at least one request was answered."""
    return {
        str(line.fields.get("route", ""))
        for line in lines
        if line.channel == loss_causes.REQUEST_CHANNEL
        and line.fields.get("outcome") in ANSWERED_OUTCOMES
    }


def compute_weight(line: log_lines.Line, losses: list[Loss]) -> float:
    """Returns the share of the value of a good answer that a request lost.

    The value of a short answer is the square of the share of the shards that
    it covers.
    """
    value = 1.0
    for loss in losses:
        if loss is Loss.SHORT:
            shards = float(line.fields.get("shards", 0))
            missing = float(line.fields.get("missing", 0))
            share = (
                (shards - missing) / shards if shards else DEFAULT_SHORT_SHARE
            )
            value *= share**2
        else:
            value *= 1.0 - LOSS_WEIGHTS[loss]
    return 1.0 - value


def _add(
    lost: SpanLosses,
    line: log_lines.Line,
    losses: list[Loss],
    call_times: loss_causes.CallTimes,
) -> None:
    """Adds a poorly served request."""
    lost.counts.update(losses)
    lost.weight += compute_weight(line, losses)
    lost.vms[line.vm] += 1
    for service, calls in find_services_causing_losses(line).items():
        lost.shards[service] += 1
        lost.called_once += len(calls) == 1 and bool(calls[0].searcher)
        lost.searchers.update({call.searcher for call in calls} - {""})
        lost.causes.update(
            loss_causes.classify_call(call, line.at_s, call_times)
            for call in calls
        )


def classify(line: log_lines.Line) -> list[Loss]:
    """Returns how a line's request was served poorly; empty if it wasn't."""
    if line.channel != loss_causes.REQUEST_CHANNEL:
        return []
    outcome = str(line.fields.get("outcome", ""))
    losses = [OUTCOME_LOSSES[outcome]] if outcome in OUTCOME_LOSSES else []
    if outcome in ANSWERED_OUTCOMES and _is_late(line):
        losses.append(Loss.LATE)
    return losses


def find_services_causing_losses(
    line: log_lines.Line,
) -> dict[str, list[log_lines.Call]]:
    """Returns the services that delayed a request, with their calls.

    A service with a call that succeeded quickly is omitted, even if an earlier
    call to it failed: that failure didn't delay the request.
    """
    took_ms = float(line.fields.get("took_ms", 0.0))
    by_service: dict[str, list[log_lines.Call]] = collections.defaultdict(list)
    for call in log_lines.parse_calls(line):
        by_service[call.service].append(call)
    return {
        service: calls
        for service, calls in by_service.items()
        if not any(_succeeded_quickly(call, took_ms) for call in calls)
    }


def _succeeded_quickly(call: log_lines.Call, took_ms: float) -> bool:
    """Returns True if a call succeeded without delaying its request."""
    if call.outcome != "200" or call.ended_ms is None:
        return False
    return call.ended_ms < SLOW_CALL_SHARE * took_ms


def _is_late(line: log_lines.Line) -> bool:
    """Returns True if an answer was later than its route's latency target.

    The target applies to the time that the caller sees, so the network delay
    (`way_ms`) is added to the VM's own time.
    """
    target_ms = line.fields.get("target_ms")
    took_ms = line.fields.get("took_ms")
    if target_ms is None or took_ms is None:
        return False
    way_ms = float(line.fields.get("way_ms", 0.0))
    return float(took_ms) + way_ms > float(target_ms)
