"""Quarantine of poison requests, which crash the searchers that run them.

A poison request is retried on any VM, and each time takes searchers down for
some seconds. A crash is attributed to every request that was running on the
searcher. A request with several crashes, counted over all VMs, is refused for
some time.
"""

from __future__ import annotations

import collections
import hashlib

from azureramp.ports.forwarding import api

MIN_CRASHES = 3
"""Number of crashes from which a request is refused. A crash is also attributed
to unrelated requests on the same searcher, but hardly ever three times."""

QUARANTINE_S = 120.0
"""How long a request is refused after its last crash, in seconds."""

MAX_REQUESTS = 2048
"""Maximum number of requests kept; the oldest one is dropped first."""

OWN_KEY = ""
"""The key under which a VM keeps the crashes that it observed itself."""


class CrashCounts:
    """The crashes attributed to each request."""

    __slots__ = ("_by_request",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_request: collections.OrderedDict[
            str, dict[str, tuple[int, float]]
        ] = collections.OrderedDict()

    def record_crash(self, fingerprint: str, now_s: float) -> int:
        """Records a crash that this VM observed.

        Returns:
            The number of crashes that it has observed for this request.
        """
        observed, _ = self._by_request.get(fingerprint, {}).get(
            OWN_KEY, (0, 0.0)
        )
        self._set_crashes(fingerprint, OWN_KEY, observed + 1, now_s)
        return observed + 1

    def set_remote_count(
        self, fingerprint: str, vm: str, crashes: int, now_s: float
    ) -> None:
        """Records the number of crashes that another VM observed."""
        self._set_crashes(fingerprint, vm, crashes, now_s)

    def get_quarantine_s(self, fingerprint: str, now_s: float) -> float:
        """Returns for how much longer a request is refused, in seconds."""
        by_vm = self._by_request.get(fingerprint)
        if by_vm is None:
            return 0.0
        if sum(crashes for crashes, _ in by_vm.values()) < MIN_CRASHES:
            return 0.0
        last_s = max(at_s for _, at_s in by_vm.values())
        return max(0.0, last_s + QUARANTINE_S - now_s)

    def clear(self, fingerprint: str) -> None:
        """Clears a request that was answered, so it is not a poison request."""
        self._by_request.pop(fingerprint, None)

    def has_crashes(self, fingerprint: str) -> bool:
        """Returns True if any crash is attributed to the request."""
        return fingerprint in self._by_request

    def _set_crashes(
        self, fingerprint: str, vm: str, crashes: int, now_s: float
    ) -> None:
        """Sets the number of crashes that one VM observed for a request."""
        by_vm = self._by_request.setdefault(fingerprint, {})
        by_vm[vm] = (crashes, now_s)
        if len(self._by_request) > MAX_REQUESTS:
            self._by_request.popitem(last=False)


def make_fingerprint(message: api.Message) -> str:
    """Returns a hash that is equal for all retries of a request.

    Each retry has its own id and deadline, so these are omitted.
    """
    digest = hashlib.blake2b(digest_size=12)
    host = next((v for n, v in message.headers if n == b"host"), b"")
    for piece in (host, message.method, message.target, message.body):
        digest.update(len(piece).to_bytes(8, "big"))
        digest.update(piece)
    return digest.hexdigest()
