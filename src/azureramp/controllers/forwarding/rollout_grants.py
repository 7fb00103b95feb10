"""Handles reports on the roll-outs that this process drives.

A driver answers each report with a grant: how many calls to the new version
the reporting process may make.
"""

from __future__ import annotations

import asyncio

import expression
import logbook
import msgspec

from azureramp import errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import driven_rollout, rollout_states
from azureramp.policy import exposure
from azureramp.ports.rollouts import api
from azureramp.ports.web import api as web_api

MAX_UNWRITABLE_S = 1.5
"""Time for which a driver that can't write continues to grant calls, in
seconds."""

_logger = logbook.Logger("azureramp.rollout_grants")


class GrantHandler:
    """Answers reports with grants.

    Attributes:
        driven_rollouts: The roll-outs that this process drives, by service.
    """

    __slots__ = ("_board", "_situations", "driven_rollouts")

    def __init__(
        self,
        board: board_module.Board,
        situations: rollout_states.RolloutStateBuilder,
    ) -> None:
        """Creates a controller without driven roll-outs.

        Args:
            board: The process's state.
            situations: Describes the roll-outs.
        """
        self._board = board
        self._situations = situations
        self.driven_rollouts: dict[str, driven_rollout.DrivenRollout] = {}

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Handles another VM's report.

        Returns:
            Status 200 with a grant; 400 for a malformed report; 404 if this
            process doesn't drive the roll-out; 503 if it can't decide now.
        """
        try:
            report = api.decode_report(request.body)
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's report: {}", error)
            return web_api.Response(400)
        result = self.handle_report(report)
        if result is None:
            return web_api.Response(404)
        if result.is_error():
            return web_api.Response(503)
        body = api.encode(result.ok)
        return web_api.Response(200, body, api.CONTENT_TYPE)

    def handle_report(
        self, report: api.Report
    ) -> expression.Result[api.Grant, errors.Failure] | None:
        """Applies a report and grants calls to the reporting process.

        Args:
            report: The report.

        Returns:
            The grant; `NOT_OWNER` if this process can't decide now; None if it
            doesn't drive the roll-out.
        """
        drive = self.driven_rollouts.get(report.service)
        if drive is None or drive.record.order.revision != report.order:
            return None
        now_s = asyncio.get_running_loop().time()
        if not self._may_grant(drive, now_s):
            drive.moved.clear()
            detail = "the driver can't write"
            return expression.Error(
                errors.Failure(errors.Kind.NOT_OWNER, detail)
            )
        drive.ledger.record_report(
            report.process, report.requests, report.spent, now_s
        )
        drive.apply_counts(report, now_s)
        if report.requests:
            drive.senders.add(report.vm)
        if report.has_moved:
            drive.moved[report.vm] = now_s
        else:
            drive.moved.pop(report.vm, None)
        grant_s = self._board.bounds.exposure.get_grant_s()
        additional_calls = 0
        if drive.phase is driven_rollout.TRIAL:
            additional_calls = exposure.compute_share(
                drive.ledger,
                report.process,
                self._situations.count_grantable_calls(drive, now_s),
                grant_s,
            )
        return expression.Ok(
            api.Grant(
                report.order,
                drive.phase,
                drive.ledger.grant(report.process, additional_calls, now_s),
                round(grant_s * 1000),
            )
        )

    def _may_grant(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> bool:
        """Returns True if this process may still decide on a roll-out."""
        contact_lost = (
            not self._board.contact.reachable
            and now_s - self._board.contact.last_answer_s > MAX_UNWRITABLE_S
        )
        failing = (
            drive.writes_failing_since_s is not None
            and now_s - drive.writes_failing_since_s > MAX_UNWRITABLE_S
        )
        return not (self._board.leaving or contact_lost or failing)
