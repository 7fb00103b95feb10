"""What the VMs tell each other of slow backend servers.

The load it answers: many backend servers turn many times slower at once. Each
VM calls a searcher about once a second, so that each would find out by late
calls of its own. Its inputs are the reports that this VM received from
searchers, and what other VMs told; its outcome is which reports are worth
telling, and whom to believe.

Only large changes are told. Small ones are over before they would be of use,
and every message costs CPU time and, between zones, money.
"""

from __future__ import annotations

import dataclasses

TELL_FACTOR = 4.0
"""How much a figure must differ from what the other VMs are expected to believe
before it is told. A call that takes this many times as long as usual makes a
request late; a smaller difference seldom does."""

MAX_REPORTS = 20
"""Maximum number of reports in a message; the slowest searchers go first, the
others with the next message."""

MAX_AGE_S = 0.3
"""Maximum age of a report that is told, in seconds."""

REMEMBERED_S = 10.0
"""For how long a VM remembers what it told, in seconds."""

MIN_INTERVAL_S = 0.1
"""Minimum time between two messages to a VM, in seconds."""

MESSAGES_PER_S = 40.0
"""Maximum number of messages that a VM sends per second, to all others."""

CHECK_S = 0.6
"""For how long a told report can be checked against a call of this VM, in
seconds. Later the backend server may have changed."""

MAX_MISTAKES = 3
"""Number of wrong reports, less the right ones, that make a VM untrusted."""

DISTRUST_S = 10.0
"""For how long the reports of an untrusted VM are ignored, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """A figure that a searcher reported.

    Attributes:
        searcher: The searcher's id.
        started_ms: When the searcher started, in milliseconds since 1970.
        figure: How long work takes, as a multiple of the usual time.
        received_s: When it was received from the searcher, in seconds.
    """

    searcher: str
    started_ms: int
    figure: float
    received_s: float


class Outbox:
    """The reports that are worth telling to the other VMs."""

    __slots__ = ("_pending", "_told")

    def __init__(self) -> None:
        """Creates an outbox without reports."""
        self._pending: dict[str, Report] = {}
        self._told: dict[str, Report] = {}

    def add(self, report: Report, half_life_s: float) -> None:
        """Adds a report if the other VMs are expected to believe otherwise.

        Args:
            report: The report.
            half_life_s: For how long reports stay true, in seconds.
        """
        believed = 1.0
        told = self._told.get(report.searcher)
        if told is not None and told.started_ms == report.started_ms:
            age_s = report.received_s - told.received_s
            weight = 0.5 ** (age_s / half_life_s)
            believed += (told.figure - 1.0) * weight
        if is_large_change(believed, report.figure):
            self._pending[report.searcher] = report
        else:
            self._pending.pop(report.searcher, None)

    def take(self, now_s: float) -> tuple[Report, ...]:
        """Removes and returns the reports to tell now, the slowest first.

        Args:
            now_s: The current time, in seconds.
        """
        fresh = [
            report
            for report in self._pending.values()
            if now_s - report.received_s <= MAX_AGE_S
        ]
        self._told = {
            name: report
            for name, report in self._told.items()
            if now_s - report.received_s <= REMEMBERED_S
        }
        fresh.sort(key=lambda report: -report.figure)
        chosen, left = fresh[:MAX_REPORTS], fresh[MAX_REPORTS:]
        self._pending = {report.searcher: report for report in left}
        self._told.update((report.searcher, report) for report in chosen)
        return tuple(chosen)


class Trust:
    """Whom to believe: compares what VMs told with this VM's own reports."""

    __slots__ = ("_distrusted_until_s", "_mistakes")

    def __init__(self) -> None:
        """Creates an instance that trusts all VMs."""
        self._distrusted_until_s: dict[str, float] = {}
        self._mistakes: dict[str, int] = {}

    def check(
        self, vm: str, told: float, told_s: float, own: float, now_s: float
    ) -> bool:
        """Compares a told figure with the one that this VM received now.

        Args:
            vm: The VM that told the figure.
            told: The told figure.
            told_s: When that VM had received it, in seconds.
            own: The figure that this VM received.
            now_s: The current time, in seconds.

        Returns:
            True if the VM is untrusted from now on.
        """
        if now_s - told_s > CHECK_S:
            return False
        change = 1 if is_large_change(told, own) else -1
        mistakes = max(0, self._mistakes.get(vm, 0) + change)
        self._mistakes[vm] = mistakes
        if mistakes < MAX_MISTAKES:
            return False
        self._mistakes[vm] = 0
        self._distrusted_until_s[vm] = now_s + DISTRUST_S
        return True

    def is_trusted(self, vm: str, now_s: float) -> bool:
        """Returns True if a VM's reports may be used."""
        return now_s >= self._distrusted_until_s.get(vm, now_s)


def is_large_change(before: float, after: float) -> bool:
    """Returns True if two figures differ by `TELL_FACTOR` or more."""
    return max(before, after) >= TELL_FACTOR * min(before, after)


def compute_interval_s(vms: int) -> float:
    """Returns the time between two messages to the same VM, in seconds.

    Args:
        vms: The number of VMs that are told.
    """
    return max(MIN_INTERVAL_S, vms / MESSAGES_PER_S)
