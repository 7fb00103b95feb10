"""Which shards of a request are asked: shards that can't keep up.

The pattern: all searchers of a few shards are slow or gone, and each request
to all shards queues at the same ones. Asked more often than they can answer,
they answer nobody in time. An answer may lack some shards, so a request asks
those that most likely answer in its time, and of the rest only as many as it
needs. A slow shard then gets the calls that it can answer, and those that it
answers are in time.

In: the time that each shard is expected to take, the number of shards that
the answer must hold, and the time there is. Out: the shards to ask.
"""

from __future__ import annotations

from collections.abc import Sequence


def choose_asked(
    expected_s: Sequence[float | None], least: int, budget_s: float
) -> list[bool]:
    """Chooses the shards that a request asks.

    Args:
        expected_s: The time that each shard is expected to take, in seconds;
            None if it can't be asked now.
        least: How many shards the answer must hold.
        budget_s: The time within which a part is of use, in seconds.

    Returns:
        For each shard whether it is asked.
    """
    asked = [each is not None and each <= budget_s for each in expected_s]
    missing = least - sum(asked)
    if missing <= 0:
        return asked
    late = [
        (each, number)
        for number, each in enumerate(expected_s)
        if each is not None and each > budget_s
    ]
    for _, number in sorted(late)[:missing]:
        asked[number] = True
    return asked
