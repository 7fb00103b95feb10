"""The message by which VMs tell each other of slow backend servers."""

from __future__ import annotations

import msgspec

PATH = "/v1/slowness"
"""Path at which a VM receives the message."""

CONTENT_TYPE = "application/msgpack"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The report of one searcher.

    Attributes:
        searcher: The searcher's id.
        started_ms: When the searcher started, in milliseconds since 1970.
        percent: How long work takes, in percent of the usual time.
        age_ms: Time since the searcher reported it, in milliseconds.
    """

    searcher: str
    started_ms: int
    percent: int
    age_ms: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What one VM tells another.

    Attributes:
        vm: The VM that sends it.
        entries: The reports.
    """

    vm: str
    entries: tuple[Entry, ...]


_decoder = msgspec.msgpack.Decoder(Digest)


def encode(digest: Digest) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(digest)


def decode(data: bytes) -> Digest:
    """Decodes a message.

    Raises:
        DecodeError: The data is malformed.
    """
    return _decoder.decode(data)
