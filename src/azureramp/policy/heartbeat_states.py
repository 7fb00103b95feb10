"""Selection of the searcher states to include in heartbeats."""

from __future__ import annotations

from azureramp import messages

FULL_HEARTBEAT_INTERVAL = 4
"""At least one in this number of heartbeats contains the states, since a
heartbeat may be lost."""


class StateSelector:
    """The searcher states that were sent last."""

    __slots__ = ("_omitted", "_sent")

    def __init__(self) -> None:
        """Creates an instance that has sent no states."""
        self._sent: tuple[tuple[object, ...], ...] | None = None
        self._omitted = 0

    def select(
        self, states: tuple[messages.SearcherState, ...]
    ) -> tuple[messages.SearcherState, ...] | None:
        """Selects the states to include in the next heartbeat.

        Changes that determine whether a searcher may be used are sent with the
        next heartbeat. The queue length and the service time change constantly
        and are sent with the next full heartbeat.

        Args:
            states: The current states.

        Returns:
            The states; None if the heartbeat can omit them.
        """
        significant = tuple(
            (s.searcher, s.incarnation, s.usable, s.limit, s.versions)
            for s in states
        )
        self._omitted += 1
        if (
            significant == self._sent
            and self._omitted < FULL_HEARTBEAT_INTERVAL
        ):
            return None
        self._sent = significant
        self._omitted = 0
        return states
