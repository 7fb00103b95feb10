"""Tests of the encoding of requests for changes and of the responses."""

from __future__ import annotations

import msgspec
import pytest

from azureramp import catalog
from azureramp.ports.relays import api, encoding
from azureramp.ports.store import api as store_api

ENTRIES = (
    store_api.Entry("op/config", b"x" * 100, 7),
    store_api.Entry("servers/a", None, 8),
)


def test_a_request_is_decoded_as_it_was_encoded() -> None:
    member = catalog.Member("vm-1", "a", "f:1", "p:1", 2.15, leaving=False)
    request = api.ChangesRequest("vm-1", 7, 1000, member)
    data = encoding.encode_request(request)
    assert encoding.decode_request(data) == request


@pytest.mark.parametrize("size", [10, 100_000])
def test_changes_are_decoded_as_they_were_encoded(size: int) -> None:
    entries = (*ENTRIES, store_api.Entry("servers/b", b"route " * size, 9))
    packed = encoding.encode_entries(entries)
    data = encoding.encode_changes(9, 40, 3_600_000, True, packed)
    assert encoding.decode_changes(data) == api.Changes(
        9, 40, 3_600_000, entries, announced=True
    )
    if size > 1000:
        assert len(data) < size / 10


@pytest.mark.parametrize("data", [b"", b"\xc1", b"not an answer"])
def test_malformed_data_is_rejected(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        encoding.decode_changes(data)
    with pytest.raises(msgspec.DecodeError):
        encoding.decode_request(data)


def test_malformed_compressed_data_is_rejected() -> None:
    packed = encoding.EncodedEntries(True, b"no zlib")
    data = encoding.encode_changes(9, 40, 0, False, packed)
    with pytest.raises(msgspec.DecodeError):
        encoding.decode_changes(data)
