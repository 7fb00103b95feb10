"""Collects the steps of roll-outs from the logs of the VMs that drove them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from azureramp import log_lines

CHANNEL = "azureramp.rollout_driver"
"""The log channel of roll-out drivers."""


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a roll-out.

    Attributes:
        at_s: When it was logged, in seconds since 1970.
        vm: The VM that drove the roll-out.
        service: The name of the service.
        target: The version to move to.
        order: The store revision of the operators' order.
        phase: The phase that the roll-out entered.
        reason: Why it entered this phase.
        age_s: Time since the order, in seconds.
        calls_to_new: Upper bound of the calls to the new version so far; None
            if not counted.
        calls_allowed: Calls that the new version was allowed to get; None if
            not counted.
        calls: Calls to the service so far; None if not counted.
        answers: The counts of bad and all answers of both versions, by route.
    """

    at_s: float
    vm: str
    service: str
    target: str
    order: int
    phase: str
    reason: str
    age_s: float
    calls_to_new: int | None
    calls_allowed: int | None
    calls: int | None
    answers: str

    def get_share(self) -> float | None:
        """Returns the new version's share of the calls; None if unknown."""
        if not self.calls or self.calls_to_new is None:
            return None
        return self.calls_to_new / self.calls


def collect(
    lines: Iterable[log_lines.Line],
) -> dict[tuple[str, int], list[Step]]:
    """Collects the steps of each roll-out.

    Args:
        lines: The log lines of all VMs, by time.

    Returns:
        The steps by service and order, in the order of the lines.
    """
    steps: dict[tuple[str, int], list[Step]] = {}
    for line in lines:
        if line.channel != CHANNEL or "phase" not in line.fields:
            continue
        step = _parse_step(line)
        steps.setdefault((step.service, step.order), []).append(step)
    return steps


def _parse_step(line: log_lines.Line) -> Step:
    """Parses a line of a roll-out driver."""
    fields = line.fields
    return Step(
        at_s=line.at_s,
        vm=line.vm,
        service=str(fields.get("service", "")),
        target=str(fields.get("target", "")),
        order=int(fields.get("order", 0)),
        phase=str(fields["phase"]),
        reason=str(fields.get("reason", "")),
        age_s=float(fields.get("age_s", 0.0)),
        calls_to_new=fields.get("calls_to_new"),
        calls_allowed=fields.get("calls_allowed"),
        calls=fields.get("calls"),
        answers=str(fields.get("answers", "")),
    )
