"""The request handlers for each address that a process listens on."""

from __future__ import annotations

import http

import msgspec

from azureramp import exposition, logs
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import request_handler
from azureramp.platform import headers
from azureramp.ports.web import api as web_api
from azureramp.ports.web import resources

READINESS_PATH = "/readiness"
RESOLVE_PATH = "/resolve"
METRICS_PATH = "/metrics"

RETRY_AFTER = "1"
"""Delay after which a request may be sent again for which there was no room, in
seconds: by then the transfers that take longest are ended."""

ADDRESS_LIFETIME_S = 5
"""How long callers may cache the advertised addresses, in whole seconds. Some
callers cache them three times as long, and keep using a VM for that time after
it has died."""


class Answers:
    """The handlers of a process's servers."""

    __slots__ = ("_board", "_entry", "_log_writer", "_shared")

    def __init__(
        self,
        board: board_module.Board,
        entry: request_handler.RequestHandler,
        log_writer: logs.LineWriter | None,
        shared: resources.Resources,
    ) -> None:
        """Creates the handlers.

        Args:
            board: The state of the process.
            entry: Handles callers' requests.
            log_writer: The log writer, whose dropped lines are counted in the
                metrics; None if the logs are written elsewhere.
            shared: What the servers of the process share.
        """
        self._shared = shared
        self._board = board
        self._entry = entry
        self._log_writer = log_writer

    async def handle_request(
        self, request: web_api.Request
    ) -> web_api.Response:
        """Handles a caller's request."""
        if request.method == web_api.UNREADABLE:
            return answer_unreadable(request)
        answer = await self._entry.handle(headers.decode_request(request))
        return headers.encode_answer(answer)

    async def handle_readiness(
        self, request: web_api.Request
    ) -> web_api.Response:
        """Handles the platform's readiness check."""
        if request.path != READINESS_PATH:
            return web_api.Response(404)
        return web_api.Response(200 if self._board.is_ready() else 503)

    async def handle_resolve(
        self, request: web_api.Request
    ) -> web_api.Response:
        """Handles a caller's lookup of the addresses to connect to."""
        if request.path != RESOLVE_PATH:
            return web_api.Response(404)
        board = self._board
        addresses = [member.address for member in board.advertised.values()]
        own = board.identity.caller_address
        if board.leaving:
            addresses = [address for address in addresses if address != own]
        elif not addresses and own and board.is_ready():
            addresses = [own]
        if not addresses:
            return web_api.Response(503)
        lifetime_s = min(ADDRESS_LIFETIME_S, board.bounds.address_lifetime_s)
        body = msgspec.json.encode({"addrs": addresses, "ttl_s": lifetime_s})
        return web_api.Response(200, body, "application/json")

    async def handle_metrics(
        self, request: web_api.Request
    ) -> web_api.Response:
        """Returns the metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            return web_api.Response(404)
        board = self._board
        version = board.configuration.version if board.configuration else 0
        for name, value in (
            ("forward.running", board.running),
            ("vm.advertised", len(board.advertised)),
            ("vm.members", len(board.members)),
            ("searcher.known", len(board.targets)),
            ("store.reachable", int(board.contact.reachable)),
            ("configuration.revision", version),
            ("web.connections", self._shared.connections.count()),
            ("web.held_bytes", self._shared.budget.used_bytes),
        ):
            board.metrics.set_gauge(name, value)
        dropped = self._log_writer.dropped if self._log_writer else 0
        board.metrics.counts["log.dropped"] = dropped
        for name, value in (
            ("web.connections_replaced", self._shared.connections.replaced),
            ("web.connections_refused", self._shared.connections.refused),
            ("web.transfers_ended", self._shared.budget.ended),
            ("web.memory_refused", self._shared.budget.refused),
            ("web.turns_refused", self._shared.turns.refused),
        ):
            board.metrics.counts[name] = value
        body = exposition.render(board.metrics)
        return web_api.Response(200, body, exposition.CONTENT_TYPE)


async def answer(
    handler: web_api.Handler, request: web_api.Request
) -> web_api.Response:
    """Answers a request, also one that could not be read.

    Args:
        handler: Handles those that could be read.
        request: The request.
    """
    if request.method == web_api.UNREADABLE:
        return answer_unreadable(request)
    return await handler(request)


def answer_unreadable(request: web_api.Request) -> web_api.Response:
    """Answers a request that could not be read; see `web_api.UNREADABLE`."""
    status = int(request.path[1:])
    fields: tuple[tuple[str, str], ...] = ()
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        fields = (("Retry-After", RETRY_AFTER),)
    return web_api.Response(
        status, content_type="", headers=fields, closes_connection=True
    )
