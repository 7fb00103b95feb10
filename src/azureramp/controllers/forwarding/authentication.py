"""Identifies the client accounts of requests by their keys."""

from __future__ import annotations

import asyncio

import expression

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import requests
from azureramp.policy import identity

MAX_CONTACT_AGE_S = 3.0
"""Time without contact with the store after which an unknown key may be a new
one, in seconds; more than the usual time between two answers of the store or of
a relay."""


class Authorization:
    """A request's permission to be sent to searchers.

    Attributes:
        account: The client account; None for a caller without one.
        priority: The request's priority; 0 is the highest.
    """

    __slots__ = (
        "_board",
        "_checked",
        "_needs_key",
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
        self._needs_key = board.get_accounts() is not None and not route.public
        self.account = account
        self.priority = route.priority
        if account is not None and account.priority is not None:
            self.priority = account.priority

    def get_account_name(self) -> str:
        """Returns the client account's name; empty if there is none."""
        return "" if self.account is None else self.account.name

    def is_valid(self) -> bool:
        """Returns True if the request may still be sent."""
        return self.find_refusal() is None

    def find_refusal(self) -> errors.Failure | None:
        """Judges the request again before it is sent.

        A configuration that arrived in the meantime may have revoked its key,
        or this VM may have lost contact with the store for too long.

        Returns:
            None if the request may be sent. `STALE_CONFIGURATION` if the new
            configuration allows it, but only under another account than the
            one for which it was prepared.
        """
        configuration = self._board.configuration
        if configuration is not None and configuration is not self._checked:
            failure = self._check(configuration)
            if failure is not None:
                return failure
            self._checked = configuration
        if self._needs_key and _are_keys_outdated(self._board):
            return errors.Failure(errors.Kind.KEYS_OUTDATED)
        return None

    def _check(
        self, configuration: catalog.Configuration
    ) -> errors.Failure | None:
        """Judges the request by a new configuration."""
        accounts = configuration.accounts
        if accounts is None:
            self._needs_key = False
            return None
        route = self._find_route()
        holder = identity.find_account(accounts, self._request.key)
        if holder is None and not route.public:
            return errors.Failure(
                errors.Kind.UNAUTHENTICATED, "key removed while it waited"
            )
        name = "" if holder is None else holder.name
        if self._request.message.account != name:
            return errors.Failure(
                errors.Kind.STALE_CONFIGURATION, "its account has changed"
            )
        self._needs_key = not route.public
        return None

    def _find_route(self) -> catalog.Route:
        """Returns the request's present route; its first one if it is gone."""
        table = self._board.table
        if table is None:
            return self._route
        found = table.find(self._request.host, self._request.path)
        return found or self._route


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
        unknown, `KEYS_OUTDATED` if this VM can't know whether it still holds,
        or whether it was added lately.
    """
    accounts = board.get_accounts()
    if accounts is None:
        return expression.Ok(Authorization(board, request, route, None))
    account = identity.find_account(accounts, request.key)
    if not route.public:
        if _are_keys_outdated(board):
            return expression.Error(errors.Failure(errors.Kind.KEYS_OUTDATED))
        if account is None:
            return expression.Error(_refuse_unknown_key(board, request))
    request.message.account = "" if account is None else account.name
    return expression.Ok(Authorization(board, request, route, account))


def _are_keys_outdated(board: board_module.Board) -> bool:
    """Returns True if this VM was out of contact for longer than allowed."""
    return _get_contact_age_s(board) > board.bounds.keys_expire_s


def _get_contact_age_s(board: board_module.Board) -> float:
    """Returns the time since changes of the store last reached this VM."""
    return asyncio.get_running_loop().time() - board.contact.last_answer_s


def _refuse_unknown_key(
    board: board_module.Board, request: requests.IncomingRequest
) -> errors.Failure:
    """Returns the failure of a request whose key is missing or unknown.

    A caller doesn't repeat a request after `UNAUTHENTICATED`. A VM that hears
    of no changes can't tell an unknown key from a new one.
    """
    if request.key and _get_contact_age_s(board) > MAX_CONTACT_AGE_S:
        return errors.Failure(
            errors.Kind.KEYS_OUTDATED, "the key may be new: no store contact"
        )
    detail = "unknown key" if request.key else "no key"
    return errors.Failure(errors.Kind.UNAUTHENTICATED, detail)
