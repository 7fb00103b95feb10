"""The sub-requests of suspect requests that wait for a trial's end."""

from __future__ import annotations

from azureramp.controllers import parts, poisoning

Part = parts.Part


class TrialQueue:
    """Lets one sub-request of each suspect go at a time; see `trials`."""

    __slots__ = ("_poisoning", "_waiting")

    def __init__(self, suspects: poisoning.Poisoning) -> None:
        """Makes it with nothing that waits."""
        self._poisoning = suspects
        self._waiting: dict[int, list[Part]] = {}

    def admit(self, part: Part) -> bool:
        """Tells whether a sub-request may go; one that may not waits here."""
        if not self._poisoning.needs_trial(part):
            return True
        part.alone = part.batch.isolated or self._poisoning.is_suspect(part)
        fingerprint = part.batch.fingerprint
        if self._poisoning.trials.try_begin(fingerprint, part.key):
            return True
        self._waiting.setdefault(fingerprint, []).append(part)
        return False

    def remove(self, part: Part) -> None:
        """Takes a sub-request out if it waits."""
        waiting = self._waiting.get(part.batch.fingerprint, [])
        if part in waiting:
            waiting.remove(part)

    def remove_all(self, searcher: str) -> list[Part]:
        """Takes all out that wait to go to a searcher."""
        taken = [
            part
            for waiting in self._waiting.values()
            for part in waiting
            if part.request.searcher == searcher
        ]
        for part in taken:
            self.remove(part)
        return taken

    def end(self, part: Part) -> bool:
        """Ends a sub-request's trial; False if it was on none."""
        return self._poisoning.trials.end(part.batch.fingerprint, part.key)

    def take(self, fingerprint: int) -> list[Part]:
        """Takes all out that waited for a request's trial."""
        return self._waiting.pop(fingerprint, [])
