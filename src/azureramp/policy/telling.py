"""Which searchers' states a heartbeat must hold."""

from __future__ import annotations

from azureramp import messages

FULL_EVERY = 4
"""At least each so many heartbeats hold the states, since one may be lost."""


class States:
    """The states that were told last."""

    __slots__ = ("_silent", "_told")

    def __init__(self) -> None:
        """Makes one that has told nothing."""
        self._told: tuple[tuple[object, ...], ...] | None = None
        self._silent = 0

    def choose(
        self, states: tuple[messages.SearcherState, ...]
    ) -> tuple[messages.SearcherState, ...] | None:
        """Chooses what the next heartbeat tells.

        What decides whether a searcher may be used is told at once; its
        queue and its service time, which change all the time, with the next
        full heartbeat.

        Returns:
            The states; None if nothing of weight has changed.
        """
        weighty = tuple(
            (s.searcher, s.incarnation, s.usable, s.limit, s.versions)
            for s in states
        )
        self._silent += 1
        if weighty == self._told and self._silent < FULL_EVERY:
            return None
        self._told = weighty
        self._silent = 0
        return states
