"""Identifies the client accounts of requests by their keys."""

from __future__ import annotations

import asyncio

import expression

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import requests
from azureramp.policy import identity


class Authorization:
    """A request's permission to be sent to searchers.

    Attributes:
        account: The client account; None for a caller without one.
        priority: The request's priority; 0 is the highest.
    """

    __slots__ = (
        "_board",
        "_checked",
        "_request",
        "_route",
        "account",
        "priority",
    )

    def __init__(
        self,
        board: board_module.Board,
        request: requests.IncomingRequest,
        route: catalog.Route,
        account: catalog.Account | None,
    ) -> None:
        """Creates the permission of a request whose key was just checked.

        Args:
            board: The process's state.
            request: The request.
            route: Its route.
            account: Its client account; None if it has none.
        """
        self._board = board
        self._request = request
        self._route = route
        self._checked = board.configuration
        self.account = account
        self.priority = route.priority
        if account is not None and account.priority is not None:
            self.priority = account.priority

    def get_account_name(self) -> str:
        """Returns the client account's name; empty if there is none."""
        return "" if self.account is None else self.account.name

    def is_valid(self) -> bool:
        """Returns True if the request may still be sent.

        A configuration that arrived in the meantime may have revoked its key.
        """
        configuration = self._board.configuration
        if configuration is self._checked or configuration is None:
            return True
        accounts = configuration.accounts
        if accounts is None:
            return True
        if self._request.message.account is None:
            # Its headers were prepared for a configuration without accounts.
            return False
        if self.account is None:
            return self._route.public
        holder = identity.find_account(accounts, self._request.key)
        if holder is None or holder.name != self.account.name:
            return False
        self._checked = configuration
        return True


def authorize(
    board: board_module.Board,
    request: requests.IncomingRequest,
    route: catalog.Route,
) -> expression.Result[Authorization, errors.Failure]:
    """Identifies a request's client account and prepares its message.

    Args:
        board: The process's state.
        request: The request; the account is set on its message.
        route: Its route.

    Returns:
        The permission to send it; `UNAUTHENTICATED` if its key is missing or
        unknown, `KEYS_OUTDATED` if this VM can't know whether it still holds.
    """
    accounts = board.get_accounts()
    if accounts is None:
        return expression.Ok(Authorization(board, request, route, None))
    account = identity.find_account(accounts, request.key)
    if not route.public:
        now_s = asyncio.get_running_loop().time()
        if now_s - board.contact.last_answer_s > board.bounds.keys_expire_s:
            return expression.Error(errors.Failure(errors.Kind.KEYS_OUTDATED))
        if account is None:
            return expression.Error(errors.Failure(errors.Kind.UNAUTHENTICATED))
    request.message.account = "" if account is None else account.name
    return expression.Ok(Authorization(board, request, route, account))
