"""Attributes searcher crashes to requests and reports them to other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import crash_counts
from azureramp.ports.forwarding import api, pool
from azureramp.ports.store import api as store_api

REPORT_LEASE_S = 180.0
"""How long a report to the other VMs stays in the store, in seconds."""

MAX_PENDING_REPORTS = 16
"""Maximum number of reports that wait to be written. The crash of a whole zone
is attributed to many requests once; only requests that recur matter."""

Encode = Callable[[catalog.CrashReport], tuple[str, bytes]]
"""Returns a report's key and value in the store."""

_logger = logbook.Logger("azureramp.crashes")


class CrashTracker:
    """Attributes crashes to requests and reports them through the store."""

    __slots__ = ("_board", "_crash_counts", "_encode", "_reports", "_store")

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        encode: Encode,
    ) -> None:
        """Creates a controller that has recorded no crash.

        Args:
            board: The process's state.
            store: The store that the reports are written to.
            encode: Encodes a report as a store entry.
        """
        self._board = board
        self._store = store
        self._encode = encode
        self._crash_counts = crash_counts.CrashCounts()
        self._reports: asyncio.Queue[catalog.CrashReport] = asyncio.Queue(
            MAX_PENDING_REPORTS
        )

    def get_quarantine_s(self, message: api.Message) -> float:
        """Returns the rest of a request's quarantine, in seconds; 0 if none."""
        fingerprint = crash_counts.make_fingerprint(message)
        now_s = asyncio.get_running_loop().time()
        return self._crash_counts.get_quarantine_s(fingerprint, now_s)

    def record_answer(self, message: api.Message) -> None:
        """Clears a request's crash counts, since a searcher answered it."""
        fingerprint = crash_counts.make_fingerprint(message)
        if self._crash_counts.has_crashes(fingerprint):
            self._crash_counts.clear(fingerprint)

    def check_for_crash(
        self,
        target: board_module.Target,
        message: api.Message,
        repeatable: bool,
    ) -> None:
        """Checks whether a call was lost because its searcher crashed.

        A lost answer breaks one connection; a crash breaks all of them, and no
        new one can be opened for some seconds.

        Args:
            target: The searcher that the call was sent to.
            message: The request.
            repeatable: True if the request's route may repeat it.
        """

        def handle_probe(result: pool.ProbeResult) -> None:
            if result is pool.ProbeResult.REFUSED:
                self._record_crash(target, message, repeatable)

        target.pool.probe(handle_probe)

    def record_remote_crashes(self, report: catalog.CrashReport) -> None:
        """Records the crashes that another VM reports."""
        if report.vm == self._board.identity.vm:
            return
        now_s = asyncio.get_running_loop().time()
        self._crash_counts.set_remote_count(
            report.fingerprint, report.vm, report.crashes, now_s
        )

    async def run(self) -> None:
        """Writes the reports to the store until cancelled."""
        while True:
            report = await self._reports.get()
            lease = await self._store.grant_lease(REPORT_LEASE_S)
            if lease.is_error():
                _logger.warning(
                    "could not report crashes of request {}: {}",
                    report.fingerprint,
                    lease.error.kind.value,
                )
                continue
            await self._write(report, lease.ok)

    def _record_crash(
        self,
        target: board_module.Target,
        message: api.Message,
        repeatable: bool,
    ) -> None:
        """Attributes a crash to a request."""
        fingerprint = crash_counts.make_fingerprint(message)
        now_s = asyncio.get_running_loop().time()
        crashes = self._crash_counts.record_crash(fingerprint, now_s)
        self._board.metrics.count("crash.blamed")
        _logger.warning(
            "request {} was running on searcher {} when it crashed; crashes"
            " attributed to {} on this VM: {}",
            message.id.decode("latin-1"),
            target.searcher.id,
            fingerprint,
            crashes,
        )
        # A repeatable request that crashes searchers is counted twice: its own
        # retry crashes a second one.
        min_crashes = 2 if repeatable else 1
        if (
            min_crashes <= crashes <= crash_counts.MIN_CRASHES
            and not self._reports.full()
        ):
            self._reports.put_nowait(
                catalog.CrashReport(
                    fingerprint, self._board.identity.vm, crashes
                )
            )

    async def _write(self, report: catalog.CrashReport, lease: str) -> None:
        """Writes a report, replacing an earlier one of this request if any."""
        key, value = self._encode(report)
        result = await self._store.write(
            key, value, store_api.NO_REVISION, lease
        )
        if result.is_ok():
            match result.ok:
                case store_api.Conflict(current=current) if current:
                    result = await self._store.write(
                        key, value, current.revision, lease
                    )
        if result.is_error():
            _logger.warning(
                "could not report crashes of request {}: {}",
                report.fingerprint,
                result.error.kind.value,
            )
