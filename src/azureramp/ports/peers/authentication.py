"""Frames of peer links: a keyed MAC, the sending time, and the envelope.

The MAC rejects senders that do not have the key from the settings. The sending
time is read from the sender's monotonic clock and is only compared with other
sending times of the same process.
"""

from __future__ import annotations

import hashlib
import hmac

MAC_BYTES = 16
SENT_BYTES = 8
HEADER_BYTES = MAC_BYTES + SENT_BYTES


class Authenticator:
    """Signs and verifies frames with a key."""

    __slots__ = ("_key",)

    def __init__(self, key: str) -> None:
        """Makes an authenticator.

        Args:
            key: The key from the settings, of any length.
        """
        self._key = hashlib.blake2b(key.encode()).digest()

    def sign(self, sent_ms: int, payload: bytes) -> bytes:
        """Makes a signed frame.

        Args:
            sent_ms: The sending time on the sender's monotonic clock, in
                milliseconds.
            payload: The encoded envelope.
        """
        body = sent_ms.to_bytes(SENT_BYTES, "big") + payload
        return self._compute(body) + body

    def check(self, frame: bytes) -> tuple[int, bytes] | None:
        """Verifies a frame.

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
