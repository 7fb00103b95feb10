"""First runs: a request that may be poison runs once at a time on a VM.

One query fans out to many shards, and each server that runs a poison request
crashes. So the sub-requests of a suspect request run one after another on
each owner, until one of them succeeds: then it is no poison and the others
go together. This bounds the crashes by the number of owners, however wide the
query is and however often its caller sends it at once.
"""

from __future__ import annotations

import collections

MAX_PROVEN = 16_384
"""Most requests remembered to have succeeded."""

PROVEN_S = 600.0
"""How long a success is remembered, in seconds."""


class Trials:
    """Which requests are on trial on this VM."""

    __slots__ = ("_proven", "_running")

    def __init__(self) -> None:
        """Makes it with nothing on trial."""
        self._running: dict[int, tuple[str, int]] = {}
        self._proven: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def is_proven(self, fingerprint: int, now_s: float) -> bool:
        """Tells whether a request is known to succeed."""
        proven_s = self._proven.get(fingerprint)
        return proven_s is not None and now_s - proven_s <= PROVEN_S

    def try_begin(self, fingerprint: int, key: tuple[str, int]) -> bool:
        """Begins a trial unless one of the same request runs.

        Args:
            fingerprint: The request's fingerprint.
            key: Names the sub-request.
        """
        return self._running.setdefault(fingerprint, key) == key

    def end(self, fingerprint: int, key: tuple[str, int]) -> bool:
        """Ends a sub-request's trial; False if it was on none."""
        if self._running.get(fingerprint) != key:
            return False
        del self._running[fingerprint]
        return True

    def prove(self, fingerprint: int, now_s: float) -> None:
        """Remembers that a request succeeded."""
        self._proven[fingerprint] = now_s
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)

    def forget(self, fingerprint: int) -> None:
        """Forgets a success, after a crash."""
        self._proven.pop(fingerprint, None)
