"""HTTP client for reports to drivers; shares the store's client code."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.rollouts import api
from azureramp.ports.web import pools

RESPONSE_TIMEOUT_S = 0.4
"""Maximum time for a response, in seconds. A driver that hangs must be replaced
soon."""

MAX_VMS = 4
"""Maximum number of VMs with open connections. Few VMs drive roll-outs at the
same time."""


class HttpDriverClient:
    """HTTP client of the drivers; see `api.DriverClient`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        """Makes a client without connections."""
        self._pools = pools.Pools(MAX_VMS)

    async def report(
        self, address: str, report: api.Report
    ) -> expression.Result[api.Grant, errors.Failure]:
        """Sends a report to a driver; see `api.DriverClient`."""
        result = await self._pools.get(address).exchange(
            "POST",
            api.REPORTS_PATH,
            api.encode(report),
            timeout_s=RESPONSE_TIMEOUT_S,
        )
        lost = errors.Kind.CONNECTION_LOST
        if result.is_error():
            return expression.Error(errors.Failure(lost, result.error.detail))
        if result.ok.status != 200:
            return expression.Error(
                errors.Failure(
                    errors.Kind.NOT_OWNER, f"status {result.ok.status}"
                )
            )
        try:
            return expression.Ok(api.decode_grant(result.ok.body))
        except msgspec.DecodeError as error:
            return expression.Error(errors.Failure(lost, str(error)))

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pools.close()
