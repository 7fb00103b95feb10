"""Which requests crash the backend servers that run them."""

from __future__ import annotations


class Blame:
    """Crashes by request fingerprint."""

    __slots__ = ()

    def crashes(self, fingerprint: int, now_s: float) -> int:
        """Returns how many crashes are blamed on a request now."""
        return 0

    def quarantined_ms(self, fingerprint: int, now_s: float) -> int:
        """Returns how long a request is still refused, in milliseconds."""
        return 0
