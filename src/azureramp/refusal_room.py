"""Finds refused requests for which other VMs had room.

A VM refuses by what it knows itself. If a request of the same route that came
later, and was not more urgent, was answered in time at another VM or at the
same one, the refused request could probably have been served as well.
"""

from __future__ import annotations

import bisect
import collections

from azureramp import log_lines, loss_causes

ROOM_WINDOW_S = 0.25
"""Maximum time between a refusal and the beginning of a request that was
served, in seconds; room that appears later doesn't show that there was some
before."""

ROOM_OUTCOMES = frozenset(("overloaded", "shards_unreachable", "shed"))
"""The outcomes by which a VM states that no searcher has room."""

LOWEST_PRIORITY = 1_000_000
"""The priority of requests whose line doesn't state one."""


class ServedTimes:
    """When requests that were answered in time began, by route."""

    __slots__ = ("_served",)

    def __init__(self) -> None:
        """Creates times without any request."""
        self._served: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )

    def add(self, line: log_lines.Line) -> None:
        """Adds a request that was answered in time."""
        took_ms = float(line.fields.get("took_ms", 0.0))
        bisect.insort(
            self._served[str(line.fields.get("route", ""))],
            (line.at_s - took_ms / 1000, _get_priority(line)),
        )

    def had_room(self, line: log_lines.Line) -> bool:
        """Returns True if a refused request could have been served.

        The answer is False more often than it should be, since not every
        request that is answered in time has a line.

        Args:
            line: The line of a refused request.
        """
        if (
            line.channel != loss_causes.REQUEST_CHANNEL
            or line.fields.get("outcome") not in ROOM_OUTCOMES
            or line.fields.get("calls")
        ):
            return False
        served = self._served.get(str(line.fields.get("route", "")), [])
        begin = bisect.bisect_left(served, (line.at_s, -1))
        end = bisect.bisect_right(
            served, (line.at_s + ROOM_WINDOW_S, LOWEST_PRIORITY)
        )
        own = _get_priority(line)
        return any(priority >= own for _, priority in served[begin:end])


def _get_priority(line: log_lines.Line) -> int:
    """Returns a request's priority; 0 is the highest."""
    return int(line.fields.get("priority", LOWEST_PRIORITY))
