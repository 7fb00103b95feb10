"""Applies the client accounts' limits on their requests at all VMs."""

from __future__ import annotations

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module


class AccountLimits:
    """Decides whether an account may send one more request."""

    __slots__ = ("_board",)

    def __init__(self, board: board_module.Board) -> None:
        """Creates limits of which nothing has been used.

        Args:
            board: The process's state.
        """
        self._board = board

    async def take(
        self, account: catalog.Account | None
    ) -> errors.Failure | None:
        """Counts a request against its account's limit.

        Args:
            account: The account; None for a caller without one.

        Returns:
            None if the request may be sent; otherwise `ACCOUNT_LIMIT` with the
            time after which there is room for it.
        """
        return None

    def give_back(self, account: catalog.Account | None) -> None:
        """Returns the use of a request that was not sent to any searcher."""
