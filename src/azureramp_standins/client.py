"""HTTP client of a caller, which fetches the entry VMs' addresses."""

from __future__ import annotations

from typing import Any

import msgspec

from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection

CONNECT_TIMEOUT_S = 2.0


class Client:
    """Client that authenticates with a caller's token.

    Attributes:
        addresses: `IP:port` of the entry VMs, in order of preference.
    """

    __slots__ = ("_token", "addresses")

    def __init__(self, token: str, addresses: tuple[str, ...]) -> None:
        """Initializes the client with the addresses to use at first."""
        self._token = token
        self.addresses = addresses

    async def send_request(
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
            body: The body, which is encoded as JSON; None sends no body.
            headers: Additional headers.

        Returns:
            The response.

        Raises:
            ConnectionError: No address accepts connections.
            web_connection.ConnectionBrokenError: The connection was lost.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        for address in self.addresses:
            opened = await web_connection.connect(address, CONNECT_TIMEOUT_S)
            if opened.is_error():
                continue
            all_headers = list(headers)
            if self._token:
                all_headers.append(("Authorization", f"Bearer {self._token}"))
            try:
                return await opened.ok.exchange(method, path, all_headers, data)
            finally:
                opened.ok.abort()
        raise ConnectionError("no entry VM accepts connections")

    async def refresh_addresses(self) -> int:
        """Replaces the addresses with those that an entry VM advertises.

        Returns:
            Time for which the addresses may be cached, in milliseconds.
        """
        response = await self.send_request("GET", "/v1/addresses")
        answer = msgspec.json.decode(response.body)
        self.addresses = tuple(answer["addresses"])
        return int(answer["lifetime_ms"])
