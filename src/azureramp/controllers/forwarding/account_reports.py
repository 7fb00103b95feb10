"""Reports this VM's uses of client accounts to the VMs that decide for them."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

import expression
import logbook

from azureramp import errors
from azureramp.controllers.forwarding import (
    account_decider,
    account_encoding,
    account_uses,
)
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import account_buckets, account_limits
from azureramp.ports.vms import account_messages as messages
from azureramp.ports.vms import api as vms_api

REPORT_DELAY_S = 0.02
"""Delay of a report for which no request waits, in seconds. It collects the
uses of several requests."""

TAKE_OVER_RETRY_S = 0.01
"""Time after which a VM that is taking over an account is asked again while
requests wait, in seconds."""

REDIRECT_S = 0.5
"""How long reports go to the VM that an owner named instead of itself, in
seconds. By then this VM should have the same list."""

SILENCE_S = 0.5
"""Time for which no request waits for a VM that didn't answer, in seconds."""

MAX_BATCH = account_decider.MAX_ACCOUNTS_PER_MESSAGE

_logger = logbook.Logger("azureramp.account_reports")

Use = Callable[[account_uses.UseRecord, float], bool]
"""Uses this VM's credit for a request; returns False if none is left."""


class _Link:
    """The reports to one VM; one is under way at a time.

    Attributes:
        records: The accounts to report, by name.
        urgent: Set while requests wait for an answer.
        silent_until_s: Until when the VM is taken not to answer.
        task: Sends the reports; None if there is nothing to report.
    """

    __slots__ = ("records", "silent_until_s", "task", "urgent")

    def __init__(self) -> None:
        """Creates a link without reports."""
        self.records: dict[str, account_uses.UseRecord] = {}
        self.urgent = asyncio.Event()
        self.silent_until_s = -math.inf
        self.task: asyncio.Task[None] | None = None


class AccountReporter:
    """Sends reports and applies the answers."""

    __slots__ = (
        "_board",
        "_client",
        "_decider",
        "_links",
        "_process",
        "_use",
    )

    def __init__(
        self,
        board: board_module.Board,
        client: vms_api.VmClient,
        decider: account_decider.AccountDecider,
        process: str,
        use: Use,
    ) -> None:
        """Creates a reporter without reports.

        Args:
            board: The process's state.
            client: Client of the other VMs.
            decider: Decides on the accounts that this VM owns.
            process: This process's name, which changes at each start.
            use: Uses the credit for a request that waits.
        """
        self._board = board
        self._client = client
        self._decider = decider
        self._process = process
        self._use = use
        self._links: dict[str, _Link] = {}

    def is_silent(self, owner: str, now_s: float) -> bool:
        """Returns True if a VM didn't answer a moment ago."""
        link = self._links.get(owner)
        return link is not None and now_s < link.silent_until_s

    def schedule(self, record: account_uses.UseRecord, urgent: bool) -> None:
        """Reports an account soon.

        Args:
            record: The account's state.
            urgent: True if a request waits for the answer.
        """
        name = record.account.name
        owner = self._get_owner(record)
        if not owner:
            return
        link = self._links.get(owner)
        if link is None:
            link = self._links[owner] = _Link()
        link.records[name] = record
        if urgent or owner == self._board.identity.vm:
            link.urgent.set()
        if link.task is None:
            link.task = asyncio.create_task(self._run_link(owner, link))

    def drop_idle(self, now_s: float) -> None:
        """Drops the links that have nothing to report."""
        for owner, link in list(self._links.items()):
            if link.task is None and now_s > link.silent_until_s:
                del self._links[owner]

    def close(self) -> None:
        """Stops all reports."""
        for link in self._links.values():
            if link.task is not None:
                link.task.cancel()

    def _get_owner(self, record: account_uses.UseRecord) -> str:
        """Returns the VM to report to; empty if unknown."""
        if asyncio.get_running_loop().time() < record.redirect_until_s:
            return record.redirect
        return self._decider.get_owner(record.account.name)

    async def _run_link(self, owner: str, link: _Link) -> None:
        """Sends reports to a VM until there is nothing to report."""
        try:
            while link.records:
                if not link.urgent.is_set():
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(REPORT_DELAY_S):
                            await link.urgent.wait()
                link.urgent.clear()
                if await self._send(owner, link):
                    # Another VM still holds the account.
                    await asyncio.sleep(TAKE_OVER_RETRY_S)
        except Exception:
            _logger.exception("unexpected error while reporting to {}", owner)
            link.records.clear()
        finally:
            link.task = None

    async def _send(self, owner: str, link: _Link) -> bool:
        """Sends one report; returns True if it should be repeated soon."""
        loop = asyncio.get_running_loop()
        batch: list[account_uses.UseRecord] = []
        while link.records and len(batch) < MAX_BATCH:
            _, record = link.records.popitem()
            if record.in_flight is not None:
                # Its former owner has not answered yet.
                continue
            if self._get_owner(record) != owner:
                self.schedule(record, bool(record.waiters))
                continue
            record.in_flight = len(record.waiters)
            batch.append(record)
        if not batch:
            return False
        sent_s = loop.time()
        uses = tuple(
            messages.Use(
                record.account.name,
                record.credit.get_asked(record.in_flight or 0),
                record.credit.settled,
            )
            for record in batch
        )
        try:
            result = await self._exchange(owner, uses)
            now_s = loop.time()
            late = now_s - sent_s > account_limits.LEND_TIMEOUT_S
            if result.is_error() or late:
                detail = "late" if result.is_ok() else result.error.detail
                _logger.info("no answer on accounts from {}: {}", owner, detail)
                link.silent_until_s = now_s + SILENCE_S
                return False
            repeat = False
            for record, decision in zip(batch, result.ok, strict=True):
                waiting = record.in_flight or 0
                record.in_flight = None
                if self._apply(record, decision, waiting, now_s):
                    self.schedule(record, urgent=True)
                    repeat |= (
                        decision.state is not account_buckets.State.LENDING
                    )
            return repeat
        finally:
            for record in batch:
                if record.in_flight is not None:
                    self._fail(record)

    async def _exchange(
        self, owner: str, uses: tuple[messages.Use, ...]
    ) -> expression.Result[list[account_buckets.Decision], errors.Failure]:
        """Sends uses to a VM, or decides on them if it is this one."""
        now_s = asyncio.get_running_loop().time()
        if owner == self._board.identity.vm:
            self._decider.observe(now_s)
            return expression.Ok(
                [
                    self._decider.decide(self._process, use, now_s)
                    for use in uses
                ]
            )
        result = await self._client.call(
            self._decider.get_address(owner),
            messages.REPORTS_PATH,
            messages.encode(messages.Report(self._process, uses)),
            account_limits.LEND_TIMEOUT_S,
        )
        if result.is_error():
            return expression.Error(result.error)
        return account_encoding.decode_decisions(result.ok, len(uses))

    def _fail(self, record: account_uses.UseRecord) -> None:
        """Handles a report without an answer."""
        record.credit.skip(record.in_flight or 0)
        record.in_flight = None
        while record.waiters:
            record.answer_next(False)

    def _apply(
        self,
        record: account_uses.UseRecord,
        decision: account_buckets.Decision,
        waiting: int,
        now_s: float,
    ) -> bool:
        """Applies a decision; returns True if requests still wait."""
        if decision.state is account_buckets.State.LENDING:
            record.decided_s = now_s
            spare = record.credit.settle(decision.settled)
            while spare and record.waiters:
                spare -= 1
                record.uses.add(now_s)
                record.answer_next(True)
            record.room_s = now_s + decision.room_s
            if decision.room_s > 0:
                record.next_return_s = now_s + decision.return_s
                record.spacing_s = decision.spacing_s
        else:
            record.credit.skip(waiting)
            was_redirected = now_s < record.redirect_until_s
            record.redirect_until_s = -math.inf
            if not was_redirected and self._decider.get_address(decision.owner):
                record.redirect = decision.owner
                record.redirect_until_s = now_s + REDIRECT_S
        while record.waiters and self._use(record, now_s):
            record.answer_next(True)
        if (
            now_s < record.room_s
            or decision.state is account_buckets.State.OUT_OF_TOUCH
        ):
            while record.waiters:
                record.answer_next(False)
        return bool(record.waiters)
