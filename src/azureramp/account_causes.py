"""Explains from the log lines why the requests of client accounts were refused.

What a VM decided on is the configuration that was in force on it and the
state of its account limits; both are in lines other than the request's own.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterable

from azureramp import log_lines

CONFIGURATION_CHANNEL = "azureramp.applying"
LIMIT_CHANNEL = "azureramp.account_limits"

OUTCOMES = frozenset(
    (
        "unauthenticated",
        "keys_outdated",
        "account_limit",
        "stale_configuration",
    )
)
"""The outcomes that follow from the caller's key or account."""

_IN_FORCE = re.compile(r"configuration (\d+) is in force")
_REACHED = re.compile(r"account (.+) reached its limit: (.*)")
_WITHIN = re.compile(r"account (.+) is within its limit again.*?: (.*)")


@dataclasses.dataclass(slots=True, frozen=True)
class InForce:
    """A configuration that came into force on a VM.

    Attributes:
        version: Its version.
        vm: The VM.
        since_s: When it came into force, in seconds since 1970.
    """

    version: int
    vm: str
    since_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class LimitChange:
    """An account that reached its limit on a VM, or is within it again.

    Attributes:
        account: The account's name.
        reached: True if it reached its limit.
        inputs: What decided, and its age.
        line: The log line.
    """

    account: str
    reached: bool
    inputs: str
    line: log_lines.Line


def parse_limit_change(line: log_lines.Line) -> LimitChange | None:
    """Parses a line about an account's limit; None for other lines."""
    if line.channel != LIMIT_CHANNEL:
        return None
    for pattern, reached in ((_REACHED, True), (_WITHIN, False)):
        if found := pattern.fullmatch(line.message):
            return LimitChange(found[1], reached, found[2], line)
    return None


def list_in_force(
    lines: Iterable[log_lines.Line], at_s: float
) -> dict[str, InForce]:
    """Returns the configuration in force on each VM at a time.

    Args:
        lines: The log lines of all VMs, by time.
        at_s: The time, in seconds since 1970.
    """
    in_force: dict[str, InForce] = {}
    for line in lines:
        if line.at_s > at_s:
            break
        if line.channel != CONFIGURATION_CHANNEL:
            continue
        if found := _IN_FORCE.fullmatch(line.message):
            in_force[line.vm] = InForce(int(found[1]), line.vm, line.at_s)
    return in_force


def summarize(
    lines: list[log_lines.Line],
    request: log_lines.Line,
    in_force: dict[str, InForce],
) -> str:
    """Describes in one sentence why a request was refused.

    Args:
        lines: The log lines of all VMs, by time.
        request: The request's line, with an outcome of `OUTCOMES`.
        in_force: The configuration in force on each VM at that time.
    """
    detail = str(request.fields.get("detail", ""))
    match request.fields.get("outcome"):
        case "unauthenticated" if detail == "no key":
            cause = "the request had no key, and its route is not public"
        case "unauthenticated":
            cause = "no account of the VM's configuration holds its key alone"
        case "keys_outdated":
            age = _describe_contact(request)
            return f"the VM couldn't know which keys are valid: {age}"
        case "account_limit":
            return _summarize_limit(lines, request, detail)
        case _:
            return f"the configuration changed while it waited: {detail}"
    return cause + _describe_newer(request, in_force)


def _describe_contact(request: log_lines.Line) -> str:
    """Describes how long the VM had been without contact."""
    age_ms = request.fields.get("contact_age_ms")
    if age_ms is None:
        return "it had never had contact with the store"
    return f"the store's changes last reached it {age_ms} ms before"


def _describe_newer(
    request: log_lines.Line, in_force: dict[str, InForce]
) -> str:
    """Names the first VM on which a newer configuration was in force."""
    version = int(request.fields.get("configuration", 0))
    newer = [each for each in in_force.values() if each.version > version]
    if not newer:
        return ""
    first = min(newer, key=lambda each: each.since_s)
    return (
        f"; the VM was behind: configuration {first.version} had been in force"
        f" on {first.vm} for {request.at_s - first.since_s:.1f} s"
    )


def _summarize_limit(
    lines: list[log_lines.Line], request: log_lines.Line, detail: str
) -> str:
    """Describes a refusal beyond an account's limit."""
    account = str(request.fields.get("account", ""))
    last: LimitChange | None = None
    for line in lines:
        if line.at_s > request.at_s:
            break
        if line.vm != request.vm:
            continue
        change = parse_limit_change(line)
        if change is not None and change.account == account:
            last = change
    since = "the logs don't say since when"
    if last is not None and last.reached:
        since = f"reached {request.at_s - last.line.at_s:.1f} s before"
    inputs = detail.removeprefix(f"account {account}: ")
    return f"account {account} was beyond its limit ({since}): {inputs}"
