"""The hash by which crashes are blamed on a request."""

from __future__ import annotations

import pytest

from azureramp.policy import fingerprints


def test_the_same_query_encoded_another_way_has_the_same_fingerprint() -> None:
    one = fingerprints.compute("cover", b'{"a": 1, "b": [2, "\\u00e1"]}')
    other = fingerprints.compute("cover", '{"b":[2,"á"],"a":1}'.encode())

    assert one == other
    assert 0 <= one < 2**64


@pytest.mark.parametrize(
    ("index", "body"),
    [("cover", b'{"a":2}'), ("ledger", b'{"a":1}'), ("cover", b'{"b":1}')],
)
def test_another_query_has_another_fingerprint(index: str, body: bytes) -> None:
    one = fingerprints.compute("cover", b'{"a":1}')

    assert fingerprints.compute(index, body) != one


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"1e999", b"\xff", b"[" * 100_000 + b"]" * 100_000],
)
def test_a_body_that_cant_be_read_has_one_all_the_same(body: bytes) -> None:
    one = fingerprints.compute("cover", body)

    assert one == fingerprints.compute("cover", body)
    assert one != fingerprints.compute("cover", body + b" 1")
