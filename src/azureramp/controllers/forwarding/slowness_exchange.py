"""Tells the other advertised VMs of slow backend servers, and hears of them.

A message that is lost or late is not repeated: what it tells is outdated.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import load_reports
from azureramp.policy import slowness_digests
from azureramp.ports.vms import api as vms_api
from azureramp.ports.vms import slowness
from azureramp.ports.web import api as web_api

TIMEOUT_S = 0.3
"""Maximum time for sending a message, in seconds."""

_logger = logbook.Logger("azureramp.searchers")


class SlownessExchange:
    """Exchanges large changes of the searchers' reports with other VMs."""

    __slots__ = ("_board", "_outbox", "_sending", "_tasks", "_trust", "_vms")

    def __init__(
        self,
        board: board_module.Board,
        vms: vms_api.VmClient,
        reports: load_reports.LoadReports,
    ) -> None:
        """Creates an exchange that has told nothing; see `run`.

        Args:
            board: The process's state.
            vms: Client of the other VMs.
            reports: Passes on what the searchers report.
        """
        self._board = board
        self._vms = vms
        self._outbox = slowness_digests.Outbox()
        self._trust = slowness_digests.Trust()
        self._sending: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        reports.on_slowness = self._handle_report

    async def run(self) -> None:
        """Tells the other VMs at a fixed rate until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            peers = self._list_peers()
            await asyncio.sleep(slowness_digests.compute_interval_s(len(peers)))
            now_s = loop.time()
            reports = self._outbox.take(now_s)
            if not reports:
                continue
            body = slowness.encode(
                slowness.Digest(
                    self._board.identity.vm,
                    tuple(_make_entry(report, now_s) for report in reports),
                )
            )
            for address in peers:
                # A VM that has not answered yet gets no further message.
                if address not in self._sending:
                    self._send(address, body)

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Handles another VM's message.

        Returns:
            Status 200; 400 for a malformed message.
        """
        try:
            digest = slowness.decode(request.body)
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's message: {}", error)
            return web_api.Response(400)
        self.apply(digest, asyncio.get_running_loop().time())
        return web_api.Response(200)

    def apply(self, digest: slowness.Digest, now_s: float) -> None:
        """Applies what another VM tells.

        Args:
            digest: The message.
            now_s: The current time, in seconds.
        """
        counters = self._board.metrics
        known = digest.vm in self._board.members
        if not known or not self._trust.is_trusted(digest.vm, now_s):
            counters.count("digest.ignored")
            return
        counters.count("digest.received")
        for entry in digest.entries[: slowness_digests.MAX_REPORTS]:
            target = self._board.targets.get(entry.searcher)
            if (
                target is None
                or target.searcher.started_ms != entry.started_ms
                or entry.percent <= 0
                or not 0 <= entry.age_ms <= slowness_digests.MAX_AGE_S * 1000
            ):
                continue
            target.stats.server.record_told(
                digest.vm, entry.percent / 100, now_s - entry.age_ms / 1000
            )

    def close(self) -> None:
        """Cancels the messages that are being sent."""
        for task in self._tasks:
            task.cancel()

    def _handle_report(
        self, target: board_module.Target, figure: float, now_s: float
    ) -> None:
        """Handles a report that this VM received from a searcher."""
        server = target.stats.server
        told = server.told
        if told is not None and self._trust.check(
            told.vm, told.figure, told.reported_s, figure, now_s
        ):
            _logger.warning(
                "ignoring what {} tells of searchers for {:.0f} s: it told"
                " {:.2f} of {}, which reports {:.2f}",
                told.vm,
                slowness_digests.DISTRUST_S,
                told.figure,
                target.searcher.id,
                figure,
            )
        searcher = target.searcher
        self._outbox.add(
            slowness_digests.Report(
                searcher.id, searcher.started_ms, figure, now_s
            ),
            server.persistence.half_life_s,
        )

    def _list_peers(self) -> list[str]:
        """Lists the peer addresses of the other advertised VMs."""
        return [
            member.peer_address
            for member in self._board.advertised.values()
            if member.vm != self._board.identity.vm and member.peer_address
        ]

    def _send(self, address: str, body: bytes) -> None:
        """Sends a message in the background."""
        self._sending.add(address)
        task = asyncio.ensure_future(self._deliver(address, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, address: str, body: bytes) -> None:
        """Sends a message; one that is lost is only counted."""
        try:
            result = await self._vms.call(
                address, slowness.PATH, body, TIMEOUT_S
            )
        finally:
            self._sending.discard(address)
        self._board.metrics.count("digest.sent")
        self._board.metrics.count("digest.sent_bytes", len(body))
        if result.is_error():
            self._board.metrics.count("digest.lost")


def _make_entry(
    report: slowness_digests.Report, now_s: float
) -> slowness.Entry:
    """Makes an entry of a message."""
    return slowness.Entry(
        report.searcher,
        report.started_ms,
        round(report.figure * 100),
        round((now_s - report.received_s) * 1000),
    )
