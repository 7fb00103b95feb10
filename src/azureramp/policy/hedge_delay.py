"""Delay before a late call is hedged at another searcher.

A request to many shards waits for the slowest of them, and some searchers pause
for longer than the request's time limit. The delay is computed from the
durations of the route's calls and the time left for the answer. A hedge that is
sent only once nearly all first calls have ended is often answered too late.
Therefore it is sent while a usual answer can still arrive in time, but not
before a usual first call has ended.
"""

from __future__ import annotations

MIN_DELAY_SHARE = 0.1
MAX_DELAY_SHARE = 0.5
"""Bounds of the hedge delay as shares of the route's target latency. An earlier
hedge would only double the work, a later one would come too late."""

INITIAL_DELAY_SHARE = 0.2
"""The hedge delay as a share of the target while too few calls are measured."""

ANSWER_TIME_FACTOR = 2.0
"""Time reserved for the hedge to answer, as a multiple of the usual
duration."""

MIN_DELAY_FACTOR = 1.25
"""Minimum time that the first call gets, as a multiple of the usual duration.
With less, calls of normal duration would be hedged."""


def compute_hedge_delay_s(
    late_s: float | None, usual_s: float, target_s: float, left_s: float
) -> float:
    """Returns the delay after which a call is hedged, in seconds.

    Args:
        late_s: The duration that few calls of the route exceed, in seconds;
            None while it is unknown.
        usual_s: The usual duration of the route's calls, in seconds.
        target_s: The route's target latency, in seconds.
        left_s: The time left for a useful answer, in seconds.
    """
    if late_s is None:
        return INITIAL_DELAY_SHARE * target_s
    min_s = MIN_DELAY_SHARE * target_s
    in_time_s = max(
        left_s - ANSWER_TIME_FACTOR * usual_s, MIN_DELAY_FACTOR * usual_s, min_s
    )
    return min(max(late_s, min_s), in_time_s, MAX_DELAY_SHARE * target_s)
