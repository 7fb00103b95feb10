"""When a call that is late is made a second time, at another searcher.

The pattern: a request to many shards waits for the slowest of them, and some
searchers stand still for longer than the request has. Inputs are how long calls
of the route last and the time that is left for the answer. A second call that
goes out when nearly all first ones have ended often comes too late itself, so
it goes out while a usual answer still comes in time, though not before a usual
first call has ended.
"""

from __future__ import annotations

LEAST_SHARE = 0.1
MOST_SHARE = 0.5
"""The second call's time as a share of the route's target, at least and at
most: sooner it would only double the work, later it would come too late."""

FIRST_SHARE = 0.2
"""The same while too few calls have been measured."""

ANSWER_TIMES = 2.0
"""Usual times that the second call gets before its answer is of no use."""

SOONEST_TIMES = 1.25
"""Usual times that the first call gets in any case: sooner, calls that are well
would be made twice."""


def choose_time_s(
    late_s: float | None, usual_s: float, target_s: float, left_s: float
) -> float:
    """Chooses after how long a second call is made, in seconds.

    Args:
        late_s: The time that few calls of the route exceed, in seconds; None
            while that is not known.
        usual_s: How long they usually last, in seconds.
        target_s: The route's target, in seconds.
        left_s: The time within which an answer is of use, in seconds.
    """
    if late_s is None:
        return FIRST_SHARE * target_s
    least_s = LEAST_SHARE * target_s
    in_time_s = max(
        left_s - ANSWER_TIMES * usual_s, SOONEST_TIMES * usual_s, least_s
    )
    return min(max(late_s, least_s), in_time_s, MOST_SHARE * target_s)
