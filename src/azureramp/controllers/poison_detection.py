"""Detects requests that crash backend servers, together with the other VMs."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable

import expression

from azureramp import blackboard, errors, events, messages
from azureramp.controllers import directory, owned_searcher
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import poison, suspect_runs
from azureramp.ports.searchers import api as searchers_api

ABANDONED_S = 0.5
"""How long an abandoned call may still crash its server, in seconds."""

MAX_ABANDONED = 256
"""Maximum number of remembered abandoned calls."""

REPEAT_S = 5.0
"""Interval between notices of all quarantines, in seconds, for VMs that were
started after earlier notices."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part


@dataclasses.dataclass(slots=True)
class CrashCheck:
    """A check of a backend server to which connections were lost.

    Attributes:
        fingerprints: The fingerprints of the calls that were in flight.
        task: The check; it returns True if the server crashed.
    """

    fingerprints: set[int]
    task: asyncio.Task[bool]


class PoisonDetector:
    """Attributes crashes to requests and isolates suspect requests.

    A request is suspect while a crash is attributed to its fingerprint. A
    suspect request runs alone, one sub-request at a time; see `suspect_runs`.

    Attributes:
        suspect_runs: The runs of suspect requests on this VM.
        on_attributed: Called with each fingerprint to which a crash was
            attributed and the server that crashed.
    """

    __slots__ = (
        "_abandoned",
        "_board",
        "_crashed_s",
        "_directory",
        "_holdings",
        "_incidents",
        "_outbox",
        "_port",
        "_repeated_s",
        "on_attributed",
        "suspect_runs",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        port: searchers_api.Searchers,
        places: directory.SearcherDirectory,
        holdings: owned_searcher.Holdings,
    ) -> None:
        """Creates an instance without suspect requests."""
        self.suspect_runs = suspect_runs.SuspectRuns()
        self.on_attributed: Callable[[int, str], None] = _ignore
        self._board = board
        self._outbox = outbox
        self._port = port
        self._directory = places
        self._holdings = holdings
        self._incidents: dict[str, CrashCheck] = {}
        self._crashed_s: dict[str, float] = {}
        self._abandoned: collections.deque[tuple[float, str, int]] = (
            collections.deque(maxlen=MAX_ABANDONED)
        )
        self._repeated_s = 0.0

    def is_suspect(self, part: Part) -> bool:
        """Returns True if a crash is attributed to a sub-request."""
        fingerprint = part.batch.fingerprint
        return self._board.crash_counts.count_crashes(fingerprint, _now_s()) > 0

    def needs_trial(self, part: Part) -> bool:
        """Returns True if a request's sub-requests must run one at a time."""
        return part.batch.isolated or self.is_suspect(part)

    def get_refusal(
        self, part: Part, owned: OwnedSearcher
    ) -> errors.Failure | None:
        """Returns why a request may not run now; None if it may."""
        now_s = _now_s()
        left_ms = self._board.crash_counts.get_quarantine_ms(
            part.batch.fingerprint, now_s
        )
        if left_ms > 0:
            return errors.Failure(
                errors.Kind.QUARANTINED, retry_after_ms=left_ms
            )
        crashed_s = self._crashed_s.get(owned.place.server.name)
        if (
            crashed_s is not None
            and now_s - crashed_s <= poison.INCIDENT_WINDOW_S
            and self.is_suspect(part)
        ):
            # Another crash of the same server this soon would be merged with
            # the first one, and the suspect request would get a third
            # attempt.
            return errors.Failure(errors.Kind.COLD, "just crashed")
        return None

    def record_success(self, part: Part) -> None:
        """Clears a request's crashes after a successful call."""
        self._board.crash_counts.record_success(part.batch.fingerprint)

    def record_abandoned(self, owned: OwnedSearcher, part: Part) -> None:
        """Remembers a call that was abandoned before its reply."""
        self._abandoned.append(
            (_now_s(), owned.place.server.name, part.batch.fingerprint)
        )

    async def check_server(self, owned: OwnedSearcher, part: Part) -> bool:
        """Determines whether a connection was lost by its server's crash.

        All calls that lost their connections share one check of the server.
        None of them is answered before it has finished, so that no
        coordinator sends the request to the next server before the request is
        marked as suspect.

        Args:
            owned: The searcher.
            part: The sub-request whose connection was lost.

        Returns:
            True if the server crashed.
        """
        server = owned.place.server.name
        incident = self._incidents.get(server)
        if incident is None:
            incident = CrashCheck(
                self._get_in_flight(server),
                asyncio.ensure_future(self._check_crash(owned)),
            )
            self._incidents[server] = incident
        incident.fingerprints.add(part.batch.fingerprint)
        return await asyncio.shield(incident.task)

    def receive_notice(self, message: messages.CrashNotice) -> None:
        """Handles another VM's notice of a crash or of quarantines."""
        now_s = _now_s()
        for fingerprint in message.fingerprints:
            if message.quarantine_ms > 0:
                self._board.crash_counts.apply_remote_quarantine(
                    fingerprint, message.quarantine_ms, now_s
                )
        if message.crash_id:
            self._record(message)

    def repeat_quarantines(self) -> None:
        """Periodically sends all quarantines to the other VMs."""
        now_s = _now_s()
        if now_s - self._repeated_s < REPEAT_S:
            return
        self._repeated_s = now_s
        quarantined = self._board.crash_counts.list_quarantines_ms(now_s)
        for fingerprint, left_ms in quarantined.items():
            self._broadcast(
                messages.CrashNotice(
                    server="",
                    crash_id="",
                    fingerprints=(fingerprint,),
                    quarantine_ms=left_ms,
                )
            )

    def close(self) -> None:
        """Cancels all running checks."""
        for incident in self._incidents.values():
            incident.task.cancel()

    async def _check_crash(self, owned: OwnedSearcher) -> bool:
        """Checks a searcher over a new connection; returns True if it crashed.

        This distinguishes a crash from a connection that was dropped by the
        network: after a crash the searcher refuses connections or has another
        incarnation. A timeout indicates neither.
        """
        server = owned.place.server.name
        known_incarnation = owned.health.incarnation if owned.health else 0
        try:
            report = await self._port.read_health(
                owned.get_address(), fresh=True
            )
            match report:
                case expression.Result(tag="ok", ok=health):
                    crashed = health.incarnation != known_incarnation
                case expression.Result(error=failure):
                    crashed = failure.kind is errors.Kind.CONNECTION_LOST
            if crashed:
                self._announce_crash(owned, known_incarnation)
            return crashed
        finally:
            del self._incidents[server]

    def _announce_crash(self, owned: OwnedSearcher, incarnation: int) -> None:
        """Attributes a crash to the calls in flight, here and on other VMs."""
        server = owned.place.server.name
        self._board.metrics.count("searcher.crashes")
        self._board.timeline.record(
            events.SearcherChanged(
                searcher=owned.get_name(),
                incarnation=incarnation,
                state="crashed",
                reason="lost",
                limit=owned.ramp.limit,
            ),
            _now_s(),
        )
        fingerprints = sorted(self._incidents[server].fingerprints)
        notice = messages.CrashNotice(
            server=server,
            crash_id=f"{owned.get_name()}/{incarnation}",
            fingerprints=tuple(fingerprints[: poison.MAX_FINGERPRINTS]),
        )
        self._record(notice)
        self._broadcast(notice)

    def _record(self, notice: messages.CrashNotice) -> None:
        """Attributes a crash to the fingerprints of a notice."""
        now_s = _now_s()
        counts = self._board.crash_counts
        self._crashed_s[notice.server] = now_s
        is_new = counts.record_crash(
            notice.server,
            notice.crash_id.rpartition("/")[0],
            notice.crash_id,
            frozenset(notice.fingerprints),
            now_s,
            self._directory.get_policy().quarantine_s,
        )
        if not is_new:
            return
        for fingerprint in notice.fingerprints:
            self._board.timeline.record(
                events.FingerprintBlamed(
                    server=notice.server,
                    crash_id=notice.crash_id,
                    fingerprint=fingerprint,
                    crashes=counts.count_crashes(fingerprint, now_s),
                    quarantined=counts.get_quarantine_ms(fingerprint, now_s)
                    > 0,
                ),
                now_s,
            )
            if counts.count_crashes(fingerprint, now_s) > 0:
                self.on_attributed(fingerprint, notice.server)

    def _broadcast(self, notice: messages.CrashNotice) -> None:
        """Sends a notice to every other VM."""
        for vm in self._board.members:
            if vm != self._board.settings.vm:
                self._outbox.send(vm, notice)

    def _get_in_flight(self, server: str) -> set[int]:
        """Returns the fingerprints of a server's current and recent calls.

        Recent calls are those that were abandoned within `ABANDONED_S`.
        """
        since_s = _now_s() - ABANDONED_S
        abandoned = {
            fingerprint
            for at_s, name, fingerprint in self._abandoned
            if name == server and at_s >= since_s
        }
        return self._holdings.get_fingerprints_in_flight(server) | abandoned


def _ignore(fingerprint: int, server: str) -> None:
    """Does nothing."""


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
