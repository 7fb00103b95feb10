"""Asking other VMs over HTTP, by the same client as the store's."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.relays import api, encoding
from azureramp.ports.web import pools

ANSWER_S = 0.4
"""Longest time that an answer may take beyond the wait, in seconds. A VM that
stands still must be left soon: a change has some seconds to be in force."""

MOST_VMS = 16
"""Most VMs that connections are kept to; a VM asks one, and tries others."""


class HttpRelays:
    """The other VMs over HTTP; see `api.Relays`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        """Makes it without connections."""
        self._pools = pools.Pools(MOST_VMS)

    async def ask(
        self, address: str, question: api.Question
    ) -> expression.Result[api.Changes, errors.Failure]:
        """Asks a VM for changes; see `api.Relays`."""
        result = await self._pools.get(address).exchange(
            "POST",
            api.CHANGES_PATH,
            encoding.encode_question(question),
            timeout_s=question.wait_ms / 1000 + ANSWER_S,
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
        """Closes every idle connection."""
        self._pools.close()
