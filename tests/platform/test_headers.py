"""Tests of the headers of requests, calls and answers."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from azureramp import errors
from azureramp.controllers.forwarding import requests
from azureramp.platform import headers
from azureramp.ports.forwarding import api
from azureramp.ports.web import api as web_api


def make_request(*extra: tuple[bytes, bytes]) -> web_api.Request:
    fields = (
        (b"host", b"Search.Example:8104"),
        (b"azureramp-request-id", b"r1"),
        *extra,
    )
    return web_api.Request(
        "POST", "", {}, {}, b"x", b"/a/b?c", fields, received_s=3.0
    )


def test_only_end_to_end_headers_are_forwarded() -> None:
    incoming = headers.decode_request(
        make_request(
            (b"connection", b"close, x-mine"),
            (b"x-mine", b"1"),
            (b"x-yours", b"2"),
            (b"transfer-encoding", b"chunked"),
            (b"azureramp-deadline-ms", b"300"),
            (b"azureramp-target-instance", b"forged"),
        )
    )
    assert isinstance(incoming, requests.IncomingRequest)
    assert incoming.host == "search.example"
    assert incoming.deadline_s == 0.3
    call = api.Call(incoming.message, "i-7", 0.25)
    codec = headers.Codec()
    common = codec.encode_message(incoming.message)
    sent = dict((*common, *codec.encode_call(call)))
    assert sent == {
        b"host": b"Search.Example:8104",
        b"azureramp-request-id": b"r1",
        b"x-yours": b"2",
        b"content-length": b"1",
        b"azureramp-deadline-ms": b"250",
        b"azureramp-target-instance": b"i-7",
    }
    assert len(sent) == len(common) + 2


@pytest.mark.parametrize("value", [b"soon", b"", b"-5", b"1.5"])
def test_request_with_invalid_deadline_is_malformed(value: bytes) -> None:
    request = make_request((b"azureramp-deadline-ms", value))
    assert isinstance(
        headers.decode_request(request), requests.MalformedRequest
    )


def test_request_without_id_is_malformed() -> None:
    request = web_api.Request("GET", "", {}, {}, b"", b"/a/", ())
    assert isinstance(
        headers.decode_request(request), requests.MalformedRequest
    )


@pytest.mark.parametrize(
    ("status", "fields", "ran"),
    [
        (503, ((b"azureramp-not-executed", b"1"),), api.Execution.NO),
        (421, (), api.Execution.NO),
        (503, (), api.Execution.YES),
        (200, ((b"azureramp-server-stamp", b"s"),), api.Execution.YES),
    ],
)
def test_reply_states_whether_the_call_ran(
    status: int, fields: api.Headers, ran: api.Execution
) -> None:
    reply = headers.Codec().decode_reply(status, fields, b"")
    assert reply.ran is ran


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,2", api.Load(3, 1, 2)),
        (b" 3 , 1 , 2 ", api.Load(3, 1, 2)),
        (b"3,1,2,250", api.Load(3, 1, 2, 2.5)),
        (b"3, 1, 2, 87.5", api.Load(3, 1, 2, 0.875)),
        (b"3,1,2,100,7", api.Load(3, 1, 2, 1.0)),
        (b"3,1,2,100,new,figures", api.Load(3, 1, 2, 1.0)),
    ],
)
def test_a_load_report_has_three_figures_or_more(
    value: bytes, load: api.Load
) -> None:
    fields = ((b"azureramp-server-load", value),)
    assert headers.Codec().decode_reply(200, fields, b"").load == load


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"3",
        b"3,1",
        b"3,x",
        b"3,1,2,",
        b"3,1,2,x",
        b"3,1,2,nan",
        b"3,1,2,1e3",
        b"3,1,2,0",
        b"-3,1,2",
        b"3,1,2,-250",
        b"3,1,2,99999999999",
        b"9999999999,1,2,100",
        b"\xff\x00",
        b"9" * 10_000,
    ],
)
def test_an_unreadable_load_report_is_kept_for_the_log(value: bytes) -> None:
    """Guards against reports that are dropped without a trace.

    A searcher reported one figure more than was read, and all of its reports
    were ignored unnoticed.
    """
    fields = ((b"azureramp-server-load", value),)
    load = headers.Codec().decode_reply(200, fields, b"").load
    assert isinstance(load, api.UnreadableLoad)
    assert len(load.text) <= headers.MAX_UNREADABLE_BYTES


def test_a_reply_without_a_load_report_has_none() -> None:
    assert headers.Codec().decode_reply(200, (), b"").load is None


def test_retry_after_is_sent_only_for_requests_that_did_not_run() -> None:
    shed = requests.Refusal(errors.Failure(errors.Kind.SHED), "r1")
    response = headers.encode_answer(shed)
    assert response.status == 503
    assert ("Retry-After", "0.500") in response.headers
    unknown = requests.Refusal(errors.Failure(errors.Kind.OUTCOME_UNKNOWN))
    response = headers.encode_answer(unknown)
    assert response.status == 502
    assert "Retry-After" not in dict(response.headers)


def read_key(*values: bytes) -> str:
    fields = ((b"authorization", value) for value in values)
    incoming = headers.decode_request(make_request(*fields))
    assert isinstance(incoming, requests.IncomingRequest)
    return incoming.key


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([b"Token k"], "k"),
        ([b"TOKEN  k"], "k"),
        (["Token ké".encode()], "ké"),
        (["Token ké".encode("latin-1")], "ké"),
        ([b"Token k\xff\x80"], "k\xff\x80"),
        ([b"Token " + b"k" * 512], "k" * 512),
        ([b"Token " + b"k" * 513], ""),
        ([b"Token"], ""),
        ([b"Token "], ""),
        ([b"Token\tk"], ""),
        ([b"Basic k"], ""),
        ([b"Token k", b"Token k"], ""),
        ([], ""),
    ],
)
def test_key_of_the_authorization_header(values: list[bytes], key: str) -> None:
    assert read_key(*values) == key


NAMES = strategies.sampled_from(
    [b"authorization", b"azureramp-tenant", b"connection", b"x-other", b"te"]
)
VALUES = strategies.one_of(
    strategies.binary(max_size=20),
    strategies.sampled_from(
        [b"Token k-1", b"token k-1", b"authorization", b"x-other", b"Token "]
    ),
)


@hypothesis.given(
    fields=strategies.lists(strategies.tuples(NAMES, VALUES), max_size=5),
    account=strategies.sampled_from(["", "yard"]),
)
def test_any_headers_are_decoded_and_no_key_is_forwarded(
    fields: list[tuple[bytes, bytes]], account: str
) -> None:
    """Guards against a key or a forged account among the forwarded headers."""
    incoming = headers.decode_request(make_request(*fields))
    assert isinstance(incoming, requests.IncomingRequest)
    incoming.message.account = account
    sent = headers.Codec().encode_message(incoming.message)
    assert not any(name == b"authorization" for name, _ in sent)
    named = [value for name, value in sent if name == b"azureramp-tenant"]
    assert named == ([account.encode()] if account else [])
    values = [value for name, value in fields if name == b"authorization"]
    if len(values) == 1 and values[0].lower() == b"token k-1":
        assert incoming.key == "k-1"
    if len(values) != 1:
        assert not incoming.key
    assert "k-1" not in f"{incoming!r}" or any(
        b"k-1" in value for name, value in fields if name == b"x-other"
    )
