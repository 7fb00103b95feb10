"""Admits requests to the searchers that they need, or refuses them at once."""

from __future__ import annotations

import dataclasses

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import searchers as searchers_module


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request that asks for admission.

    Attributes:
        route: Its route.
        services: The services that it needs one searcher of each.
        account: The name of its client account; empty if it has none.
        priority: Its priority; 0 is the highest.
        answer_by_s: When its answer must be sent, on the loop's clock.
    """

    route: catalog.Route
    services: tuple[str, ...]
    account: str
    priority: int
    answer_by_s: float


class Admission:
    """Decides which requests are sent, in which order."""

    __slots__ = ("_board", "_searchers")

    def __init__(
        self,
        board: board_module.Board,
        searchers: searchers_module.Searchers,
    ) -> None:
        """Creates an admission control without running requests.

        Args:
            board: The process's state.
            searchers: The searchers.
        """
        self._board = board
        self._searchers = searchers

    async def admit(self, demand: Demand) -> errors.Failure | None:
        """Admits a request, after a short wait if that is certain to help.

        Args:
            demand: The request.

        Returns:
            None if it may be sent now, in which case `release` must be called
            once it has ended; otherwise the reason, which states that it has
            not run and when it can be served.
        """
        return None

    def release(self, demand: Demand) -> None:
        """Records that an admitted request has ended."""
