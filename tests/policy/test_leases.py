"""No two VMs may send to one cold searcher, whatever is lost or late.

Each broken cell leaves out one guard; the same search must find that two VMs
hold one searcher. Were a guard not needed, its broken cell would pass.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

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
    max_examples=200,
    stateful_step_count=20,
    suppress_health_check=list(hypothesis.HealthCheck),
    report_multiple_bugs=False,
    phases=[hypothesis.Phase.generate],
)
LISTS = [
    names for size in (2, 3, 4) for names in itertools.combinations(ALL, size)
]
CALM_S = lease_model.LAG_S + lease_model.READ_S
STEPS = 60


class Machine(stateful.RuleBasedStateMachine):
    """Claims, heartbeats and faults in any order.

    A rule runs many drawn steps, since two holders take a certain sequence
    of about six events that single rules find too seldom. How often each kind
    of step comes, who claims and who is cut off is drawn for each run.
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
        nodes = list(self.cell.nodes)
        claimants = rng.sample(nodes, min(2, len(nodes)))
        for name in claimants:
            self.cell.claim(name, frozenset({lease_model.SEARCHER}))
        near = {vm for vm in ALL if rng.random() < 0.5}
        weights = (16, rng.choice((2, 16)), 6, rng.choice((0, 0, 3)), 1)
        for _ in range(STEPS):
            match rng.choices(range(5), weights)[0]:
                case 0:
                    self._beat(rng, rng.choice(claimants), near)
                case 1:
                    keep = rng.random() < 0.2
                    self.cell.deliver(rng.randrange(1000), keep=keep)
                case 2:
                    by_s = rng.choice([0.05, 0.2, 0.7])
                    self.cell.advance(by_s, self.lags_s)
                case 3:
                    self.restart(rng.choice(nodes))
                case _:
                    name = rng.choice(claimants)
                    claims = self.cell.nodes[name].lease.get_claims()
                    self.cell.claim(name, claims ^ {lease_model.SEARCHER})
            self.at_most_one_holds_the_searcher()

    @stateful.rule(by_s=st.sampled_from([0.1, 0.4, 0.9]))
    def advance(self, by_s: float) -> None:
        self.cell.advance(by_s, self.lags_s)

    @stateful.rule(vm=st.sampled_from(ALL))
    def pause_one_and_wake_the_others(self, vm: str) -> None:
        for name, node in self.cell.nodes.items():
            node.paused = name == vm

    @stateful.rule(vm=st.sampled_from(ALL))
    def restart(self, vm: str) -> None:
        if vm in self.cell.nodes:
            self.cell.start(vm)
            self.cell.claim(vm, frozenset({lease_model.SEARCHER}))

    @stateful.rule(
        names=st.sampled_from(LISTS), lagging=st.sets(st.sampled_from(ALL))
    )
    def change_list(self, names: tuple[str, ...], lagging: set[str]) -> None:
        changed_s, former = self.cell.history[-1]
        if 2 * len(set(names) - set(former)) > len(names):
            return
        if self.cell.now_s - changed_s < CALM_S:
            self.cell.advance(CALM_S, self.lags_s)
        self.lags_s = dict.fromkeys(lagging, lease_model.LAG_S)
        self.cell.change_list(names)
        for name in set(names).difference(self.cell.nodes):
            self.cell.start(name)
            self.cell.claim(name, frozenset({lease_model.SEARCHER}))
        for node in self.cell.nodes.values():
            node.paused = False
        self.cell.advance(lease_model.LEASE_S + 0.1, self.lags_s)

    @stateful.invariant()
    def at_most_one_holds_the_searcher(self) -> None:
        assert len(self.cell.find_holders()) <= 1

    def _beat(self, rng: random.Random, name: str, near: set[str]) -> None:
        """Sends a heartbeat, mostly to those on the sender's side."""
        reached = frozenset(
            vm
            for vm in ALL
            if rng.random() < (0.7 if (vm in near) == (name in near) else 0.1)
        )
        self.cell.beat(name, reached, answered=rng.random() < 0.7)
        del self.cell.wire[:-40]


def test_no_two_vms_hold_one_searcher() -> None:
    stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


class ForgottenHolder(lease_model.Cell):
    """A restarted process passes for the one that held the promise."""

    def start(self, name: str) -> None:
        super().start(name)
        self.nodes[name].holder = leases.Holder(name, 0)


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


class UnknownLists(lease_model.Cell):
    """A voter counts also if it knows a list that the claimant does not."""

    def receive_beat(self, beat: lease_model.Beat) -> lease_model.Ack | None:
        beat.lists = ()
        return super().receive_beat(beat)

    def receive_ack(self, ack: lease_model.Ack) -> None:
        ack.lists = ()
        super().receive_ack(ack)


def search(cell_type: type[lease_model.Cell], seeds: range) -> int:
    """Drives cells by plain random choice; counts those with two holders."""
    machine_type = type("Searched", (Machine,), {"cell_type": cell_type})
    found = 0
    for seed in seeds:
        rng = random.Random(seed)
        machine: Machine = machine_type()
        try:
            for _ in range(20):
                drive(machine, rng)
        except AssertionError:
            found += 1
    return found


def drive(machine: Machine, rng: random.Random) -> None:
    """Runs one rule."""
    match rng.randrange(5):
        case 0 | 1:
            machine.lose_delay_and_double(rng.randrange(2**32))
        case 2:
            machine.pause_one_and_wake_the_others(rng.choice(ALL))
        case 3:
            machine.restart(rng.choice(ALL))
        case _:
            lagging = {name for name in ALL if rng.random() < 0.5}
            machine.change_list(rng.choice(LISTS), lagging)
    machine.at_most_one_holds_the_searcher()


@pytest.mark.parametrize("broken", [RestartedVoter, FromArrival])
def test_the_search_finds_two_holders_where_a_guard_is_left_out(
    broken: type[lease_model.Cell],
) -> None:
    assert search(broken, range(40)) > 0
    assert search(lease_model.Cell, range(40)) == 0


def restart_a_voter(cell: lease_model.Cell) -> None:
    """The one VM that both majorities share forgets its promise."""
    cell.beat("a", frozenset("b"))
    cell.start("b")
    cell.beat("c", frozenset("b"))


def restart_the_holder(cell: lease_model.Cell) -> None:
    """A VM is replaced while the old process is only paused.

    The model keeps one process a name, so the old one's last lease is put
    beside the new one's.
    """
    cell.beat("a", frozenset("b"))
    old = cell.nodes["a"]
    cell.start("a")
    cell.nodes["a, paused"] = old
    old.paused = True
    cell.claim("a", frozenset({lease_model.SEARCHER}))
    cell.beat("a", frozenset("bc"))


def delay_an_acknowledgement(cell: lease_model.Cell) -> None:
    """The answer comes when the voter's promise has almost ended."""
    cell.beat("a", frozenset("bc"), answered=False)
    cell.advance(1.3, {})
    cell.deliver(0, keep=False)
    cell.deliver(0, keep=False)
    cell.advance(0.3, {})
    cell.beat("c", frozenset("b"))


def replace_a_vm(cell: lease_model.Cell) -> None:
    """Two still go by the list before the change, two by the one after."""
    cell.advance(CALM_S, {})
    cell.change_list(("b", "c", "d"))
    cell.start("d")
    cell.claim("d", frozenset({lease_model.SEARCHER}))
    lags_s = {"a": lease_model.LAG_S, "b": lease_model.LAG_S}
    cell.advance(lease_model.LEASE_S + 0.1, lags_s)
    cell.beat("a", frozenset("b"))
    cell.beat("d", frozenset("c"))


@pytest.mark.parametrize(
    ("broken", "scenario"),
    [
        (RestartedVoter, restart_a_voter),
        (ForgottenHolder, restart_the_holder),
        (FromArrival, delay_an_acknowledgement),
        (NewestListOnly, replace_a_vm),
        (UnknownLists, replace_a_vm),
    ],
)
def test_a_guard_keeps_a_second_holder_out(
    broken: type[lease_model.Cell],
    scenario: Callable[[lease_model.Cell], None],
) -> None:
    holders: list[list[str]] = []
    for cell_type in (lease_model.Cell, broken):
        cell = cell_type(NAMES)
        for name in NAMES:
            cell.claim(name, frozenset({lease_model.SEARCHER}))
        cell.advance(lease_model.LEASE_S + 0.1, {})
        scenario(cell)
        holders.append(cell.find_holders())

    assert len(holders[0]) <= 1
    assert len(holders[1]) == 2


def test_a_new_vm_that_was_told_of_the_earlier_list_is_granted() -> None:
    cell = lease_model.Cell(NAMES)
    cell.advance(CALM_S, {})
    cell.change_list(("b", "c", "d"))
    cell.start("d")
    cell.claim("d", frozenset({lease_model.SEARCHER}))
    cell.advance(lease_model.LEASE_S + 0.1, {})

    cell.beat("b", frozenset("d"))
    cell.beat("d", frozenset("bc"))

    assert cell.find_holders() == ["d"]
