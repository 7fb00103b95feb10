"""Client for reports to drivers, over the calls between VMs."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.rollouts import api
from azureramp.ports.vms import http as vms_http

RESPONSE_TIMEOUT_S = 0.4
"""Maximum time for a response, in seconds. A driver that hangs must be replaced
soon."""

MAX_VMS = 4
"""Maximum number of VMs with open connections. Few VMs drive roll-outs at the
same time."""


class HttpDriverClient:
    """HTTP client of the drivers; see `api.DriverClient`."""

    __slots__ = ("_vms",)

    def __init__(self) -> None:
        """Makes a client without connections."""
        self._vms = vms_http.HttpVmClient(MAX_VMS)

    async def report(
        self, address: str, report: api.Report
    ) -> expression.Result[api.Grant, errors.Failure]:
        """Sends a report to a driver; see `api.DriverClient`."""
        result = await self._vms.call(
            address, api.REPORTS_PATH, api.encode(report), RESPONSE_TIMEOUT_S
        )
        if result.is_error():
            return expression.Error(result.error)
        try:
            return expression.Ok(api.decode_grant(result.ok))
        except msgspec.DecodeError as error:
            return expression.Error(
                errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
            )

    async def close(self) -> None:
        """Closes all idle connections."""
        await self._vms.close()
