"""Reporting to drivers over HTTP, by the same client as the store's."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.rollouts import api
from azureramp.ports.web import pools

ANSWER_S = 0.4
"""Longest wait for an answer, in seconds. A driver that stands still must be
replaced soon."""

MOST_VMS = 4
"""Most VMs that connections are kept to; few drive roll-outs at once."""


class HttpDrivers:
    """The drivers over HTTP; see `api.Drivers`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        """Makes it without connections."""
        self._pools = pools.Pools(MOST_VMS)

    async def report(
        self, address: str, report: api.Report
    ) -> expression.Result[api.Grant, errors.Failure]:
        """Reports to a VM; see `api.Drivers`."""
        result = await self._pools.get(address).exchange(
            "POST",
            api.REPORTS_PATH,
            api.encode(report),
            timeout_s=ANSWER_S,
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
        """Closes every idle connection."""
        self._pools.close()
