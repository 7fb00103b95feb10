"""Calls of the resource API, at the first entry VM that answers."""

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

CONNECT_S = 2.0
"""Longest wait for a connection, in seconds."""


def make_error_answer(
    kind: errors.Kind,
    detail: str = "",
    ran: errors.Ran | None = None,
) -> responses.ErrorAnswer:
    """Makes the answer for a failure that the tool itself found."""
    answer = errors.ANSWERS[kind]
    text = texts.KINDS[kind]
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
    """Calls entry VMs in turn.

    Attributes:
        common: The addresses, the token and the longest wait.
    """

    __slots__ = ("common",)

    def __init__(self, common: options.Common) -> None:
        """Keeps what every call needs."""
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
        """Calls the first entry VM that takes the request.

        A change whose answer was lost is sent to the next VM too: its
        expected revision lets it take effect once only, and its id tells the
        next VM that it did. If no VM settles it, the outcome is unknown.

        Args:
            answer: The type of the answer.
            method: The HTTP method.
            path: The path, not encoded.
            query: Parameters.
            body: The body, JSON.
            wait_s: How long the VM is asked to wait, in seconds, on top of
                the longest wait for an answer.

        Returns:
            The answer, or the error's.
        """
        target = urllib.parse.quote(path)
        if query:
            target += "?" + urllib.parse.urlencode(query)
        failure = make_error_answer(
            errors.Kind.CONNECTION_LOST, ran=errors.Ran.NOT_RUN
        )
        unsettled: responses.ErrorAnswer | None = None
        for address in self.common.addresses:
            result = await self._exchange(address, method, target, body, wait_s)
            if result.is_ok() and result.ok.status < 300:
                return _decode(result.ok, answer)
            failure = (
                result.error if result.is_error() else _decode_error(result.ok)
            )
            if failure.ran == errors.Ran.UNKNOWN.value and method != "GET":
                unsettled = failure
            if not _is_for_others(failure):
                break
        if unsettled is None:
            return expression.Error(failure)
        # A refusal of a later VM says "not run" of its own try only.
        return expression.Error(
            msgspec.structs.replace(unsettled, present=failure.present)
        )

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        wait_s: float,
    ) -> expression.Result[web_api.Response, responses.ErrorAnswer]:
        """Makes one exchange on a connection of its own."""
        connected = await connection.connect(address, CONNECT_S)
        if connected.is_error():
            return expression.Error(
                make_error_answer(
                    errors.Kind.CONNECTION_LOST,
                    connected.error.detail,
                    errors.Ran.NOT_RUN,
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
        except connection.UnsentError as error:
            return expression.Error(
                make_error_answer(
                    errors.Kind.CONNECTION_LOST,
                    f"{address}: {error}",
                    errors.Ran.NOT_RUN,
                )
            )
        except (connection.BrokenError, TimeoutError) as error:
            kind = errors.Kind.CONNECTION_LOST
            if method != "GET":
                kind = errors.Kind.STORE_OUTCOME_UNKNOWN
            detail = f"{address}: {error or 'no answer in time'}"
            return expression.Error(make_error_answer(kind, detail))
        finally:
            link.abort()
        return expression.Ok(response)


def _is_for_others(failure: responses.ErrorAnswer) -> bool:
    """Tells whether another VM may answer where this one failed."""
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
    """Reads an answer; a foreign one is told as a failure."""
    try:
        return expression.Ok(msgspec.json.decode(response.body, type=answer))
    except msgspec.DecodeError as error:
        return expression.Error(
            make_error_answer(errors.Kind.INTERNAL, f"not understood: {error}")
        )


def _decode_error(response: web_api.Response) -> responses.ErrorAnswer:
    """Reads an error's answer; a foreign one is told by its status."""
    try:
        return msgspec.json.decode(response.body, type=responses.ErrorAnswer)
    except msgspec.DecodeError:
        return make_error_answer(
            errors.Kind.INTERNAL, f"HTTP status {response.status}"
        )
