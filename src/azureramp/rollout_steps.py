"""The steps of roll-outs, read from the logs of the VMs that drove them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from azureramp import log_lines

CHANNEL = "azureramp.rollout_driver"
"""The channel of a driver's lines."""


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a roll-out.

    Attributes:
        at_s: When, in seconds since 1970.
        vm: The VM that drives it.
        service: The service.
        target: The version to move to.
        order: The revision of the operators' order.
        phase: The phase since then.
        reason: Why.
        age_s: How long after the order, in seconds.
        calls_to_new: Calls to the new version so far, at most.
        calls_allowed: Calls that it might have got; None where none were
            counted.
        calls: Calls to the service.
        answers: Bad and all answers of both versions by route.
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
        """Returns the new version's share of the calls, if they are known."""
        if not self.calls or self.calls_to_new is None:
            return None
        return self.calls_to_new / self.calls


def collect(
    lines: Iterable[log_lines.Line],
) -> dict[tuple[str, int], list[Step]]:
    """Collects the steps by service and order, in the order of their times."""
    found: dict[tuple[str, int], list[Step]] = {}
    for line in lines:
        if line.channel != CHANNEL or "phase" not in line.fields:
            continue
        step = _read(line)
        found.setdefault((step.service, step.order), []).append(step)
    return found


def _read(line: log_lines.Line) -> Step:
    """Reads a driver's line."""
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
