"""Each VM's share of a limit that applies to all VMs together.

The VMs advertised to callers do nearly all the work, so nearly the whole limit
is divided among them. No messages are needed: each VM computes its share from
the list of VMs that it knows. The lists differ for a moment after each change.
Therefore a share grows only once the VM that had it before has received the
change and its earlier use no longer counts in the limit's time window.
"""

from __future__ import annotations

import collections

ADVERTISED_SHARE = 0.9
"""The total share of the VMs advertised to callers. The rest is for the others,
which get occasional requests from callers with outdated addresses."""

STALE_CONTACT_S = 3.0
"""A VM that has not reached the store for this time, in seconds, uses half its
share. This is how long its lease stays valid, so other VMs may have replaced it
without its knowledge. If no VM can reach the store, however, they have not."""

STALE_FACTOR = 0.5

MAX_UPDATE_DELAY_S = 3.0
"""Maximum time by which a VM receives a change later than others, in seconds. A
VM that lags further behind counts as stale; see `STALE_CONTACT_S`."""


class LimitShare:
    """One VM's share over time: the minimum of a sliding time window.

    Attributes:
        value: The share in force, 0 to 1.
    """

    __slots__ = ("_minima", "_span_s", "value")

    def __init__(
        self, window_s: float, began_s: float, first_start: bool
    ) -> None:
        """Creates the share of a process that has just started.

        A process that replaces a killed one does not know how much of the limit
        that one used, so its share is 0 at first. If all VMs start together for
        the first time, none of the limit has been used.

        Args:
            window_s: The time window of the limit, in seconds.
            began_s: When the process started, in seconds.
            first_start: True if the whole tier starts for the first time.
        """
        self.value = 0.0
        self._span_s = window_s + MAX_UPDATE_DELAY_S
        # Times and shares, both ascending. A share that is followed by a lower
        # one can't be the minimum again, so it is dropped.
        self._minima: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        if not first_start:
            self._minima.append((began_s, 0.0))

    def update(self, part: float, now_s: float) -> float:
        """Records the current share and returns the share in force.

        Args:
            part: The share according to the current list of VMs, 0 to 1.
            now_s: The current time, in seconds.
        """
        while self._minima and self._minima[-1][1] >= part:
            self._minima.pop()
        self._minima.append((now_s, part))
        oldest_s = now_s - self._span_s
        while len(self._minima) > 1 and self._minima[0][0] < oldest_s:
            self._minima.popleft()
        self.value = self._minima[0][1]
        return self.value


def compute_share(
    advertised: int, others: int, is_advertised: bool, stale: bool
) -> float:
    """Returns a VM's share according to the list of VMs that it knows, 0 to 1.

    Args:
        advertised: Number of VMs that are advertised to callers.
        others: Number of VMs that are not advertised.
        is_advertised: True if this VM is advertised.
        stale: True if this VM has not reached the store for `STALE_CONTACT_S`.
    """
    if is_advertised:
        part = ADVERTISED_SHARE / max(1, advertised)
    else:
        part = (1.0 - ADVERTISED_SHARE) / max(1, others)
    return part * STALE_FACTOR if stale else part
