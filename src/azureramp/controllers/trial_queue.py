"""Queue of suspect requests' sub-requests that wait for another to end."""

from __future__ import annotations

from azureramp.controllers import parts, poison_detection

Part = parts.Part


class TrialQueue:
    """Admits one sub-request per suspect request at a time.

    `suspect_runs` has the rules.
    """

    __slots__ = ("_detector", "_waiting")

    def __init__(self, detector: poison_detection.PoisonDetector) -> None:
        """Creates an empty queue."""
        self._detector = detector
        self._waiting: dict[int, list[Part]] = {}

    def admit(self, part: Part) -> bool:
        """Returns True if a sub-request may run now; queues it otherwise."""
        if not self._detector.needs_trial(part):
            return True
        part.alone = part.batch.isolated or self._detector.is_suspect(part)
        fingerprint = part.batch.fingerprint
        if self._detector.suspect_runs.try_start(fingerprint, part.key):
            return True
        self._waiting.setdefault(fingerprint, []).append(part)
        return False

    def remove(self, part: Part) -> None:
        """Removes a sub-request if it is queued."""
        waiting = self._waiting.get(part.batch.fingerprint, [])
        if part in waiting:
            waiting.remove(part)

    def pop_all_of_searcher(self, searcher: str) -> list[Part]:
        """Removes and returns all sub-requests queued for a searcher."""
        removed = [
            part
            for waiting in self._waiting.values()
            for part in waiting
            if part.request.searcher == searcher
        ]
        for part in removed:
            self.remove(part)
        return removed

    def end(self, part: Part) -> bool:
        """Ends a suspect request's run; returns False if none was running."""
        return self._detector.suspect_runs.end(part.batch.fingerprint, part.key)

    def pop_all(self, fingerprint: int) -> list[Part]:
        """Removes and returns a request's sub-requests that are queued."""
        return self._waiting.pop(fingerprint, [])
