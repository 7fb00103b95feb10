"""Which requests crash the backend servers that run them."""

from __future__ import annotations


class Blame:
    """Crashes by request fingerprint."""

    __slots__ = ()
