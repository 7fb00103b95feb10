"""Applies the client accounts' limits on their requests at all VMs."""

from __future__ import annotations

import asyncio
import math

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    account_decider,
    account_reports,
    account_uses,
)
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import account_limits, limit_shares
from azureramp.ports.vms import api as vms_api
from azureramp.ports.web import api as web_api

MAX_WAIT_S = 0.05
"""Maximum time that a request waits for the deciding VM, in seconds."""

MIN_WAIT_S = 0.025
"""The same for a request with little time: a few round trips."""

LATE_S = 0.005
"""Delay of a timer that shows a busy event loop, in seconds."""

WAIT_SHARE = 0.25
"""Share of a request's latency target that it may wait."""

TICK_S = 0.1
"""Interval at which VMs and pending reports are checked, in seconds."""

DROP_INTERVAL_S = 5.0
"""Interval at which idle state is dropped, in seconds."""

_logger = logbook.Logger("azureramp.account_limits")


class AccountLimits:
    """Decides whether an account may send one more request."""

    __slots__ = (
        "_board",
        "_decider",
        "_floor",
        "_observed_s",
        "_records",
        "_reporter",
        "_share",
    )

    def __init__(
        self,
        board: board_module.Board,
        client: vms_api.VmClient,
        process: str,
    ) -> None:
        """Creates limits of which nothing has been used.

        Args:
            board: The process's state.
            client: Client of the other VMs.
            process: This process's name, which changes at each start.
        """
        self._board = board
        self._decider = account_decider.AccountDecider(board, client)
        self._reporter = account_reports.AccountReporter(
            board, client, self._decider, process, self._use_credit
        )
        self._records: dict[str, account_uses.UseRecord] = {}
        # Running totals of accounts that are dropped must not start over.
        self._floor = 0
        self._share = limit_shares.LimitShare(
            board.bounds.account_limits.window_s,
            board.started_s,
            board.identity.first_start,
        )
        self._observed_s = board.started_s

    async def take(
        self,
        account: catalog.Account | None,
        target_latency_s: float = math.inf,
    ) -> errors.Failure | None:
        """Counts a request against its account's limit.

        Args:
            account: The account; None for a caller without one.
            target_latency_s: The request's latency target, in seconds.

        Returns:
            None if the request may be sent; otherwise `ACCOUNT_LIMIT` with the
            time after which there is room for it.
        """
        if account is None or account.rate_per_s <= 0:
            return None
        now_s = asyncio.get_running_loop().time()
        self._observe(now_s)
        record = self._get_record(account)
        granted = self._use_credit(record, now_s)
        if granted:
            self._reporter.schedule(record, urgent=False)
        elif record.may_have_room(now_s) and self._may_ask(record, now_s):
            wait_s = min(
                MAX_WAIT_S, max(MIN_WAIT_S, WAIT_SHARE * target_latency_s)
            )
            granted = await self._wait(record, wait_s)
        now_s = asyncio.get_running_loop().time()
        self._count(record, granted, now_s)
        return None if granted else self._refuse(record, now_s)

    def give_back(self, account: catalog.Account | None) -> None:
        """Returns the use of a request that was not sent to any searcher."""
        record = self._records.get(account.name) if account else None
        if record:
            record.credit.give_back()

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Handles another VM's message; see `account_messages`."""
        return await self._decider.handle(request)

    async def run(self) -> None:
        """Follows the VMs and repeats reports, until cancelled."""
        dropped_s = -math.inf
        while True:
            now_s = asyncio.get_running_loop().time()
            self._observe(now_s)
            self._update_share(now_s)
            self._check_records(now_s)
            self._decider.compare_lists(now_s)
            if now_s >= dropped_s + DROP_INTERVAL_S:
                dropped_s = now_s
                self._decider.drop_idle(now_s)
                self._reporter.drop_idle(now_s)
            await asyncio.sleep(TICK_S)

    def close(self) -> None:
        """Stops all calls to other VMs."""
        self._reporter.close()
        self._decider.close()

    def describe(self) -> list[account_uses.AccountUse]:
        """Describes the accounts that were used lately, ordered by name."""
        share, owner = self._share.value, self._decider.get_owner
        window_s = self._board.bounds.account_limits.window_s
        now_s = asyncio.get_running_loop().time()
        return [
            record.describe(owner(name), share, window_s, now_s)
            for name, record in sorted(self._records.items())
        ]

    def _observe(self, now_s: float) -> None:
        """Notices a pause of the process and changes of the other VMs."""
        if now_s - self._observed_s > limit_shares.STALE_CONTACT_S:
            # The other VMs may have divided this VM's share among them.
            self._share = limit_shares.LimitShare(
                self._board.bounds.account_limits.window_s,
                now_s,
                first_start=False,
            )
        self._observed_s = now_s
        if self._decider.observe(now_s):
            self._update_share(now_s)

    def _update_share(self, now_s: float) -> None:
        """Updates this VM's share of the credit of all VMs."""
        board = self._board
        self._share.update(
            account_limits.compute_credit_share(
                len(board.advertised),
                board.identity.vm in board.advertised,
                now_s - board.contact.last_answer_s
                > limit_shares.STALE_CONTACT_S,
                self._decider.get_reserved_share(),
            ),
            now_s,
        )

    def _get_record(self, account: catalog.Account) -> account_uses.UseRecord:
        """Returns an account's state, with its newest limit."""
        tolerance = self._board.bounds.account_limits
        record = self._records.get(account.name)
        if record is None:
            record = account_uses.UseRecord(account, tolerance, self._floor)
            self._records[account.name] = record
        elif not record.is_configured(account, tolerance):
            record.configure(account, tolerance)
        return record

    def _use_credit(self, record: account_uses.UseRecord, now_s: float) -> bool:
        """Uses this VM's credit for one request; False if none is left."""
        if not record.credit.use(
            now_s,
            self._board.bounds.account_limits.window_s,
            record.budget.local * self._share.value,
        ):
            return False
        record.uses.add(now_s)
        return True

    def _may_ask(self, record: account_uses.UseRecord, now_s: float) -> bool:
        """Returns True if the deciding VM should answer."""
        owner = self._decider.get_owner(record.account.name)
        return bool(owner) and not self._reporter.is_silent(owner, now_s)

    async def _wait(
        self, record: account_uses.UseRecord, wait_s: float
    ) -> bool:
        """Waits for the deciding VM; returns True if the request is admitted.

        Args:
            record: The account's state.
            wait_s: Maximum time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        record.waiters.append(waiter)
        self._reporter.schedule(record, urgent=True)
        until_s = loop.time() + wait_s
        try:
            await asyncio.wait((waiter,), timeout=wait_s)
            if not waiter.done() and loop.time() - until_s > LATE_S:
                # The answer may have come while the event loop was busy.
                await asyncio.wait((waiter,), timeout=MIN_WAIT_S)
            return waiter.done() and waiter.result()
        finally:
            if waiter in record.waiters:
                record.waiters.remove(waiter)

    def _count(
        self, record: account_uses.UseRecord, granted: bool, now_s: float
    ) -> None:
        """Counts a decision, and logs when the account reaches its limit."""
        account = record.account
        window_s = self._board.bounds.account_limits.window_s
        self._board.metrics.accounts.count(
            account.name,
            "admitted" if granted else "refused",
            not granted or record.is_near_limit(window_s, now_s),
        )
        if not granted:
            record.refusals.add(now_s)
        if not granted and record.limited_s is None:
            record.limited_s = now_s
            known = self._explain(record, now_s)
            _logger.info(
                "account {} reached its limit: {}", account.name, known
            )

    def _refuse(
        self, record: account_uses.UseRecord, now_s: float
    ) -> errors.Failure:
        """Returns the failure of a request beyond the limit."""
        window_s = self._board.bounds.account_limits.window_s
        wait_s = min(
            account_reports.SILENCE_S,
            record.credit.get_wait_s(now_s, window_s),
        )
        if now_s < record.room_s:
            wait_s = record.choose_return_s(now_s) - now_s
        return errors.Failure(
            errors.Kind.ACCOUNT_LIMIT,
            f"account {record.account.name}: {self._explain(record, now_s)}",
            max(1, math.ceil(wait_s * 1000)),
        )

    def _explain(self, record: account_uses.UseRecord, now_s: float) -> str:
        """Describes the inputs of a decision and their age."""
        return record.explain(
            self._decider.get_owner(record.account.name),
            self._share.value,
            self._board.bounds.account_limits.window_s,
            now_s,
        )

    def _check_records(self, now_s: float) -> None:
        """Repeats reports that are due, and drops idle accounts."""
        window_s = self._board.bounds.account_limits.window_s
        for name, record in list(self._records.items()):
            unsettled = record.credit.count_unsettled(now_s, window_s)
            if (
                unsettled
                and record.may_have_room(now_s)
                and self._may_ask(record, now_s)
            ):
                self._reporter.schedule(record, urgent=False)
            if record.limited_s is not None and not record.refusals.get(now_s):
                _logger.info(
                    "account {} is within its limit again after {:.1f} s: {}",
                    name,
                    now_s - record.limited_s,
                    self._explain(record, now_s),
                )
                record.limited_s = None
            if not unsettled and record.is_idle(now_s):
                self._floor = max(self._floor, record.credit.get_asked(0))
                del self._records[name]
