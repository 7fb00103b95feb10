"""VMs that keep one account's limit together, in simulated time with faults.

Each VM learns of changes of the advertised VMs and of the limit after a lag of
its own, below the maximum delay, unless it is cut from the store or paused.
"""

from __future__ import annotations

import dataclasses
import enum

from azureramp.policy import (
    account_buckets,
    account_credit,
    account_handovers,
    account_lending,
    account_limits,
    account_owners,
    limit_shares,
)

ACCOUNT = "yard"
TOLERANCE = account_limits.Tolerance(5.0, 0.1, 20.0)
WINDOW_S = TOLERANCE.window_s
STEP_S = 0.1
COMPARISON_INTERVAL_S = 0.3

Limit = tuple[float, float]


class Fate(enum.Enum):
    """What happens to a message."""

    ANSWERED = "answered"
    LATE = "late"
    LOST = "lost"
    ANSWER_LOST = "answer lost"


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM's process."""

    name: str
    lag_s: float
    lending: account_lending.Lending
    share: limit_shares.LimitShare
    view: tuple[frozenset[str], Limit]
    process: str
    credit: account_credit.AccountCredit = dataclasses.field(
        default_factory=account_credit.AccountCredit
    )
    contact_s: float = 0.0
    compared_s: float = 0.0
    cut: bool = False
    paused: bool = False


class Model:
    """All VMs, the store's list and limit, and the requests sent."""

    def __init__(
        self,
        vms: int,
        advertised: int,
        limit: Limit,
        first: bool = True,
        tolerance: account_limits.Tolerance = TOLERANCE,
        account: str = ACCOUNT,
        max_lag_s: float = limit_shares.MAX_UPDATE_DELAY_S,
    ) -> None:
        self.account = account
        self.tolerance = tolerance
        self.now_s = 100.0
        names = [f"vm-{number}" for number in range(vms)]
        state = (frozenset(names[:advertised]), limit)
        self.history = [(0.0, state)]
        self.cut_links: set[frozenset[str]] = set()
        self.sent_s: list[float] = []
        self.messages = 0
        self._bounds: list[tuple[float, float]] = []
        self._starts = 0
        self.vms: dict[str, Vm] = {}
        for number, name in enumerate(names):
            self._start(name, number % 4 / 4 * max_lag_s, first)
        self._update_all()

    def _start(self, name: str, lag_s: float, first: bool) -> None:
        self._starts += 1
        self.vms[name] = Vm(
            name,
            lag_s,
            account_lending.Lending(name, self.now_s, first),
            limit_shares.LimitShare(WINDOW_S, self.now_s, first),
            self.vms[name].view if name in self.vms else self.history[-1][1],
            f"{name}#{self._starts}",
            contact_s=self.now_s,
        )

    def restart(self, name: str) -> None:
        """A VM's process is killed and replaced at once."""
        self._start(name, self.vms[name].lag_s, first=False)
        self._update(self.vms[name])

    def change(
        self, advertised: frozenset[str] | None, limit: Limit | None
    ) -> None:
        """The store gets another list of VMs or another limit."""
        old = self.history[-1][1]
        self.history.append(
            (self.now_s, (advertised or old[0], limit or old[1]))
        )

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        until_s = self.now_s + seconds
        while self.now_s < until_s - 1e-9:
            self.now_s = min(until_s, self.now_s + STEP_S)
            self._update_all()
            for vm in self.vms.values():
                due = self.now_s >= vm.compared_s + COMPARISON_INTERVAL_S
                if due and not vm.paused and vm.name in vm.view[0]:
                    vm.compared_s = self.now_s
                    self._compare_lists(vm)

    def _compare_lists(self, vm: Vm) -> None:
        for name in vm.lending.find_unheard(self.now_s - vm.contact_s):
            other = self.vms[name]
            self.messages += 1
            if not other.paused and not self._is_cut(vm, other):
                list_id = account_owners.compute_list_id(other.view[0])
                vm.lending.record_list(name, list_id, self.now_s, self.now_s)

    def _update_all(self) -> None:
        for vm in self.vms.values():
            self._update(vm)
        bound = max(
            account_limits.compute_bound(*vm.view[1], self.tolerance)
            for vm in self.vms.values()
        )
        self._bounds = [*self._bounds[-100:], (self.now_s, bound)]

    def _update(self, vm: Vm) -> None:
        if vm.paused:
            return
        if not vm.cut:
            vm.contact_s = self.now_s
            for at_s, state in self.history:
                if at_s <= self.now_s - vm.lag_s:
                    vm.view = state
        self._observe(vm)

    def _observe(self, vm: Vm) -> None:
        age_s = self.now_s - vm.contact_s
        vm.lending.observe(vm.view[0], age_s, self.now_s)
        vm.lending.set_budget(self.account, self.get_budget(vm), self.now_s)
        stale = age_s > limit_shares.STALE_CONTACT_S
        vm.share.update(self.compute_share(vm, stale), self.now_s)

    def compute_share(self, vm: Vm, stale: bool) -> float:
        return account_limits.compute_credit_share(
            len(vm.view[0]),
            vm.name in vm.view[0],
            stale,
            vm.lending.history.compute_reserved_share(),
        )

    def get_budget(self, vm: Vm) -> account_limits.Budget:
        return account_limits.compute_budget(*vm.view[1], self.tolerance)

    def use(self, vm: Vm) -> bool:
        """Sends a request on credit, if there is any."""
        allowed = self.get_budget(vm).local * vm.share.value
        if vm.paused or not vm.credit.use(self.now_s, WINDOW_S, allowed):
            return False
        self.sent_s.append(self.now_s)
        return True

    def report(
        self,
        vm: Vm,
        waiting: int,
        fate: Fate = Fate.ANSWERED,
        redirect: str = "",
    ) -> int:
        """Reports to the owner; returns how many waiting requests are sent."""
        name = redirect or vm.lending.history.get_owner(self.account)
        owner = self.vms[name]
        if vm.paused:
            return 0
        self.messages += vm is not owner
        lost = fate is Fate.LOST or owner.paused or self._is_cut(vm, owner)
        if lost and vm is not owner:
            vm.credit.skip(waiting)
            return 0
        self._observe(owner)
        decision = owner.lending.decide(
            self.account,
            self.get_budget(owner),
            vm.process,
            vm.credit.get_asked(waiting),
            vm.credit.settled,
            self.now_s,
        )
        if decision.state is account_buckets.State.TAKING_OVER:
            self.take_over(owner)
        if fate is Fate.LATE:
            self.advance(account_limits.LEND_TIMEOUT_S - 0.01)
        if fate is Fate.ANSWER_LOST or (
            decision.state is not account_buckets.State.LENDING
        ):
            vm.credit.skip(waiting)
            if fate is Fate.ANSWERED and decision.owner and not redirect:
                return self.report(vm, waiting, fate, decision.owner)
            return 0
        granted = min(waiting, vm.credit.settle(decision.settled))
        self.sent_s += [self.now_s] * granted
        return granted

    def take_over(self, vm: Vm) -> None:
        """Asks the VMs that may hold the account for it."""
        for name in vm.lending.find_holders(self.account, self.now_s):
            other = self.vms[name]
            self.messages += 1
            if other.paused or self._is_cut(vm, other):
                continue
            asked_at = vm.lending.count_handovers()
            self.apply_release(vm, other, self.release(other, vm), asked_at)

    def release(self, vm: Vm, to: Vm) -> account_handovers.Released:
        """Gives up the account to another VM that asks for it."""
        self._observe(vm)
        return vm.lending.release(
            self.account, self.get_budget(vm), to.name, self.now_s
        )

    def apply_release(
        self,
        vm: Vm,
        other: Vm,
        released: account_handovers.Released,
        asked_at: int,
    ) -> None:
        """Handles another VM's answer to a request for the account."""
        vm.lending.apply_release(
            self.account,
            self.get_budget(vm),
            other.name,
            released,
            asked_at,
            self.now_s,
        )

    def ask(self, vm: Vm) -> bool:
        """Handles one request as a VM does; returns True if it is sent."""
        if self.use(vm):
            self.report(vm, 0)
            return True
        for _ in range(2):
            if self.report(vm, 1):
                return True
            if self.use(vm):
                return True
        return False

    def _is_cut(self, vm: Vm, other: Vm) -> bool:
        return frozenset((vm.name, other.name)) in self.cut_links

    def count_recent(self) -> int:
        """Returns the requests sent in the window that ends now."""
        oldest_s = self.now_s - WINDOW_S
        return sum(at_s >= oldest_s for at_s in self.sent_s[-1000:])

    def get_bound(self) -> float:
        """Returns the most requests allowed in the window that ends now.

        A lower limit binds a window after all VMs have received it.
        """
        oldest_s = self.now_s - WINDOW_S - STEP_S
        return max(bound for at_s, bound in self._bounds if at_s >= oldest_s)
