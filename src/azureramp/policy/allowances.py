"""Limits the extra calls of a service, beyond the first of each request.

The operators bound the extra calls (hedges, retries, and calls that a
searcher rejects) of all VMs together, in any time window of a given length, by
a share of the service's requests plus a fixed number. Each VM may use the share
of its own requests, which adds up exactly, and a part of the fixed number; see
`limit_shares`.
"""

from __future__ import annotations

import collections
import dataclasses

SAFETY_FACTOR = 0.85
"""Fraction of the bound that is used. A request and the extra call that
follows it may fall on different sides of a window's edge, and VMs may join."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """The operators' bound.

    Attributes:
        ratio: Extra calls allowed for each request.
        window_s: The length of the window, in seconds.
        fixed: Extra calls allowed to all VMs together in a window, independent
            of the number of requests.
    """

    ratio: float
    window_s: float
    fixed: float


class Allowance:
    """The extra calls that one VM may make to one service."""

    __slots__ = ("_extras_s", "_limit", "_requests_s")

    def __init__(self, limit: Limit) -> None:
        """Creates an allowance of which nothing is used."""
        self._limit = limit
        self._requests_s: collections.deque[float] = collections.deque()
        self._extras_s: collections.deque[float] = collections.deque()

    def add_request(self, now_s: float) -> None:
        """Records a request for the service."""
        self._requests_s.append(now_s)
        self._expire(now_s)

    def get_remaining(self, now_s: float, part: float) -> float:
        """Returns how many extra calls may be made now.

        Args:
            now_s: The current time, in seconds.
            part: This VM's share of the fixed number, 0 to 1.
        """
        self._expire(now_s)
        earned = self._limit.ratio * len(self._requests_s)
        allowed = SAFETY_FACTOR * (earned + self._limit.fixed * part)
        return allowed - len(self._extras_s)

    def spend(self, now_s: float, part: float) -> bool:
        """Uses the allowance for one extra call; False if none is left."""
        if self.get_remaining(now_s, part) < 1.0:
            return False
        self._extras_s.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        """Drops the requests and calls before the window."""
        oldest_s = now_s - self._limit.window_s
        for times in (self._requests_s, self._extras_s):
            while times and times[0] < oldest_s:
                times.popleft()
