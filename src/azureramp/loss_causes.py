"""Determines from the logs of all VMs why a shard delayed a request."""

from __future__ import annotations

import bisect
import collections
import enum
from collections.abc import Iterable

from azureramp import log_lines

OBSERVATION_WINDOW_S = 1.0
"""Maximum time between the end of a request and calls of other requests that
are considered affected by the same problem, in seconds."""

DARK_AFTER_S = 0.3
"""Time without any answer after which a searcher is classified as dark (for
example without power) instead of paused, in seconds."""

REQUEST_CHANNEL = "azureramp.request"


class Cause(enum.Enum):
    """Why a shard delayed a request."""

    NO_SEARCHER = "no searcher may get it"
    CONNECTION = "connection"
    REJECTED = "rejected"
    BROKEN = "broken"
    DARK = "dark"
    SLOW = "slow"
    PAUSED = "paused"


class CallTimes:
    """When calls to each searcher were answered or left unanswered."""

    __slots__ = ("_answered_s", "_silent_s")

    def __init__(self, lines: Iterable[log_lines.Line]) -> None:
        """Collects the times from the lines of requests.

        Args:
            lines: The log lines of all VMs, by time.
        """
        self._silent_s: dict[str, list[float]] = collections.defaultdict(list)
        self._answered_s: dict[str, list[float]] = collections.defaultdict(list)
        for line in lines:
            if line.channel == REQUEST_CHANNEL:
                self._add(line)
        for times in (*self._silent_s.values(), *self._answered_s.values()):
            times.sort()

    def is_dark(self, searcher: str, at_s: float) -> bool:
        """Returns True if a searcher was dark around a time.

        Args:
            searcher: The searcher.
            at_s: The time, in seconds since 1970.
        """
        silent = _select_around(self._silent_s.get(searcher, []), at_s)
        answered = _select_around(self._answered_s.get(searcher, []), at_s)
        if not silent or silent[-1] - silent[0] <= DARK_AFTER_S:
            return False
        return not any(silent[0] <= each <= silent[-1] for each in answered)

    def _add(self, line: log_lines.Line) -> None:
        """Adds the calls of a request.

        An unanswered call adds the time when it was sent and the time when
        its request ended.
        """
        took_ms = float(line.fields.get("took_ms", 0.0))
        began_s = line.at_s - took_ms / 1000
        for call in log_lines.parse_calls(line):
            if call.outcome == "no answer yet":
                sent_s = began_s + call.sent_ms / 1000
                self._silent_s[call.searcher] += [sent_s, line.at_s]
            elif call.outcome == "200" and call.ended_ms is not None:
                ended_s = began_s + call.ended_ms / 1000
                self._answered_s[call.searcher].append(ended_s)


def classify_call(
    call: log_lines.Call, at_s: float, call_times: CallTimes
) -> Cause:
    """Returns why a call delayed its request.

    Args:
        call: The call.
        at_s: When its request ended, in seconds since 1970.
        call_times: The calls of all requests.
    """
    if not call.searcher:
        return Cause.NO_SEARCHER
    if "not sent" in call.outcome or "no_connection" in call.outcome:
        return Cause.CONNECTION
    if "not run" in call.outcome:
        return Cause.REJECTED
    if call.outcome == "200":
        return Cause.SLOW
    if call.outcome != "no answer yet":
        return Cause.BROKEN
    dark = call_times.is_dark(call.searcher, at_s)
    return Cause.DARK if dark else Cause.PAUSED


def _select_around(times: list[float], at_s: float) -> list[float]:
    """Returns the times within `OBSERVATION_WINDOW_S` of a time."""
    begin = bisect.bisect_left(times, at_s - OBSERVATION_WINDOW_S)
    end = bisect.bisect_right(times, at_s + OBSERVATION_WINDOW_S)
    return times[begin:end]
