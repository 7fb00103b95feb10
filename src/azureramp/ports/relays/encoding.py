"""Encoding of requests for changes and of the responses."""

from __future__ import annotations

import zlib

import msgspec

from azureramp.ports.relays import api
from azureramp.ports.store import api as store_api

CONTENT_TYPE = "application/msgpack"

MAX_UNCOMPRESSED_BYTES = 2048
"""Encoded size above which entries are compressed, in bytes. A configuration of
many routes is sent to every VM of a zone at once, over one VM's link."""

COMPRESSION_LEVEL = 1


class ChangesBody(msgspec.Struct, frozen=True):
    """Wire format of `api.Changes`.

    Attributes:
        revision: As in `api.Changes`.
        age_ms: As in `api.Changes`, in milliseconds.
        regained_ms: As in `api.Changes`, in milliseconds.
        announced: As in `api.Changes`.
        packed: The encoded entries.
        compressed: True if `packed` is compressed with zlib.
        confirmed_age_ms: As in `api.Changes`, in milliseconds.
        has_more: As in `api.Changes`.
    """

    revision: int
    age_ms: int
    regained_ms: int
    announced: bool
    compressed: bool
    packed: bytes
    confirmed_age_ms: int | None = None
    has_more: bool = False


class EncodedEntries(msgspec.Struct, frozen=True):
    """Encoded entries, which several responses may share.

    Attributes:
        compressed: True if `data` is compressed with zlib.
        data: The encoded entries.
    """

    compressed: bool
    data: bytes


_request_decoder = msgspec.msgpack.Decoder(api.ChangesRequest)
_body_decoder = msgspec.msgpack.Decoder(ChangesBody)
_entries_decoder = msgspec.msgpack.Decoder(tuple[store_api.Entry, ...])


def encode_request(request: api.ChangesRequest) -> bytes:
    """Encodes a request."""
    return msgspec.msgpack.encode(request)


def decode_request(data: bytes) -> api.ChangesRequest:
    """Decodes a request.

    Raises:
        DecodeError: The data is malformed.
    """
    return _request_decoder.decode(data)


def encode_entries(entries: tuple[store_api.Entry, ...]) -> EncodedEntries:
    """Encodes entries, and compresses them if they are large."""
    data = msgspec.msgpack.encode(entries)
    if len(data) <= MAX_UNCOMPRESSED_BYTES:
        return EncodedEntries(False, data)
    return EncodedEntries(True, zlib.compress(data, COMPRESSION_LEVEL))


def encode_changes(
    revision: int,
    age_ms: int,
    regained_ms: int,
    announced: bool,
    packed: EncodedEntries,
    confirmed_age_ms: int | None = None,
    has_more: bool = False,
) -> bytes:
    """Encodes a response; see `api.Changes` for the arguments."""
    body = ChangesBody(
        revision,
        age_ms,
        regained_ms,
        announced,
        packed.compressed,
        packed.data,
        confirmed_age_ms,
        has_more,
    )
    return msgspec.msgpack.encode(body)


def decode_changes(data: bytes) -> api.Changes:
    """Decodes a response.

    Raises:
        DecodeError: The data is malformed.
    """
    body = _body_decoder.decode(data)
    packed = body.packed
    if body.compressed:
        try:
            packed = zlib.decompress(packed)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
    entries = _entries_decoder.decode(packed)
    return api.Changes(
        body.revision,
        body.age_ms,
        body.regained_ms,
        entries,
        body.announced,
        body.confirmed_age_ms,
        body.has_more,
    )
