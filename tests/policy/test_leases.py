"""No two VMs may send to one cold searcher, whatever is lost or late.

Each broken cell leaves out one guard; the same search must find that two VMs
hold one searcher. Were a guard not needed, its broken cell would pass.
"""

from __future__ import annotations

import itertools
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp.policy import leases
from tests.policy import lease_model

NAMES = ("a", "b", "c")
ALL = ("a", "b", "c", "d", "e")
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=20,
    suppress_health_check=list(hypothesis.HealthCheck),
    report_multiple_bugs=False,
    phases=[hypothesis.Phase.generate],
)
CALM_S = lease_model.LAG_S + lease_model.READ_S
STEPS = 60


class Machine(stateful.RuleBasedStateMachine):
    """Claims, heartbeats and faults in any order.

    A rule runs many drawn steps, since two holders take a certain sequence
    of about six events that single rules find too seldom.
    """

    cell_type: type[lease_model.Cell] = lease_model.Cell

    def __init__(self) -> None:
        super().__init__()
        self.cell = self.cell_type(NAMES)
        self.lags_s: dict[str, float] = {}
        for name in NAMES:
            self.cell.claim(name, frozenset({lease_model.SEARCHER}))
        self.cell.advance(lease_model.LEASE_S + 0.1, self.lags_s)

    @stateful.rule(seed=st.integers(0, 2**32))
    def lose_delay_and_double(self, seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(STEPS):
            match rng.choices(range(5), (16, 10, 6, 1, 1))[0]:
                case 0:
                    self._beat(rng)
                case 1:
                    keep = rng.random() < 0.2
                    self.cell.deliver(rng.randrange(1000), keep=keep)
                case 2:
                    by_s = rng.choice([0.05, 0.2, 0.7])
                    self.cell.advance(by_s, self.lags_s)
                case 3:
                    self.restart(rng.choice(list(self.cell.nodes)))
                case _:
                    name = rng.choice(list(self.cell.nodes))
                    claims = self.cell.nodes[name].lease.get_claims()
                    self.cell.claim(name, claims ^ {lease_model.SEARCHER})
            self.at_most_one_holds_the_searcher()

    @stateful.rule(by_s=st.sampled_from([0.1, 0.4, 0.9]))
    def advance(self, by_s: float) -> None:
        self.cell.advance(by_s, self.lags_s)

    @stateful.rule(vm=st.sampled_from(ALL))
    def pause_or_wake(self, vm: str) -> None:
        if vm in self.cell.nodes:
            node = self.cell.nodes[vm]
            node.paused = not node.paused

    @stateful.rule(vm=st.sampled_from(ALL))
    def restart(self, vm: str) -> None:
        if vm in self.cell.nodes:
            self.cell.start(vm)
            self.cell.claim(vm, frozenset({lease_model.SEARCHER}))

    @stateful.rule(
        names=st.sampled_from(list(itertools.combinations(ALL, 3))),
        lagging=st.sets(st.sampled_from(ALL)),
    )
    def change_list(self, names: tuple[str, ...], lagging: set[str]) -> None:
        changed_s, _ = self.cell.history[-1]
        if self.cell.now_s - changed_s < CALM_S:
            self.cell.advance(CALM_S, self.lags_s)
        self.lags_s = dict.fromkeys(lagging, lease_model.LAG_S)
        self.cell.change_list(names)
        for name in set(names).difference(self.cell.nodes):
            self.cell.start(name)
            self.cell.claim(name, frozenset({lease_model.SEARCHER}))
        self.cell.advance(lease_model.LEASE_S + 0.1, self.lags_s)
        for node in self.cell.nodes.values():
            node.paused = False

    @stateful.invariant()
    def at_most_one_holds_the_searcher(self) -> None:
        assert len(self.cell.find_holders()) <= 1

    def _beat(self, rng: random.Random) -> None:
        """Sends a heartbeat that reaches some at once, and others late."""
        name = rng.choice(list(self.cell.nodes))
        reached = frozenset(vm for vm in ALL if rng.random() < 0.4)
        self.cell.beat(name, reached, answered=rng.random() < 0.7)
        del self.cell.wire[:-40]


def test_no_two_vms_hold_one_searcher() -> None:
    stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


class RestartedVoter(lease_model.Cell):
    """A restarted VM acknowledges at once, its promises forgotten."""

    def make_promises(self, started_s: float) -> leases.Promises:
        return super().make_promises(started_s - lease_model.LEASE_S)


class FromArrival(lease_model.Cell):
    """The lease counts from the acknowledgement's arrival."""

    def receive_ack(self, ack: lease_model.Ack) -> None:
        node = self.nodes.get(ack.target.vm)
        if node is not None and node.holder == ack.target:
            node.lease.record_sent(ack.sequence, self.clock(node))
        super().receive_ack(ack)


class NewestListOnly(lease_model.Cell):
    """The majority is one of the list read last."""

    def read(self, name: str, lag_s: float) -> None:
        node = self.nodes[name]
        node.window = type(node.window)(0.0)
        super().read(name, lag_s)

    def receive_ack(self, ack: lease_model.Ack) -> None:
        ack.lists = ()
        super().receive_ack(ack)


@pytest.mark.parametrize(
    "broken", [RestartedVoter, FromArrival, NewestListOnly]
)
def test_a_cell_without_one_guard_is_caught(
    broken: type[lease_model.Cell],
) -> None:
    machine = type(broken.__name__, (Machine,), {"cell_type": broken})

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)
