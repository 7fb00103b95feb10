"""Checks that no two VMs hold the lease of one cold searcher.

Messages may be lost, delayed or duplicated. Each broken cell lacks one
safeguard, and the search or a scenario must find two holders of one searcher in
it. If a safeguard were unnecessary, the test of its broken cell would fail.
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
SETTLE_S = lease_model.LAG_S + lease_model.READ_S
STEPS = 60


class Machine(stateful.RuleBasedStateMachine):
    """Claims, heartbeats and faults in any order.

    A rule runs many random steps, because two holders result from a sequence of
    about six events that is too rare with one step per rule. The frequencies
    of the steps, the claimants and the network partition are drawn for each
    run.
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
    def lose_delay_and_duplicate(self, seed: int) -> None:
        rng = random.Random(seed)
        nodes = list(self.cell.nodes)
        claimants = rng.sample(nodes, min(2, len(nodes)))
        for name in claimants:
            self.cell.claim(name, frozenset({lease_model.SEARCHER}))
        one_side = {vm for vm in ALL if rng.random() < 0.5}
        weights = (16, rng.choice((2, 16)), 6, rng.choice((0, 0, 3)), 1)
        for _ in range(STEPS):
            match rng.choices(range(5), weights)[0]:
                case 0:
                    self._send_heartbeat(rng, rng.choice(claimants), one_side)
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
    def pause_one_and_resume_the_others(self, vm: str) -> None:
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
        if self.cell.now_s - changed_s < SETTLE_S:
            self.cell.advance(SETTLE_S, self.lags_s)
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

    def _send_heartbeat(
        self, rng: random.Random, name: str, one_side: set[str]
    ) -> None:
        """Sends a heartbeat, mostly to VMs on the sender's side."""
        reached = frozenset(
            vm
            for vm in ALL
            if rng.random()
            < (0.7 if (vm in one_side) == (name in one_side) else 0.1)
        )
        self.cell.send_heartbeat(name, reached, answered=rng.random() < 0.7)
        del self.cell.wire[:-40]


def test_no_two_vms_hold_one_searcher() -> None:
    stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


class ForgottenHolder(lease_model.Cell):
    """Treats a restarted process as the holder of its former promises."""

    def start(self, name: str) -> None:
        super().start(name)
        self.nodes[name].holder = leases.Holder(name, 0)


class RestartedVoter(lease_model.Cell):
    """Lets a restarted VM grant claims at once, without its lost promises."""

    def make_promises(self, started_s: float) -> leases.IssuedGrants:
        return super().make_promises(started_s - lease_model.LEASE_S)


class FromArrival(lease_model.Cell):
    """Counts the lease from the arrival of the acknowledgement."""

    def receive_ack(self, ack: lease_model.Ack) -> None:
        node = self.nodes.get(ack.target.vm)
        if node is not None and node.holder == ack.target:
            node.lease.record_sent(ack.sequence, self.clock(node))
        super().receive_ack(ack)


class NewestListOnly(lease_model.Cell):
    """Requires a majority only of the newest list."""

    def read(self, name: str, lag_s: float) -> None:
        node = self.nodes[name]
        node.window = type(node.window)(0.0)
        super().read(name, lag_s)

    def receive_ack(self, ack: lease_model.Ack) -> None:
        ack.lists = ()
        super().receive_ack(ack)


class UnknownLists(lease_model.Cell):
    """Counts voters that have read a list unknown to the claimant."""

    def receive_heartbeat(
        self, heartbeat: lease_model.Heartbeat
    ) -> lease_model.Ack | None:
        heartbeat.lists = ()
        return super().receive_heartbeat(heartbeat)

    def receive_ack(self, ack: lease_model.Ack) -> None:
        ack.lists = ()
        super().receive_ack(ack)


def search(cell_type: type[lease_model.Cell], seeds: range) -> int:
    """Returns how many of the randomly driven cells had two holders."""
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
    """Runs one randomly chosen rule."""
    match rng.randrange(5):
        case 0 | 1:
            machine.lose_delay_and_duplicate(rng.randrange(2**32))
        case 2:
            machine.pause_one_and_resume_the_others(rng.choice(ALL))
        case 3:
            machine.restart(rng.choice(ALL))
        case _:
            lagging = {name for name in ALL if rng.random() < 0.5}
            machine.change_list(rng.choice(LISTS), lagging)
    machine.at_most_one_holds_the_searcher()


@pytest.mark.parametrize("broken", [RestartedVoter, FromArrival])
def test_the_search_finds_two_holders_without_a_safeguard(
    broken: type[lease_model.Cell],
) -> None:
    assert search(broken, range(40)) > 0
    assert search(lease_model.Cell, range(40)) == 0


def restart_a_voter(cell: lease_model.Cell) -> None:
    """Restarts the only VM in both majorities, which loses its promise."""
    cell.send_heartbeat("a", frozenset("b"))
    cell.start("b")
    cell.send_heartbeat("c", frozenset("b"))


def restart_the_holder(cell: lease_model.Cell) -> None:
    """Replaces a process that is only paused.

    The model has one process per name, so the paused process is kept under
    another name beside the new one.
    """
    cell.send_heartbeat("a", frozenset("b"))
    old = cell.nodes["a"]
    cell.start("a")
    cell.nodes["a, paused"] = old
    old.paused = True
    cell.claim("a", frozenset({lease_model.SEARCHER}))
    cell.send_heartbeat("a", frozenset("bc"))


def delay_an_acknowledgement(cell: lease_model.Cell) -> None:
    """Delivers an acknowledgement shortly before the promise expires."""
    cell.send_heartbeat("a", frozenset("bc"), answered=False)
    cell.advance(1.3, {})
    cell.deliver(0, keep=False)
    cell.deliver(0, keep=False)
    cell.advance(0.3, {})
    cell.send_heartbeat("c", frozenset("b"))


def replace_a_vm(cell: lease_model.Cell) -> None:
    """Changes the list while two VMs still use the previous one."""
    cell.advance(SETTLE_S, {})
    cell.change_list(("b", "c", "d"))
    cell.start("d")
    cell.claim("d", frozenset({lease_model.SEARCHER}))
    lags_s = {"a": lease_model.LAG_S, "b": lease_model.LAG_S}
    cell.advance(lease_model.LEASE_S + 0.1, lags_s)
    cell.send_heartbeat("a", frozenset("b"))
    cell.send_heartbeat("d", frozenset("c"))


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
def test_each_safeguard_prevents_a_second_holder(
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


def test_a_new_vm_that_received_the_earlier_list_gets_the_lease() -> None:
    cell = lease_model.Cell(NAMES)
    cell.advance(SETTLE_S, {})
    cell.change_list(("b", "c", "d"))
    cell.start("d")
    cell.claim("d", frozenset({lease_model.SEARCHER}))
    cell.advance(lease_model.LEASE_S + 0.1, {})

    cell.send_heartbeat("b", frozenset("d"))
    cell.send_heartbeat("d", frozenset("bc"))

    assert cell.find_holders() == ["d"]
