"""Any order of events keeps an account's limit over all VMs."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp.policy import account_limits, limit_shares
from tests.policy import account_model

VMS = 6
NAMES = [f"vm-{number}" for number in range(VMS)]
ASSUMED_RESTART_S = account_model.WINDOW_S + limit_shares.MAX_UPDATE_DELAY_S


class AccountLimitMachine(stateful.RuleBasedStateMachine):
    """Demand, lost messages, joins, losses, cuts, pauses and limit changes."""

    @stateful.initialize(
        rate=st.sampled_from([0.05, 2.0, 20.0]),
        burst=st.sampled_from([0.0, 30.0]),
        first=st.booleans(),
        slack=st.sampled_from([4.0, 20.0]),
    )
    def start(
        self, rate: float, burst: float, first: bool, slack: float
    ) -> None:
        tolerance = account_limits.Tolerance(account_model.WINDOW_S, 0.1, slack)
        self.model = account_model.Model(
            VMS, 4, (rate, burst), first, tolerance
        )
        self.restarted_s = 0.0
        self.listed_s = 0.0

    @stateful.rule(vm=st.sampled_from(NAMES), count=st.integers(1, 30))
    def send_on_credit(self, vm: str, count: int) -> None:
        for _ in range(count):
            self.model.use(self.model.vms[vm])

    @stateful.rule(
        vm=st.sampled_from(NAMES),
        waiting=st.integers(0, 40),
        fate=st.sampled_from(account_model.Fate),
    )
    def report(self, vm: str, waiting: int, fate: account_model.Fate) -> None:
        self.model.report(self.model.vms[vm], waiting, fate)

    @stateful.rule(
        vm=st.sampled_from(NAMES),
        count=st.integers(1, 30),
        fate=st.none() | st.sampled_from(account_model.Fate),
    )
    def leave_unsent(
        self, vm: str, count: int, fate: account_model.Fate | None
    ) -> None:
        """Callers leave before their requests are sent, reported or not."""
        chosen = self.model.vms[vm]
        used = sum(self.model.use(chosen) for _ in range(count))
        del self.model.sent_s[len(self.model.sent_s) - used :]
        if fate is not None:
            self.model.report(chosen, 0, fate)
        for _ in range(used):
            chosen.credit.give_back()

    @stateful.rule(
        seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 5.0, 8.0]),
        vms=st.sets(st.sampled_from(NAMES)),
    )
    def flood(self, seconds: float, vms: set[str]) -> None:
        """Lets time pass while callers of some VMs send all they can."""
        until_s = self.model.now_s + seconds
        while self.model.now_s < until_s:
            self.model.advance(account_model.STEP_S)
            for vm in sorted(vms):
                while self.model.ask(self.model.vms[vm]):
                    pass
            self.keep_the_limit()

    @stateful.rule(vms=st.sets(st.sampled_from(NAMES), min_size=2, max_size=5))
    def change_list(self, vms: set[str]) -> None:
        self.listed_s = self.model.now_s
        self.model.change(frozenset(vms), None)

    @stateful.rule(
        rate=st.sampled_from([0.05, 2.0, 20.0]),
        burst=st.sampled_from([0.0, 30.0]),
    )
    def change_limit(self, rate: float, burst: float) -> None:
        self.model.change(None, (rate, burst))

    @stateful.rule(vm=st.sampled_from(NAMES), cut=st.booleans())
    def cut_from_store(self, vm: str, cut: bool) -> None:
        self.model.vms[vm].cut = cut

    @stateful.rule(vm=st.sampled_from(NAMES), paused=st.booleans())
    def pause(self, vm: str, paused: bool) -> None:
        self.model.vms[vm].paused = paused

    @stateful.rule(
        first=st.sampled_from(NAMES),
        second=st.sampled_from(NAMES),
        cut=st.booleans(),
    )
    def cut_link(self, first: str, second: str, cut: bool) -> None:
        link = frozenset((first, second))
        if cut:
            self.model.cut_links.add(link)
        else:
            self.model.cut_links.discard(link)

    @stateful.rule(vm=st.sampled_from(NAMES))
    def restart(self, vm: str) -> None:
        """One restart in a window, not just after a change of the list."""
        now_s = self.model.now_s
        chosen = self.model.vms[vm]
        if (
            now_s - max(self.restarted_s, self.listed_s) > ASSUMED_RESTART_S
            and not chosen.cut
            and not chosen.paused
        ):
            self.restarted_s = now_s
            self.model.restart(vm)

    @stateful.invariant()
    def keep_the_limit(self) -> None:
        model = getattr(self, "model", None)
        if model is not None:
            assert model.count_recent() <= model.get_bound()


AccountLimitMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=60, deadline=None
)
TestAccountLimit = AccountLimitMachine.TestCase
