"""Serial execution of requests that are suspected of crashing servers.

A query fans out to many shards, and each server that runs a poison request
crashes. Therefore each owner runs the sub-requests of a suspect request one
after another until one of them succeeds. Then the request is no longer suspect
and the remaining ones run concurrently. This limits the crashes to the number
of owners, however many shards the query has and however many copies of it the
caller sends concurrently.
"""

from __future__ import annotations


class SuspectRuns:
    """Suspect requests running on this VM, at most one sub-request of each."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._running: dict[int, tuple[str, int]] = {}

    def try_start(self, fingerprint: int, key: tuple[str, int]) -> bool:
        """Starts a sub-request unless another one of its request is running.

        Args:
            fingerprint: The request's fingerprint.
            key: Identifies the sub-request.

        Returns:
            True if the sub-request may run.
        """
        return self._running.setdefault(fingerprint, key) == key

    def end(self, fingerprint: int, key: tuple[str, int]) -> bool:
        """Ends a sub-request; returns False if it was not running."""
        if self._running.get(fingerprint) != key:
            return False
        del self._running[fingerprint]
        return True
