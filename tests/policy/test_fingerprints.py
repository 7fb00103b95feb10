"""The hash that identifies a request to which crashes are attributed."""

from __future__ import annotations

import pytest

from azureramp.policy import fingerprints


def test_the_fingerprint_does_not_depend_on_the_encoding() -> None:
    one = fingerprints.compute_fingerprint(
        "cover", b'{"a": 1, "b": [2, "\\u00e1"]}'
    )
    other = fingerprints.compute_fingerprint(
        "cover", '{"b":[2,"á"],"a":1}'.encode()
    )

    assert one == other
    assert 0 <= one < 2**64


@pytest.mark.parametrize(
    ("index", "body"),
    [("cover", b'{"a":2}'), ("ledger", b'{"a":1}'), ("cover", b'{"b":1}')],
)
def test_different_queries_have_different_fingerprints(
    index: str, body: bytes
) -> None:
    one = fingerprints.compute_fingerprint("cover", b'{"a":1}')

    assert fingerprints.compute_fingerprint(index, body) != one


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"1e999", b"\xff", b"[" * 100_000 + b"]" * 100_000],
)
def test_an_invalid_body_has_a_fingerprint_too(body: bytes) -> None:
    one = fingerprints.compute_fingerprint("cover", body)

    assert one == fingerprints.compute_fingerprint("cover", body)
    assert one != fingerprints.compute_fingerprint("cover", body + b" 1")
