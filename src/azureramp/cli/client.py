"""Client of the resource API, with failover between entry VMs."""

from __future__ import annotations

import asyncio
import urllib.parse
from collections.abc import Mapping
from typing import TypeVar

import expression
import msgspec

from azureramp import errors, responses, texts
from azureramp.cli import options
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection

_T = TypeVar("_T")

CONNECT_TIMEOUT_S = 2.0
"""Maximum time to open a connection, in seconds."""


def make_error_answer(
    kind: errors.Kind,
    detail: str = "",
    ran: errors.Execution | None = None,
) -> responses.ErrorAnswer:
    """Builds the error answer for a failure that the tool itself detected."""
    answer = errors.ANSWERS[kind]
    text = texts.ERROR_TEXTS[kind]
    return responses.ErrorAnswer(
        code=kind.value,
        ran=(ran or answer.ran).value,
        retry=answer.retry.value,
        retry_after_ms=answer.retry_after_ms,
        text_en=text.en,
        text_hu=text.hu,
        detail=detail,
    )


class Client:
    """Calls the entry VMs in order until one answers.

    Attributes:
        common: The addresses, the token and the timeout.
    """

    __slots__ = ("common",)

    def __init__(self, common: options.CommonOptions) -> None:
        """Initializes the client; opens no connection yet."""
        self.common = common

    async def call(
        self,
        answer: type[_T],
        method: str,
        path: str,
        query: Mapping[str, str | int] | None = None,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> expression.Result[_T, responses.ErrorAnswer]:
        """Sends a request to the entry VMs in order until one handles it.

        A change whose answer was lost is sent to the next VM too. This is
        safe: the expected revision in the request allows it to take effect
        only once, and the change id of a write lets the next VM recognize
        a change that has already taken effect. If no VM confirms the change,
        the outcome is unknown.

        Args:
            answer: The type to decode the answer as.
            method: The HTTP method.
            path: The path, without percent-encoding.
            query: The query parameters.
            body: The request body, encoded as JSON.
            wait_s: How long the request asks the VM to wait, in seconds;
                added to the timeout.

        Returns:
            The decoded answer, or the error answer.
        """
        target = urllib.parse.quote(path)
        if query:
            target += "?" + urllib.parse.urlencode(query)
        failure = make_error_answer(
            errors.Kind.CONNECTION_LOST, ran=errors.Execution.NOT_RUN
        )
        unknown_outcome: responses.ErrorAnswer | None = None
        for address in self.common.addresses:
            result = await self._exchange(address, method, target, body, wait_s)
            if result.is_ok() and result.ok.status < 300:
                return _decode(result.ok, answer)
            failure = (
                result.error if result.is_error() else _decode_error(result.ok)
            )
            if (
                failure.ran == errors.Execution.UNKNOWN.value
                and method != "GET"
            ):
                unknown_outcome = failure
            if not _may_succeed_elsewhere(failure):
                break
        if unknown_outcome is None:
            return expression.Error(failure)
        # A later VM's "not_run" covers only its own attempt; the earlier
        # attempt may still have taken effect.
        return expression.Error(
            msgspec.structs.replace(unknown_outcome, present=failure.present)
        )

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        wait_s: float,
    ) -> expression.Result[web_api.Response, responses.ErrorAnswer]:
        """Sends one request over a new connection."""
        connected = await connection.connect(address, CONNECT_TIMEOUT_S)
        if connected.is_error():
            return expression.Error(
                make_error_answer(
                    errors.Kind.CONNECTION_LOST,
                    connected.error.detail,
                    errors.Execution.NOT_RUN,
                )
            )
        link = connected.ok
        headers = [
            ("Authorization", f"Bearer {self.common.token}"),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ]
        try:
            async with asyncio.timeout(self.common.timeout_s + wait_s):
                response = await link.exchange(method, target, headers, body)
        except connection.NotSentError as error:
            return expression.Error(
                make_error_answer(
                    errors.Kind.CONNECTION_LOST,
                    f"{address}: {error}",
                    errors.Execution.NOT_RUN,
                )
            )
        except (connection.ConnectionBrokenError, TimeoutError) as error:
            kind = errors.Kind.CONNECTION_LOST
            if method != "GET":
                kind = errors.Kind.STORE_OUTCOME_UNKNOWN
            detail = f"{address}: {error or 'no answer in time'}"
            return expression.Error(make_error_answer(kind, detail))
        finally:
            link.abort()
        return expression.Ok(response)


def _may_succeed_elsewhere(failure: responses.ErrorAnswer) -> bool:
    """Returns True if another VM may answer where this one failed."""
    return failure.retry == errors.Retry.OTHER_ADDRESS.value or (
        failure.code
        in (
            errors.Kind.CONNECTION_LOST.value,
            errors.Kind.STORE_OUTCOME_UNKNOWN.value,
            errors.Kind.STORE_UNAVAILABLE.value,
            errors.Kind.INTERNAL.value,
        )
    )


def _decode(
    response: web_api.Response, answer: type[_T]
) -> expression.Result[_T, responses.ErrorAnswer]:
    """Decodes an answer; one that can't be decoded becomes an error."""
    try:
        return expression.Ok(msgspec.json.decode(response.body, type=answer))
    except msgspec.DecodeError as error:
        return expression.Error(
            make_error_answer(
                errors.Kind.INTERNAL, f"malformed answer: {error}"
            )
        )


def _decode_error(response: web_api.Response) -> responses.ErrorAnswer:
    """Decodes an error answer; falls back to the HTTP status."""
    try:
        return msgspec.json.decode(response.body, type=responses.ErrorAnswer)
    except msgspec.DecodeError:
        return make_error_answer(
            errors.Kind.INTERNAL, f"HTTP status {response.status}"
        )
