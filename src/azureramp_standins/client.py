"""A caller: it asks for addresses and sends requests by HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection

CONNECT_S = 2.0


class Client:
    """A caller with its token.

    Attributes:
        addresses: The entry VMs' `IP:port`, best first.
    """

    __slots__ = ("_token", "addresses")

    def __init__(self, token: str, addresses: tuple[str, ...]) -> None:
        """Makes a caller that knows some first addresses."""
        self._token = token
        self.addresses = addresses

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> web_api.Response:
        """Sends a request to the first address that accepts connections.

        Args:
            method: The HTTP method.
            path: The path.
            body: The body, encoded as JSON; None for none.
            headers: Further headers.

        Returns:
            The response.

        Raises:
            ConnectionError: No address accepts connections.
            web_connection.BrokenError: The connection broke.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        for address in self.addresses:
            opened = await web_connection.connect(address, CONNECT_S)
            if opened.is_error():
                continue
            sent = list(headers)
            if self._token:
                sent.append(("Authorization", f"Bearer {self._token}"))
            try:
                return await opened.ok.exchange(method, path, sent, data)
            finally:
                opened.ok.abort()
        raise ConnectionError("no entry VM accepts connections")

    async def refresh(self) -> int:
        """Asks the system which addresses to use.

        Returns:
            How long they may be kept, in milliseconds.
        """
        response = await self.ask("GET", "/v1/addresses")
        answer = msgspec.json.decode(response.body)
        self.addresses = tuple(answer["addresses"])
        return int(answer["lifetime_ms"])
