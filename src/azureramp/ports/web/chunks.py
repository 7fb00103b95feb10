"""Joins the small chunks of a request body before h11 parses them.

h11 makes an event of each chunk, so that a body in chunks of one byte would
take seconds. Here the framing of chunks that are complete is removed in larger
steps, and h11 gets their data as one chunk. What doesn't look like a chunk is
left to h11, which rejects it.
"""

from __future__ import annotations

import re

MAX_CHUNKS = 1_024
"""Maximum number of steps of one call; each handles a chunk, or a run of small
chunks that are equal but for their data."""

MAX_STEP_BYTES = 65_536
"""Maximum size of the input that one call handles, in bytes."""

MAX_RUN_BYTES = 8
"""Maximum size of chunks that are handled as a run, in bytes."""

MIN_TRIED = 16
"""Number of chunks that are compared first. A longer run is compared in larger
steps, so that a short one costs little."""

_CRLF = b"\r\n"
_HEADER = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;.*|[ \t]*)\r\n")
_LAST = b"0\r\n"


class ChunkJoiner:
    """Joins the chunks of one body.

    Attributes:
        ended: True once the last chunk was read; trailers may follow.
    """

    __slots__ = ("_left", "ended")

    def __init__(self) -> None:
        """Makes a joiner for a body of which nothing was read."""
        self.ended = False
        self._left = 0

    def join(self, data: bytearray) -> bytes:
        """Removes chunks from the received data.

        Args:
            data: The received data; what is handled is removed from it.

        Returns:
            The same content in fewer chunks; empty if more data is needed.

        Raises:
            ValueError: The data is not a chunk.
        """
        view = bytes(data[:MAX_STEP_BYTES])
        parts: list[bytes] = []
        position = self._continue(view, parts)
        for _ in range(0 if self._left else MAX_CHUNKS):
            header = _HEADER.match(view, position)
            if header is None:
                break
            begin, size = header.end(), int(header[1], 16)
            if size == 0:
                self.ended = True
                position = begin
                break
            end = begin + size
            if view.startswith(_CRLF, end):
                parts.append(view[begin:end])
                end += len(_CRLF)
                if size <= MAX_RUN_BYTES and view.startswith(
                    view[position:begin], end
                ):
                    end = _join_run(view, position, begin, end, parts)
                position = end
            else:
                self._left = size + len(_CRLF)
                position = begin + self._continue(view[begin:], parts)
                break
        del data[:position]
        joined = b"".join(parts)
        encoded = b"%x\r\n%b\r\n" % (len(joined), joined) if joined else b""
        return encoded + _LAST if self.ended else encoded

    def _continue(self, view: bytes, parts: list[bytes]) -> int:
        """Reads the rest of a chunk whose header was read before.

        Args:
            view: The data.
            parts: The chunk's data is added to it.

        Returns:
            How much of `view` belongs to the chunk.

        Raises:
            ValueError: The chunk doesn't end with CRLF.
        """
        size = max(0, self._left - len(_CRLF))
        if size:
            part = view[:size]
            parts.append(part)
            self._left -= len(part)
            size = len(part)
        if self._left > len(_CRLF) or len(view) - size < self._left:
            return size
        if self._left:
            if not view.startswith(_CRLF, size):
                raise ValueError("a chunk doesn't end with CRLF")
            self._left = 0
            return size + len(_CRLF)
        return size


def _join_run(
    view: bytes, first: int, begin: int, end: int, parts: list[bytes]
) -> int:
    """Joins the chunks that follow and differ only in their data.

    Args:
        view: The data.
        first: Where the header of the chunk before them begins.
        begin: Where its data begins.
        end: Where the next chunk begins.
        parts: The joined data is added to it.

    Returns:
        Where the first other chunk begins.
    """
    period = end - first
    header_size = begin - first
    size = period - header_size - len(_CRLF)
    framing = (*range(header_size), period - 2, period - 1)
    tried = MIN_TRIED
    equal = tried
    while equal == tried and end + period <= len(view):
        count = min(tried, (len(view) - end) // period)
        run = view[end : end + count * period]
        equal = min(
            _count_leading(run[offset::period], view[first + offset])
            for offset in framing
        )
        joined = bytearray(equal * size)
        for offset in range(size):
            column = run[header_size + offset :: period]
            joined[offset::size] = column[:equal]
        parts.append(bytes(joined))
        end += equal * period
        if equal == tried:
            equal = tried = 8 * tried
    return end


def _count_leading(column: bytes, byte: int) -> int:
    """Returns how many bytes at the beginning have a value."""
    return len(column) - len(column.lstrip(bytes((byte,))))
