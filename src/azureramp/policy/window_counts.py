"""Counts events in a sliding window, in constant memory."""

from __future__ import annotations

SLICES = 10
"""Number of parts into which a window is divided."""


class WindowCount:
    """The approximate number of events in the last window.

    Attributes:
        last_s: When the last event happened; None if there was none.
    """

    __slots__ = ("_counts", "_window_s", "last_s")

    def __init__(self, window_s: float) -> None:
        """Creates a count of no events.

        Args:
            window_s: The length of the window, in seconds.
        """
        self._window_s = window_s
        self._counts: dict[int, int] = {}
        self.last_s: float | None = None

    def add(self, now_s: float) -> None:
        """Counts an event."""
        self.last_s = now_s
        index = int(now_s * SLICES / self._window_s)
        self._counts[index] = self._counts.get(index, 0) + 1
        if len(self._counts) > SLICES:
            self._expire(now_s)

    def get(self, now_s: float) -> int:
        """Returns the number of events in the window that ends now."""
        self._expire(now_s)
        return sum(self._counts.values())

    def _expire(self, now_s: float) -> None:
        oldest = int(now_s * SLICES / self._window_s) - SLICES
        for index in [each for each in self._counts if each < oldest]:
            del self._counts[index]
