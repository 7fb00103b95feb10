"""Sends results to the coordinators, batched by request."""

from __future__ import annotations

import asyncio

from azureramp import errors, messages
from azureramp.controllers import outbox as outbox_module


class Replies:
    """Sends all results of one event loop iteration together."""

    __slots__ = ("_outbox", "_pending")

    def __init__(self, outbox: outbox_module.Outbox) -> None:
        """Creates an instance without pending results."""
        self._outbox = outbox
        self._pending: dict[tuple[str, str], list[messages.PartResult]] = {}

    def send(
        self, coordinator: str, request_id: str, result: messages.PartResult
    ) -> None:
        """Sends a result in the next iteration of the event loop.

        Args:
            coordinator: The VM that sent the sub-request.
            request_id: The request's id.
            result: The result of one of its sub-requests.
        """
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.setdefault((coordinator, request_id), []).append(result)

    def _flush(self) -> None:
        """Sends one message per request through the outbox."""
        pending, self._pending = self._pending, {}
        for (coordinator, request_id), results in pending.items():
            self._outbox.send(
                coordinator,
                messages.PartResults(
                    request_id=request_id, results=tuple(results)
                ),
            )


def make_failed(
    part: int, failure: errors.Failure, sent: bool
) -> messages.PartFailed:
    """Creates the result of a failed sub-request.

    Args:
        part: The sub-request's number.
        failure: The failure.
        sent: True if its first byte may have been written.
    """
    return messages.PartFailed(
        part,
        failure.kind.value,
        sent,
        failure.get_retry_after_ms(),
        failure.detail,
    )
