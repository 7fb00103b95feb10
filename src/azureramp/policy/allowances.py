"""How many calls beyond the first of each request a service may get.

The operators bound the extra calls (hedges, retries, and calls that a
searcher rejects) of all VMs together, in any span of a given length: a share
of the service's requests and a fixed number. Each VM spends the share of the
requests that it took itself, which adds up exactly, and a part of the fixed
number; see `shares`.
"""

from __future__ import annotations

import collections
import dataclasses

SAFETY = 0.85
"""Part of the bound that is used. A caller's request and the extra call that
follows it may fall on both sides of a span's edge, and VMs may come."""


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """The operators' bound.

    Attributes:
        ratio: Extra calls for each request.
        window_s: The length of the span, in seconds.
        fixed: Extra calls of all VMs together in a span, whatever the
            requests.
    """

    ratio: float
    window_s: float
    fixed: float


class Allowance:
    """What one VM may spend on one service."""

    __slots__ = ("_extras_s", "_requests_s", "_terms")

    def __init__(self, terms: Terms) -> None:
        """Makes one with nothing spent."""
        self._terms = terms
        self._requests_s: collections.deque[float] = collections.deque()
        self._extras_s: collections.deque[float] = collections.deque()

    def add_request(self, now_s: float) -> None:
        """Takes a request for the service."""
        self._requests_s.append(now_s)
        self._forget(now_s)

    def get_left(self, now_s: float, part: float) -> float:
        """Returns how many extra calls may be made now.

        Args:
            now_s: The time.
            part: This VM's part of the fixed number, 0 to 1.
        """
        self._forget(now_s)
        earned = self._terms.ratio * len(self._requests_s)
        allowed = SAFETY * (earned + self._terms.fixed * part)
        return allowed - len(self._extras_s)

    def spend(self, now_s: float, part: float) -> bool:
        """Takes leave for one extra call, if there is any."""
        if self.get_left(now_s, part) < 1.0:
            return False
        self._extras_s.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        """Drops what has left the span."""
        oldest_s = now_s - self._terms.window_s
        for times in (self._requests_s, self._extras_s):
            while times and times[0] < oldest_s:
                times.popleft()
