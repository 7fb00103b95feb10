"""Reads and writes the headers of requests, calls and answers."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from azureramp import catalog
from azureramp.controllers.forwarding import requests
from azureramp.policy import identity
from azureramp.ports.forwarding import api
from azureramp.ports.web import api as web_api

REQUEST_ID = b"azureramp-request-id"
DEADLINE = b"azureramp-deadline-ms"
TARGET_INSTANCE = b"azureramp-target-instance"
SIGNATURE = b"azureramp-server-stamp"
NOT_EXECUTED = b"azureramp-not-executed"
SERVER_LOAD = b"azureramp-server-load"
COLD_REMAINING = b"azureramp-cold-remaining-ms"
ACCOUNT = b"azureramp-tenant"
AUTHORIZATION = b"authorization"
PART_SIGNATURES = "Azureramp-Part-Stamps"
MISSING_PARTS = "Azureramp-Missing-Parts"
REQUEST_ID_NAME = "Azureramp-Request-Id"

MISDIRECTED = 421

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1)."""

SET_BY_TIER = frozenset(
    (DEADLINE, TARGET_INSTANCE, b"content-length", b"expect")
)
"""Request headers that aren't forwarded: the tier either sets its own value for
each call or has already processed the header."""

IDENTITY_HEADERS = frozenset((ACCOUNT, AUTHORIZATION))
"""Request headers that are forwarded only where no client accounts are
configured: a key must not leave the VM, and a caller may not name an account.
"""

KEY_SCHEME = "token "

MAX_SLOWNESS = 1000.0
"""Largest multiple of the usual time that a load report may state."""

MAX_UNREADABLE_BYTES = 80
"""How much of an unreadable load report is kept for the log, in bytes."""

_LOAD = re.compile(
    rb"(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})"
    rb"(?:\s*,\s*(\d{1,9}(?:\.\d{1,9})?)(?:\s*,.*)?)?"
)

MAX_DEADLINE_MS = 3_600_000
"""Upper limit of the times read from headers, in milliseconds. It shortens no
caller's deadline, since the route's timeout is shorter still."""


class Codec:
    """The platform's implementation of `api.Codec`."""

    __slots__ = ()

    def encode_message(self, message: api.Message) -> api.Headers:
        """Returns the headers that all calls for a message share."""
        fields = list(message.headers)
        if message.account is None:
            fields += message.identity_headers
        elif message.account:
            fields.append((ACCOUNT, message.account.encode("latin-1")))
        if message.body or message.method not in (b"GET", b"HEAD"):
            length = str(len(message.body)).encode("ascii")
            fields.append((b"content-length", length))
        return fields

    def encode_call(self, call: api.Call) -> api.Headers:
        """Returns the headers specific to one call; see `api.Codec`."""
        left_ms = max(1, int(call.left_s * 1000))
        return (
            (DEADLINE, str(left_ms).encode("ascii")),
            (TARGET_INSTANCE, call.searcher.encode("latin-1")),
        )

    def read_id(self, fields: api.Headers) -> bytes:
        """Returns the request id of an answer; see `api.Codec`."""
        for name, value in fields:
            if name == REQUEST_ID:
                return value
        return b""

    def decode_reply(
        self, status: int, fields: api.Headers, body: bytes
    ) -> api.Reply:
        """Decodes a searcher's answer; see `api.Codec`."""
        values = dict(fields)
        misdirected = status == MISDIRECTED
        not_run = misdirected or NOT_EXECUTED in values
        return api.Reply(
            status=status,
            headers=fields,
            body=body,
            signature=values.get(SIGNATURE, b""),
            ran=api.Execution.NO if not_run else api.Execution.YES,
            misdirected=misdirected,
            load=_parse_load(values.get(SERVER_LOAD)),
            cold_s=_parse_milliseconds(values.get(COLD_REMAINING)),
        )


def decode_request(
    request: web_api.Request,
) -> requests.IncomingRequest | requests.MalformedRequest:
    """Extracts what the tier needs from a caller's request.

    Args:
        request: The request as the server read it, undecoded.

    Returns:
        The request; `requests.MalformedRequest` if it has no id or if its
        deadline isn't a number.
    """
    host = request_id = b""
    deadline: bytes | None = None
    credentials: list[str] = []
    for name, value in request.raw_headers:
        if name == b"host":
            host = value
        elif name == REQUEST_ID:
            request_id = value
        elif name == DEADLINE:
            deadline = value
        elif name == AUTHORIZATION:
            credentials.append(_decode_credentials(value))
    if not request_id:
        return requests.MalformedRequest("no request id")
    deadline_s: float | None = None
    if deadline is not None:
        deadline_s = _parse_milliseconds(deadline)
        if deadline_s is None:
            return requests.MalformedRequest("the deadline is not a number")
    path = request.raw_target.partition(b"?")[0].decode("latin-1")
    fields = _filter_end_to_end(request.raw_headers, SET_BY_TIER)
    return requests.IncomingRequest(
        id=request_id.decode("latin-1"),
        host=host.decode("latin-1").partition(":")[0].lower(),
        path=path,
        deadline_s=deadline_s,
        began_s=request.received_s,
        round_trip_s=request.round_trip_s,
        connection_setup_s=request.round_trip_s
        if request.is_first_on_connection
        else 0.0,
        key=identity.extract_token(credentials, KEY_SCHEME),
        message=api.Message(
            id=request_id,
            method=request.method.encode("ascii"),
            target=request.raw_target,
            headers=[
                field for field in fields if field[0] not in IDENTITY_HEADERS
            ],
            body=request.body,
            holding=request.holding,
            identity_headers=[
                field for field in fields if field[0] in IDENTITY_HEADERS
            ],
        ),
    )


def encode_answer(answer: requests.Answer) -> web_api.Response:
    """Encodes an answer to a caller as an HTTP response."""
    match answer:
        case requests.SearcherAnswer(reply=reply):
            return web_api.Response(
                status=reply.status,
                body=reply.body,
                content_type="",
                headers=_to_text(_filter_end_to_end(reply.headers)),
            )
        case requests.MergedAnswer():
            signatures = b", ".join(answer.signatures).decode("latin-1")
            return web_api.Response(
                status=200,
                body=answer.body,
                content_type="application/octet-stream",
                headers=(
                    (REQUEST_ID_NAME, answer.request_id),
                    (PART_SIGNATURES, signatures),
                    (MISSING_PARTS, str(answer.missing)),
                ),
            )
        case requests.Refusal(failure=failure, request_id=request_id):
            headers = [(REQUEST_ID_NAME, request_id)] if request_id else []
            retry_after_ms = failure.get_retry_after_ms()
            error_answer = failure.get_answer()
            if retry_after_ms and error_answer.status in (429, 503):
                retry_after = f"{retry_after_ms / 1000:.3f}"
                headers.append(("Retry-After", retry_after))
            return web_api.Response(
                status=error_answer.status,
                body=failure.kind.value.encode("ascii"),
                content_type="text/plain; charset=utf-8",
                headers=tuple(headers),
                closes_connection=answer.closes_connection,
            )


def apply_limits(limits: catalog.RequestLimits, target: web_api.Limits) -> None:
    """Applies the limits on callers' requests to a server.

    Args:
        limits: The limits of the configuration in force.
        target: The server's limits, changed in place.
    """
    target.max_header_bytes = limits.max_header_bytes
    target.max_body_bytes = limits.max_body_bytes
    target.header_timeout_s = limits.header_timeout_s
    target.idle_timeout_s = limits.idle_timeout_s


def _filter_end_to_end(
    fields: Iterable[tuple[bytes, bytes]],
    excluded: frozenset[bytes] = frozenset((b"content-length",)),
) -> list[tuple[bytes, bytes]]:
    """Returns the headers that apply end to end, without the excluded ones."""
    fields = list(fields)
    connection_names: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            connection_names.update(
                part.strip().lower() for part in value.split(b",")
            )
    return [
        (name, value)
        for name, value in fields
        if name not in HOP_BY_HOP
        and name not in excluded
        and name not in connection_names
    ]


def _decode_credentials(value: bytes) -> str:
    """Decodes an `Authorization` header as UTF-8, otherwise as Latin-1.

    HTTP doesn't define the encoding, and clients use either one.
    """
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _to_text(
    fields: Sequence[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Decodes header names and values for a response."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in fields
    )


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Parses a number of milliseconds to seconds; None if it is invalid."""
    if value is None:
        return None
    value = value.strip()
    if not value.isdigit():
        return None
    return min(int(value[:9]), MAX_DEADLINE_MS) / 1000


def _parse_load(
    value: bytes | None,
) -> api.Load | api.UnreadableLoad | None:
    """Parses a searcher's load: requests running, requests waiting, slots.

    A fourth figure is the time that work takes on its backend server, in
    percent of the usual time. Figures beyond the fourth are ignored.
    """
    if value is None:
        return None
    match = _LOAD.fullmatch(value.strip())
    slowness = None
    if match is not None and match[4] is not None:
        slowness = float(match[4]) / 100
    if match is None or (
        slowness is not None and not 0.0 < slowness <= MAX_SLOWNESS
    ):
        return api.UnreadableLoad(
            value[:MAX_UNREADABLE_BYTES].decode("latin-1")
        )
    running, waiting, slots = (int(match[index]) for index in (1, 2, 3))
    return api.Load(running, waiting, slots, slowness)
