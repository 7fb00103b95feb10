"""Explains from the log lines of all VMs why a request failed.

A request's own line lists the searchers that were called and how each call
ended. The VM's other state, and how other requests' calls to these searchers
ended, are in other lines; this module combines them.
"""

from __future__ import annotations

import collections
import dataclasses

from azureramp import account_causes, log_lines

OBSERVATION_WINDOW_S = 1.0
"""Maximum time between the lines of two requests that are considered affected
by the same problem, in seconds. A searcher's pause takes about a tenth of this,
a fault a few seconds."""

CRASH_WINDOW_S = 3.0
"""Maximum time between a request's line and the line of a related crash, in
seconds; a crash may be detected only some time after the request."""

VM_STATE_CHANNELS = frozenset(
    (
        "azureramp.applying",
        "azureramp.contact",
        "azureramp.feed",
        "azureramp.program",
        "azureramp.leaving",
    )
)
"""Log channels that describe a VM's state, apart from individual searchers."""


@dataclasses.dataclass(slots=True)
class CallObservations:
    """Unsuccessful calls of other requests to a searcher at about that time.

    Attributes:
        ends: The number of calls by outcome.
        vms: The VMs that sent these calls.
    """

    ends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    vms: set[str] = dataclasses.field(default_factory=set)


DEPARTURES = (
    ("is draining", "draining"),
    ("is gone", "gone"),
    ("is missing in the store", "missing in the store"),
)
"""Phrases in a line about a searcher that left or may have, with its state."""


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """A called searcher that a VM knew to have left, before the request ended.

    Attributes:
        searcher: The searcher.
        state: `draining`, `gone` or `missing in the store`.
        vm: The VM that logged it first.
        before_s: How long before the request's line, in seconds.
        revision: The revision that this VM had received; 0 if not logged.
    """

    searcher: str
    state: str
    vm: str
    before_s: float
    revision: int


@dataclasses.dataclass(slots=True)
class Explanation:
    """What the logs contain about one request.

    Attributes:
        request: The request's own line.
        calls: The calls in the request's line.
        vm_state_lines: The VM's last line in each channel of
            `VM_STATE_CHANNELS` before the request.
        searcher_lines: The VM's last line about each called searcher.
        observations: Unsuccessful calls of other requests to each called
            searcher.
        crash_lines: Lines about crashes of the called searchers.
        departures: The called searchers that some VM knew to have left.
        in_force: The configuration in force on the VM; None if the logs don't
            say.
        cause: The cause in one sentence.
        missing_lines: Descriptions of missing log lines.
    """

    request: log_lines.Line
    calls: list[log_lines.Call]
    vm_state_lines: list[log_lines.Line]
    searcher_lines: list[log_lines.Line]
    observations: dict[str, CallObservations]
    crash_lines: list[log_lines.Line]
    departures: list[Departure]
    in_force: account_causes.InForce | None = None
    cause: str = ""
    missing_lines: list[str] = dataclasses.field(default_factory=list)


def explain(lines: list[log_lines.Line], request: str) -> Explanation | None:
    """Explains a request.

    Args:
        lines: The log lines of all VMs, by time.
        request: The request's id.

    Returns:
        The explanation; None if there is no line of the request.
    """
    request_line = next(
        (each for each in lines if each.fields.get("request") == request), None
    )
    if request_line is None:
        return None
    calls = log_lines.parse_calls(request_line)
    searchers = {call.searcher for call in calls if call.searcher}
    searchers.update(request_line.fields.get("searchers", ()))
    in_force = account_causes.list_in_force(lines, request_line.at_s)
    explanation = Explanation(
        request_line,
        calls,
        _find_vm_lines(lines, request_line),
        _find_searcher_lines(lines, request_line, searchers),
        _collect_observations(lines, request_line, searchers),
        _find_crashes(lines, request_line, searchers),
        _find_departures(lines, request_line, searchers),
        in_force.get(request_line.vm),
    )
    if request_line.fields.get("outcome") in account_causes.OUTCOMES:
        explanation.cause = account_causes.summarize(
            lines, request_line, in_force
        )
    else:
        explanation.cause = summarize_cause(explanation)
    explanation.missing_lines = _find_gaps(lines, request_line)
    return explanation


def summarize_cause(explanation: Explanation) -> str:
    """Describes in one sentence why a request ended as it did."""
    fields = explanation.request.fields
    outcome, detail = fields.get("outcome", ""), str(fields.get("detail", ""))
    match outcome:
        case "answered" | "complete":
            return "the request succeeded"
        case "short" | "shards_missing":
            return "; ".join(_describe_missing_shards(explanation)) or detail
        case "overloaded" | "shed" if not (
            explanation.calls or "no searcher" in detail
        ):
            return f"not admitted: {detail}"
        case "shed":
            names = {call.searcher for call in explanation.calls}
            descriptions = [
                _describe_searcher(name, explanation) for name in sorted(names)
            ]
            return "searchers rejected it without running it: " + "; ".join(
                descriptions
            )
        case "overloaded" | "shards_unreachable":
            return (
                "no searcher was usable: each was draining, gone, in an"
                f" evacuated zone or had just failed ({detail})"
            )
        case "outcome_unknown" if explanation.crash_lines:
            return "the searcher crashed while it ran"
        case "outcome_unknown":
            return "the answer was lost: nothing shows a crash of the searcher"
        case "deadline_passed":
            descriptions = [
                _describe_searcher(call.searcher, explanation)
                for call in explanation.calls
                if call.outcome == "no answer yet"
            ]
            return "no answer in time: " + "; ".join(descriptions)
        case "caller_gone":
            return f"the caller left after {fields.get('took_ms')} ms"
        case "no_configuration":
            return "the VM had just started and had no configuration yet"
        case "quarantined":
            return "earlier requests with its fingerprint crashed searchers"
        case _:
            return detail or outcome


def _describe_missing_shards(explanation: Explanation) -> list[str]:
    """Returns a description of each missing shard."""
    by_service: dict[str, list[log_lines.Call]] = {}
    for call in explanation.calls:
        by_service.setdefault(call.service, []).append(call)
    shards: list[str] = []
    for service, calls in by_service.items():
        if any(call.outcome == "200" for call in calls):
            continue
        descriptions = [
            _describe_searcher(call.searcher, explanation)
            if call.searcher
            else call.outcome
            for call in calls
        ]
        if len(calls) == 1 and calls[0].searcher:
            descriptions.append("no retry or hedged request was allowed")
        shards.append(f"{service}: {', '.join(descriptions)}")
    return shards


def _describe_searcher(searcher: str, explanation: Explanation) -> str:
    """Describes what the logs show about a searcher around the request."""
    for entry in explanation.request.fields.get("not_ready", ()):
        name, _, state = str(entry).partition(" ")
        if name == searcher:
            return f"{searcher} was {state}"
    if any(searcher in line.message for line in explanation.crash_lines):
        return f"{searcher} crashed"
    observed = explanation.observations.get(searcher, CallObservations())
    total = sum(observed.ends.values())
    if not total:
        ends = [
            call.outcome
            for call in explanation.calls
            if call.searcher == searcher
        ]
        return f"{searcher} {', '.join(ends)} (seen by this request only)"
    end, count = observed.ends.most_common(1)[0]
    return (
        f"{searcher} mostly '{end}' ({count} of {total} unsuccessful calls at"
        f" about that time, seen by {len(observed.vms)} VMs)"
    )


def _find_vm_lines(
    lines: list[log_lines.Line], request_line: log_lines.Line
) -> list[log_lines.Line]:
    """Returns the VM's last line in each state channel before a request."""
    last: dict[str, log_lines.Line] = {}
    for line in lines:
        if line.at_s > request_line.at_s:
            break
        if line.vm == request_line.vm and line.channel in VM_STATE_CHANNELS:
            last[line.channel] = line
    return sorted(last.values(), key=lambda each: each.at_s)


def _find_searcher_lines(
    lines: list[log_lines.Line],
    request_line: log_lines.Line,
    searchers: set[str],
) -> list[log_lines.Line]:
    """Returns the VM's last line about each searcher before a request."""
    last: dict[str, log_lines.Line] = {}
    for line in lines:
        if line.at_s > request_line.at_s:
            break
        if line.vm == request_line.vm and line.channel == "azureramp.searchers":
            name = line.message.split(" ")[1]
            if name in searchers:
                last[name] = line
    return list(last.values())


def _collect_observations(
    lines: list[log_lines.Line],
    request_line: log_lines.Line,
    searchers: set[str],
) -> dict[str, CallObservations]:
    """Collects other requests' unsuccessful calls around a request."""
    observations: dict[str, CallObservations] = {}
    for line in lines:
        if (
            abs(line.at_s - request_line.at_s) > OBSERVATION_WINDOW_S
            or line is request_line
        ):
            continue
        for call in log_lines.parse_calls(line):
            if call.searcher in searchers and call.outcome != "200":
                observed = observations.setdefault(
                    call.searcher, CallObservations()
                )
                observed.ends[call.outcome] += 1
                observed.vms.add(line.vm)
    return observations


def _find_crashes(
    lines: list[log_lines.Line],
    request_line: log_lines.Line,
    searchers: set[str],
) -> list[log_lines.Line]:
    """Returns the lines about crashes of searchers around a request."""
    return [
        line
        for line in lines
        if line.channel == "azureramp.crashes"
        and -CRASH_WINDOW_S <= line.at_s - request_line.at_s <= CRASH_WINDOW_S
        and any(name in line.message for name in searchers)
    ]


def _find_departures(
    lines: list[log_lines.Line],
    request_line: log_lines.Line,
    searchers: set[str],
) -> list[Departure]:
    """Returns which searchers any VM knew to have left before a request.

    A line that says that a searcher is ready cancels the earlier ones.
    """
    known: dict[str, Departure] = {}
    for line in lines:
        if line.at_s > request_line.at_s:
            break
        if line.channel != "azureramp.searchers":
            continue
        name = line.message.split(" ")[1]
        if name not in searchers:
            continue
        if line.message.endswith(" is ready"):
            known.pop(name, None)
        for phrase, state in DEPARTURES:
            if phrase in line.message and name not in known:
                known[name] = Departure(
                    name,
                    state,
                    line.vm,
                    request_line.at_s - line.at_s,
                    line.fields.get("revision", 0),
                )
    return list(known.values())


def _find_gaps(
    lines: list[log_lines.Line], request_line: log_lines.Line
) -> list[str]:
    """Returns descriptions of lines that are missing for the explanation."""
    gaps: list[str] = []
    calls = request_line.fields.get("calls", ())
    if calls and str(calls[-1]).startswith("and "):
        gaps.append(f"the request's line omits calls: {calls[-1]}")
    if not any(
        line.vm == request_line.vm and line.at_s < request_line.at_s
        for line in lines
    ):
        gaps.append(
            f"no earlier line of {request_line.vm}: its logs start later"
        )
    return gaps
