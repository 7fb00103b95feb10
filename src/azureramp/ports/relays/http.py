"""HTTP client for requests to other VMs; shares the store's client code."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.relays import api, encoding
from azureramp.ports.web import api as web_api
from azureramp.ports.web import pools

RESPONSE_TIMEOUT_S = 0.4
"""Maximum time until a response begins, beyond the request's wait, and between
two parts of it, in seconds. A VM that hangs must be abandoned soon, since a
change has to be in force everywhere within a few seconds."""

MAX_VMS = 16
"""Maximum number of VMs with open connections. A VM uses one relay at a time
and tries others when it fails."""


class HttpRelayClient:
    """HTTP client of the other VMs; see `api.RelayClient`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        """Makes a client without connections."""
        self._pools = pools.Pools(MAX_VMS)

    async def request_changes(
        self, address: str, request: api.ChangesRequest
    ) -> expression.Result[api.Changes, errors.Failure]:
        """Requests changes from a VM; see `api.RelayClient`."""
        result = await self._pools.get(address).exchange(
            "POST",
            api.CHANGES_PATH,
            encoding.encode_request(request),
            timeout_s=request.wait_ms / 1000 + RESPONSE_TIMEOUT_S,
            transfer=web_api.Transfer(stall_s=RESPONSE_TIMEOUT_S),
        )
        kind = errors.Kind.STORE_UNAVAILABLE
        if result.is_error():
            return expression.Error(errors.Failure(kind, result.error.detail))
        if result.ok.status == 410:
            return expression.Error(
                errors.Failure(errors.Kind.STORE_HISTORY_GONE)
            )
        if result.ok.status != 200:
            detail = f"{address}: status {result.ok.status}"
            return expression.Error(errors.Failure(kind, detail))
        try:
            return expression.Ok(encoding.decode_changes(result.ok.body))
        except msgspec.DecodeError as error:
            return expression.Error(errors.Failure(kind, str(error)))

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pools.close()
