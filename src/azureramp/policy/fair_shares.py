"""Max-min fair shares of the client accounts in what can be served.

Load: one or a few accounts send many times their usual number of requests.
Inputs: the requests that each account asked for and was granted lately, its
weight, and how many can be served. Outcome: which accounts have had more than
their share while others asked; those that ask for less get all they ask for.
"""

from __future__ import annotations

import math

HALF_LIFE_S = 1.0
"""Half-life of what counts as asked and granted, in seconds: long enough to
compare accounts with a few requests per second, and short enough that one that
has stopped sending too much is soon served as before."""

MIN_ASKED = 0.05
"""Decayed number of requests below which an account is forgotten."""

MAX_RESERVED = 0.9
"""Maximum part of what can be served that is kept for other accounts."""

REFRESH_S = 0.05
"""Interval between two computations of the shares, in seconds."""


DROP_INTERVAL_S = 5.0
"""Interval at which accounts are forgotten while all are served, in seconds."""


class _Use:
    """What one account asked for and got, decayed.

    Attributes:
        asked: Number of requests that it sent.
        granted: Number of these that were admitted.
        weight: Its share of the room, relative to others.
        updated_s: Until when the numbers are decayed.
    """

    __slots__ = ("asked", "granted", "updated_s", "weight")

    def __init__(self, now_s: float) -> None:
        self.asked = 0.0
        self.granted = 0.0
        self.weight = 1.0
        self.updated_s = now_s

    def decay(self, now_s: float) -> None:
        """Decays the numbers up to now."""
        factor = math.pow(0.5, (now_s - self.updated_s) / HALF_LIFE_S)
        self.asked *= factor
        self.granted *= factor
        self.updated_s = now_s


class FairShares:
    """The accounts' shares at one set of searchers.

    Attributes:
        level: What an account of weight 1 may be granted within the memory of
            an instance; infinite while there is room for all.
        reserved: Part of what can be served that is needed by the accounts that
            ask for less than their share, 0 to `MAX_RESERVED`.
    """

    __slots__ = (
        "_computed_s",
        "_dropped_s",
        "_granted_level",
        "_uses",
        "level",
        "reserved",
    )

    def __init__(self) -> None:
        """Creates an instance that knows no accounts."""
        self._uses: dict[str, _Use] = {}
        self._computed_s = -math.inf
        self._dropped_s = -math.inf
        self._granted_level = math.inf
        self.level = math.inf
        self.reserved = 0.0

    def count_accounts(self) -> int:
        """Returns the number of accounts that are remembered."""
        return len(self._uses)

    def record_asked(self, account: str, weight: float, now_s: float) -> None:
        """Records that an account sent a request."""
        use = self._uses.get(account)
        if use is None:
            use = self._uses[account] = _Use(now_s)
        use.decay(now_s)
        use.weight = weight
        use.asked += 1.0
        if now_s - self._dropped_s >= DROP_INTERVAL_S:
            self._drop_idle(now_s)

    def record_granted(self, account: str, now_s: float) -> None:
        """Records that a request of an account was admitted."""
        use = self._uses.get(account)
        if use is not None:
            use.decay(now_s)
            use.granted += 1.0

    def update(self, capacity_per_s: float, now_s: float) -> None:
        """Computes the shares anew if they are old.

        Args:
            capacity_per_s: How many requests can be served per second; infinite
                if that is not limited.
            now_s: The current time, in seconds.
        """
        if now_s - self._computed_s < REFRESH_S:
            return
        self._computed_s = now_s
        self._drop_idle(now_s)
        # A steady rate is remembered as this many seconds' worth of requests.
        memory_s = HALF_LIFE_S / math.log(2.0)
        capacity = capacity_per_s * memory_s
        self.level = compute_level(
            [(use.asked, use.weight) for use in self._uses.values()], capacity
        )
        self.reserved = 0.0
        self._granted_level = math.inf
        if math.isinf(self.level):
            return
        satisfied = 0.0
        granted: list[float] = []
        for use in self._uses.values():
            if use.asked <= self.level * use.weight:
                satisfied += use.asked
            else:
                granted.append(use.granted / use.weight)
        self.reserved = min(MAX_RESERVED, satisfied / max(1e-9, capacity))
        if len(granted) > 1:
            # What they got is surer than what can be served.
            mean = sum(granted) / len(granted)
            self._granted_level = min(self.level, mean)
        elif satisfied > 0:
            self._granted_level = self.level

    def asks_for_more(self, account: str) -> bool:
        """Returns True if an account asks for more than its share."""
        use = self._uses.get(account)
        return use is not None and use.asked > self.level * use.weight

    def get_excess(self, account: str, now_s: float) -> float:
        """Returns what an account was granted, relative to its share.

        Above 1 it has had more than its share while others asked.
        """
        use = self._uses.get(account)
        if use is None or math.isinf(self._granted_level):
            return 0.0
        use.decay(now_s)
        return use.granted / max(1e-9, self._granted_level * use.weight)

    def _drop_idle(self, now_s: float) -> None:
        """Forgets the accounts that have not asked for long."""
        self._dropped_s = now_s
        for account, use in list(self._uses.items()):
            use.decay(now_s)
            if use.asked < MIN_ASKED:
                del self._uses[account]


def compute_level(asked: list[tuple[float, float]], capacity: float) -> float:
    """Computes the max-min fair level.

    Args:
        asked: What each account asks for, and its weight.
        capacity: What can be granted in all.

    Returns:
        What an account of weight 1 may get, so that all that ask for less get
        all of it and the others share the rest; infinite if all can be granted.
    """
    left = capacity
    weights = sum(weight for _, weight in asked)
    for wanted, weight in sorted(asked, key=lambda each: each[0] / each[1]):
        level = left / max(weight, weights)
        if wanted > level * weight:
            return level
        left -= wanted
        weights -= weight
    return math.inf
