"""Trials: a suspect request runs once at a time on a VM.

One query fans out to many shards, and each server that runs a poison request
crashes. So the sub-requests of a suspect request run one after another on
each owner, until one of them succeeds: then it is no suspect any more and the
others go together. This bounds its crashes by the number of owners, however
wide the query is and however often its caller sends it at once.
"""

from __future__ import annotations


class Trials:
    """Which requests are on trial on this VM: at most one sub-request each."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        """Makes it with nothing on trial."""
        self._running: dict[int, tuple[str, int]] = {}

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
