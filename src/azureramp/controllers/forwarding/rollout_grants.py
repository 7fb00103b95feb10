"""Reports on the roll-outs that this process drives, and grants of calls."""

from __future__ import annotations

import asyncio

import expression
import logbook
import msgspec

from azureramp import errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import rollout_drive, rollout_situations
from azureramp.policy import exposure
from azureramp.ports.rollouts import api
from azureramp.ports.web import api as web_api

UNWRITABLE_S = 1.5
"""How long a driver that can't write goes on granting calls, in seconds."""

_logger = logbook.Logger("azureramp.rollout_grants")


class Grants:
    """Answers reports.

    Attributes:
        drives: The roll-outs that this process drives, by service.
    """

    __slots__ = ("_board", "_situations", "drives")

    def __init__(
        self,
        board: board_module.Board,
        situations: rollout_situations.Situations,
    ) -> None:
        """Makes one that drives nothing."""
        self._board = board
        self._situations = situations
        self.drives: dict[str, rollout_drive.Drive] = {}

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers another VM's report."""
        try:
            report = api.decode_report(request.body)
        except msgspec.DecodeError as error:
            _logger.warning("could not read a VM's report: {}", error)
            return web_api.Response(400)
        result = self.take(report)
        if result is None:
            return web_api.Response(404)
        if result.is_error():
            return web_api.Response(503)
        body = api.encode(result.ok)
        return web_api.Response(200, body, api.CONTENT_TYPE)

    def take(
        self, report: api.Report
    ) -> expression.Result[api.Grant, errors.Failure] | None:
        """Takes a report; None if this process doesn't drive the roll-out."""
        drive = self.drives.get(report.service)
        if drive is None or drive.record.order.revision != report.order:
            return None
        now_s = asyncio.get_running_loop().time()
        if not self._may_grant(drive, now_s):
            drive.moved.clear()
            detail = "the driver can't write"
            return expression.Error(
                errors.Failure(errors.Kind.NOT_OWNER, detail)
            )
        drive.ledger.take(report.process, report.requests, report.spent, now_s)
        drive.take_counts(report, now_s)
        if report.requests:
            drive.senders.add(report.vm)
        if report.has_moved:
            drive.moved[report.vm] = now_s
        else:
            drive.moved.pop(report.vm, None)
        grant_s = self._board.bounds.exposure.get_grant_s()
        wanted = 0
        if drive.phase is rollout_drive.TRIAL:
            wanted = exposure.divide(
                drive.ledger,
                report.process,
                self._situations.count_left(drive, now_s),
                grant_s,
            )
        return expression.Ok(
            api.Grant(
                report.order,
                drive.phase,
                drive.ledger.grant(report.process, wanted, now_s),
                round(grant_s * 1000),
            )
        )

    def _may_grant(self, drive: rollout_drive.Drive, now_s: float) -> bool:
        """Tells whether this process may still decide on a roll-out."""
        contact_lost = (
            not self._board.contact.reachable
            and now_s - self._board.contact.confirmed_s > UNWRITABLE_S
        )
        failing = (
            drive.failing_s is not None
            and now_s - drive.failing_s > UNWRITABLE_S
        )
        return not (self._board.leaving or contact_lost or failing)
