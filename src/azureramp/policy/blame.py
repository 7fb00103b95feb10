"""Requests that crash the searchers that run them.

Such a request comes again, to any VM, and each time takes searchers down for
some seconds. What was running on a searcher when it crashed is blamed for it;
a request that is blamed for several crashes, as all VMs together see them, is
refused for a while.
"""

from __future__ import annotations

import collections
import hashlib

from azureramp.ports.forwarding import api

TOLERATED = 3
"""Crashes from which on a request is refused. Whatever else ran on a searcher
that crashed is blamed with it, but hardly ever three times."""

QUARANTINE_S = 120.0
"""How long a request is refused after its last crash, in seconds."""

MOST_REQUESTS = 2048
"""Most requests that are remembered; the one blamed first goes first."""

OWN = ""
"""The name under which a VM keeps what it saw itself."""


class Blames:
    """The crashes that each request is blamed for."""

    __slots__ = ("_by_request",)

    def __init__(self) -> None:
        """Makes one that blames nobody."""
        self._by_request: collections.OrderedDict[
            str, dict[str, tuple[int, float]]
        ] = collections.OrderedDict()

    def add(self, fingerprint: str, now_s: float) -> int:
        """Takes a crash that this VM saw.

        Returns:
            How many it has seen of this request.
        """
        seen, _ = self._by_request.get(fingerprint, {}).get(OWN, (0, 0.0))
        self._put(fingerprint, OWN, seen + 1, now_s)
        return seen + 1

    def adopt(
        self, fingerprint: str, vm: str, crashes: int, now_s: float
    ) -> None:
        """Takes what another VM saw."""
        self._put(fingerprint, vm, crashes, now_s)

    def get_refused_s(self, fingerprint: str, now_s: float) -> float:
        """Returns how much longer a request is refused, in seconds."""
        by_vm = self._by_request.get(fingerprint)
        if by_vm is None:
            return 0.0
        if sum(crashes for crashes, _ in by_vm.values()) < TOLERATED:
            return 0.0
        last_s = max(at_s for _, at_s in by_vm.values())
        return max(0.0, last_s + QUARANTINE_S - now_s)

    def clear(self, fingerprint: str) -> None:
        """Takes an answer, which a request that crashes searchers never has."""
        self._by_request.pop(fingerprint, None)

    def knows(self, fingerprint: str) -> bool:
        """Tells whether a request is blamed for anything."""
        return fingerprint in self._by_request

    def _put(
        self, fingerprint: str, vm: str, crashes: int, now_s: float
    ) -> None:
        """Keeps a number of crashes."""
        by_vm = self._by_request.setdefault(fingerprint, {})
        by_vm[vm] = (crashes, now_s)
        if len(self._by_request) > MOST_REQUESTS:
            self._by_request.popitem(last=False)


def make_fingerprint(message: api.Message) -> str:
    """Returns what a request has in common with its repeats.

    Each try has an id and a deadline of its own; the rest is the same.
    """
    digest = hashlib.blake2b(digest_size=12)
    host = next((v for n, v in message.fields if n == b"host"), b"")
    for piece in (host, message.method, message.target, message.body):
        digest.update(len(piece).to_bytes(8, "big"))
        digest.update(piece)
    return digest.hexdigest()
