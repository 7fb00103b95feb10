"""Decides on other VMs' reports about the accounts that this VM owns."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from azureramp import catalog
from azureramp.controllers.forwarding import account_encoding, account_waits
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import (
    account_buckets,
    account_handovers,
    account_lending,
    account_limits,
    account_owners,
)
from azureramp.ports.vms import account_messages as messages
from azureramp.ports.vms import api as vms_api
from azureramp.ports.web import api as web_api

MAX_ACCOUNTS_PER_MESSAGE = 200

COMPARISON_INTERVAL_S = 0.3
"""Time between two questions for a VM's list, in seconds."""

_logger = logbook.Logger("azureramp.account_decider")


class AccountDecider:
    """Answers reports, and moves accounts between their owners."""

    __slots__ = (
        "_accounts",
        "_addresses",
        "_advertised",
        "_board",
        "_client",
        "_comparisons",
        "_lending",
        "_seen",
        "_tasks",
        "_to_release",
        "_waits",
    )

    def __init__(
        self, board: board_module.Board, client: vms_api.VmClient
    ) -> None:
        """Creates the state of a process that has just started.

        Args:
            board: The process's state.
            client: Client of the other VMs.
        """
        identity = board.identity
        self._board = board
        self._client = client
        self._lending = account_lending.Lending(
            identity.vm, board.started_s, identity.first_start
        )
        self._seen: object = None
        self._accounts: catalog.Accounts | None = None
        self._advertised: frozenset[str] = frozenset()
        self._addresses: dict[str, str] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._to_release: dict[str, set[str]] = {}
        self._comparisons: dict[str, asyncio.Task[None]] = {}
        self._waits = account_waits.AccountWaits(self._describe_holders)

    def observe(self, now_s: float) -> bool:
        """Records the VMs and the contact with the store; call it often.

        Returns:
            True if the advertised VMs have changed.
        """
        board = self._board
        changed = board.advertised is not self._seen
        if changed:
            self._seen = board.advertised
            self._advertised = frozenset(board.advertised)
            for vm, member in board.advertised.items():
                self._addresses[vm] = member.peer_address
        if self._advertised:
            self._lending.observe(
                self._advertised, self._get_contact_age_s(now_s), now_s
            )
        self._apply_limits(now_s)
        return changed

    def get_owner(self, account: str) -> str:
        """Returns the VM that decides for an account; empty if unknown."""
        return self._lending.history.get_owner(account)

    def get_reserved_share(self) -> float:
        """Returns the share of the credit that replaced VMs may still use."""
        return self._lending.history.compute_reserved_share()

    def get_address(self, vm: str) -> str:
        """Returns a VM's peer address; empty if it is unknown.

        An account may be held by a VM that was advertised only while this one
        was cut off from the store, so all VMs of the tier are looked up.
        """
        member = self._board.members.get(vm)
        if member is not None:
            return member.peer_address
        return self._addresses.get(vm, "")

    def get_budget(self, account: catalog.Account) -> account_limits.Budget:
        """Returns an account's budget."""
        return account_limits.compute_budget(
            account.rate_per_s, account.burst, self._board.bounds.account_limits
        )

    def decide(
        self, process: str, use: messages.Use, now_s: float
    ) -> account_buckets.Decision:
        """Decides on one account of a report; see `account_lending`."""
        account = self._find_account(use.account)
        if account is None:
            # This VM may not have received the newest configuration yet.
            return account_buckets.Decision(account_buckets.State.OUT_OF_TOUCH)
        if account.rate_per_s <= 0:
            return account_buckets.Decision(
                account_buckets.State.LENDING, use.asked
            )
        decision = self._lending.decide(
            use.account,
            self.get_budget(account),
            process,
            use.asked,
            use.settled,
            now_s,
        )
        self._waits.record(use.account, decision.state, now_s)
        if decision.state is account_buckets.State.TAKING_OVER:
            self._take_over(use.account, now_s)
        return decision

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Handles another VM's message.

        Returns:
            Status 200 with the answer; 400 for a malformed message.
        """
        now_s = asyncio.get_running_loop().time()
        self.observe(now_s)
        try:
            if request.path == messages.REPORTS_PATH:
                body = self._answer_report(
                    messages.decode_report(request.body), now_s
                )
            elif request.path == messages.LISTS_PATH:
                list_id = account_owners.compute_list_id(self._advertised)
                body = messages.encode(messages.ListAnswer(list_id))
            else:
                body = self._answer_release(
                    messages.decode_release(request.body), now_s
                )
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's message: {}", error)
            return web_api.Response(400)
        return web_api.Response(200, body, messages.CONTENT_TYPE)

    def compare_lists(self, now_s: float) -> None:
        """Asks other VMs for their lists if that matters now."""
        own = self._board.identity.vm
        if self._board.get_accounts() is None or own not in self._advertised:
            return
        unheard = self._lending.find_unheard(self._get_contact_age_s(now_s))
        for vm in unheard:
            if self.get_address(vm) and vm not in self._comparisons:
                self._comparisons[vm] = asyncio.create_task(
                    self._compare_list(vm)
                )

    def drop_idle(self, now_s: float) -> None:
        """Drops the state of idle accounts and of VMs that are gone."""
        accounts = self._board.get_accounts()
        self._lending.drop_idle(
            accounts.by_name if accounts else (),
            self._board.bounds.account_limits.window_s,
            now_s,
        )
        self._waits.drop_idle(now_s)
        listed = self._lending.history.list_vms()
        for vm in [each for each in self._addresses if each not in listed]:
            del self._addresses[vm]

    def close(self) -> None:
        """Stops all calls."""
        for task in (*self._tasks.values(), *self._comparisons.values()):
            task.cancel()

    def _apply_limits(self, now_s: float) -> None:
        """Applies new limits at once, so that buckets fill by them."""
        accounts = self._board.get_accounts()
        if accounts is self._accounts:
            return
        self._accounts = accounts
        for name in self._lending.list_active():
            account = self._find_account(name)
            if account is not None and account.rate_per_s > 0:
                self._lending.set_budget(name, self.get_budget(account), now_s)

    def _get_contact_age_s(self, now_s: float) -> float:
        return now_s - self._board.contact.last_answer_s

    def _find_account(self, name: str) -> catalog.Account | None:
        accounts = self._board.get_accounts()
        return accounts.by_name.get(name) if accounts else None

    def _answer_report(self, report: messages.Report, now_s: float) -> bytes:
        """Decides on all accounts of a report."""
        settlements: list[messages.Settlement] = []
        for use in report.uses:
            decision = self.decide(report.process, use, now_s)
            settlements.append(account_encoding.encode_decision(decision))
        return messages.encode(messages.ReportAnswer(tuple(settlements)))

    def _answer_release(
        self, request: messages.ReleaseRequest, now_s: float
    ) -> bytes:
        """Gives up the accounts that another VM takes over."""
        buckets: list[messages.ReleasedBucket] = []
        for name in request.accounts:
            account = self._find_account(name)
            if account is None or account.rate_per_s <= 0:
                buckets.append(messages.ReleasedBucket(None, ""))
                continue
            given = self._lending.release(
                name, self.get_budget(account), request.vm, now_s
            )
            buckets.append(messages.ReleasedBucket(given.level, given.holder))
        return messages.encode(messages.ReleaseAnswer(tuple(buckets)))

    def _describe_holders(self, account: str, now_s: float) -> str:
        """Names the VMs that must give up an account first, for the logs."""
        return ", ".join(
            vm if self.get_address(vm) else f"{vm} (address unknown)"
            for vm in sorted(self._lending.find_holders(account, now_s))
        )

    def _take_over(self, account: str, now_s: float) -> None:
        """Asks the VMs that may hold an account to give it up."""
        for vm in self._lending.find_holders(account, now_s):
            if not self.get_address(vm):
                continue
            self._to_release.setdefault(vm, set()).add(account)
            if vm not in self._tasks:
                self._tasks[vm] = asyncio.create_task(self._request_release(vm))

    async def _request_release(self, vm: str) -> None:
        """Asks one VM for accounts; a failure is retried on demand."""
        try:
            while waiting := self._to_release.get(vm):
                names = tuple(sorted(waiting)[:MAX_ACCOUNTS_PER_MESSAGE])
                waiting.difference_update(names)
                request = messages.ReleaseRequest(
                    self._board.identity.vm, names
                )
                asked_at = self._lending.count_handovers()
                result = await self._client.call(
                    self.get_address(vm),
                    messages.RELEASES_PATH,
                    messages.encode(request),
                    account_limits.LEND_TIMEOUT_S,
                )
                if result.is_error():
                    return
                self._apply_release(vm, names, asked_at, result.ok)
        finally:
            self._tasks.pop(vm, None)
            self._to_release.pop(vm, None)

    async def _compare_list(self, vm: str) -> None:
        """Asks a VM for its list, and waits until it may be asked again."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            result = await self._client.call(
                self.get_address(vm),
                messages.LISTS_PATH,
                b"",
                account_limits.LEND_TIMEOUT_S,
            )
            if result.is_ok():
                answer = messages.decode_list_answer(result.ok)
                self._lending.record_list(
                    vm, answer.list_id, sent_s, loop.time()
                )
            await asyncio.sleep(COMPARISON_INTERVAL_S)
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's answer: {}", error)
        finally:
            self._comparisons.pop(vm, None)

    def _apply_release(
        self, vm: str, names: tuple[str, ...], asked_at: int, body: bytes
    ) -> None:
        """Takes over the accounts that a VM has given up."""
        try:
            answer = messages.decode_release_answer(body)
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's answer: {}", error)
            return
        now_s = asyncio.get_running_loop().time()
        self.observe(now_s)
        for name, bucket in zip(names, answer.buckets, strict=False):
            account = self._find_account(name)
            if account is None or account.rate_per_s <= 0:
                continue
            self._lending.apply_release(
                name,
                self.get_budget(account),
                vm,
                account_handovers.Released(bucket.level, bucket.holder),
                asked_at,
                now_s,
            )
