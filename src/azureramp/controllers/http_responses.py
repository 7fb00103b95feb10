"""Converts results and failures to HTTP responses."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import msgspec

from azureramp import (
    errors,
    resources,
    responses,
    texts,
)
from azureramp.policy import rules
from azureramp.ports.web import api as web_api

RETRY_AFTER_MS_HEADER = "Azureramp-Retry-After-Ms"
"""Retry-After only supports whole seconds; this header has milliseconds."""


def make_ok(value: Any, status: int = 200) -> web_api.Response:
    """Creates a response with a JSON body.

    Args:
        value: Any value that msgspec can encode.
        status: The HTTP status.
    """
    return web_api.Response(status=status, body=msgspec.json.encode(value))


def make_error(
    failure: errors.Failure,
    *,
    request_id: str = "",
    addresses: tuple[str, ...] = (),
    current: resources.Versioned | None = None,
    problems: Sequence[rules.Problem] = (),
) -> web_api.Response:
    """Creates the response for a failure from the table of failure kinds.

    Args:
        failure: The failure.
        request_id: The request's id, if one was admitted.
        addresses: Other entry VMs to use, `IP:port`.
        current: The current entry, if a change was rejected as stale.
        problems: Validation problems of a resource.
    """
    body = make_error_body(
        failure,
        request_id=request_id,
        addresses=addresses,
        current=current,
        problems=problems,
    )
    headers: tuple[tuple[str, str], ...] = ()
    if body.retry_after_ms > 0:
        headers = (
            ("Retry-After", str(math.ceil(body.retry_after_ms / 1000))),
            (RETRY_AFTER_MS_HEADER, str(body.retry_after_ms)),
        )
    answer = failure.get_answer()
    return web_api.Response(
        status=answer.status,
        body=msgspec.json.encode(body),
        headers=headers,
        closes_connection=answer.retry is errors.Retry.OTHER_ADDRESS,
    )


def make_error_body(
    failure: errors.Failure,
    *,
    request_id: str = "",
    addresses: tuple[str, ...] = (),
    current: resources.Versioned | None = None,
    problems: Sequence[rules.Problem] = (),
) -> responses.ErrorAnswer:
    """Creates the response body for a failure; see `make_error`."""
    answer = failure.get_answer()
    text = texts.ERROR_TEXTS[failure.kind]
    return responses.ErrorAnswer(
        code=failure.kind.value,
        ran=answer.ran.value,
        retry=answer.retry.value,
        retry_after_ms=failure.get_retry_after_ms(),
        text_en=text.en,
        text_hu=text.hu,
        detail=failure.detail,
        request_id=request_id,
        addresses=addresses,
        present=current,
        problems=tuple(_make_problem(problem) for problem in problems),
    )


def _make_problem(problem: rules.Problem) -> responses.FieldProblem:
    text = texts.RULES[problem.rule]
    return responses.FieldProblem(
        field=problem.field,
        rule=problem.rule.value,
        value=problem.value,
        text_en=text.en,
        text_hu=text.hu,
    )
