"""Frames of peer links: a keyed MAC, the sending time, and the envelope.

The MAC keeps out whoever does not know the key of the settings. The sending
time is read on the sender's own monotonic clock and only ever compared with
other times of the same process.
"""

from __future__ import annotations

import hashlib
import hmac

MAC_BYTES = 16
SENT_BYTES = 8
HEADER_BYTES = MAC_BYTES + SENT_BYTES


class Authenticator:
    """Signs and checks frames with one key."""

    __slots__ = ("_key",)

    def __init__(self, key: str) -> None:
        """Makes an authenticator.

        Args:
            key: The key of the settings; any length.
        """
        self._key = hashlib.blake2b(key.encode()).digest()

    def sign(self, sent_ms: int, payload: bytes) -> bytes:
        """Makes a frame.

        Args:
            sent_ms: The sender's monotonic clock, in milliseconds.
            payload: The encoded envelope.
        """
        body = sent_ms.to_bytes(SENT_BYTES, "big") + payload
        return self._compute(body) + body

    def check(self, frame: bytes) -> tuple[int, bytes] | None:
        """Opens a frame.

        Returns:
            The sending time and the payload; None if the frame is not
            authentic.
        """
        if len(frame) < HEADER_BYTES:
            return None
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute(body)):
            return None
        return int.from_bytes(body[:SENT_BYTES], "big"), body[SENT_BYTES:]

    def _compute(self, body: bytes) -> bytes:
        """Computes the MAC of a frame's body."""
        return hashlib.blake2b(
            body, digest_size=MAC_BYTES, key=self._key
        ).digest()
