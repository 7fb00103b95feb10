"""Two ways to keep an account's limit over 87 VMs of which 10 get requests.

`pytest -s` prints the figures of docs/design/client-accounts.md.
"""

from __future__ import annotations

import collections
import dataclasses
import random
import sys
from collections.abc import Callable
from typing import Any

import pytest

from azureramp.policy import account_limits, account_owners, limit_shares
from tests.policy import account_model

VMS = 87
ADVERTISED = 10
USUAL_PER_S = 6.77
LIMIT = (1.6 * USUAL_PER_S, 10.0)
MINUTE_S = 60.0
MAX_LAG_S = 0.5
"""Usual time until all VMs have a change, in seconds."""


class EvenSplit(account_model.Model):
    """Each VM admits its share of the bound, without a message."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        self.sent_by: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        super().__init__(*args, **fields)

    def compute_share(self, vm: account_model.Vm, stale: bool) -> float:
        listed = vm.view[0]
        return limit_shares.compute_share(
            len(listed), len(self.vms) - len(listed), vm.name in listed, stale
        )

    def ask(self, vm: account_model.Vm) -> bool:
        sent_s = self.sent_by[vm.name]
        while sent_s and sent_s[0] < self.now_s - account_model.WINDOW_S:
            sent_s.popleft()
        bound = account_limits.compute_bound(*vm.view[1], self.tolerance)
        if len(sent_s) + 1 > bound * vm.share.value:
            return False
        sent_s.append(self.now_s)
        self.sent_s.append(self.now_s)
        return True


WAYS: dict[type[account_model.Model], str] = {
    EvenSplit: "even split",
    account_model.Model: "owner",
}


@dataclasses.dataclass(slots=True)
class Figures:
    """What one account's callers saw in a minute."""

    asked: int = 0
    refused: int = 0
    most: int = 0
    bound: float = 0.0
    messages: int = 0


Trouble = Callable[[account_model.Model, float], None]


def do_nothing(model: account_model.Model, at_s: float) -> None:
    del model, at_s


def restart_in_turn(model: account_model.Model, at_s: float) -> None:
    """Each 2 s an advertised VM is replaced, and returns 4 s later."""
    turn, part = divmod(round(at_s, 1), 2.0)
    if part == 0.0:
        names = list(model.vms)
        away = {names[(int(turn) - back) % ADVERTISED] for back in (0, 1)}
        model.change(frozenset(names[: ADVERTISED + 2]) - away, None)


def cut_one(model: account_model.Model, at_s: float) -> None:
    """One advertised VM can't reach the others; it is not the owner."""
    del at_s
    names = list(model.vms)
    cut = next(name for name in names if name != get_owner(model))
    model.cut_links = {frozenset((cut, name)) for name in names}


def kill_owner(model: account_model.Model, at_s: float) -> None:
    """The owner is killed at 20 s; its lease ends 3 s later."""
    owner = get_owner(model)
    if round(at_s, 1) == 20.0:
        model.vms[owner].paused = True
    if round(at_s, 1) == 23.0:
        names = list(model.vms)[: ADVERTISED + 1]
        model.change(frozenset(names) - {owner}, None)


def restart_all(model: account_model.Model, at_s: float) -> None:
    """All VMs are killed at 20 s and replaced at once."""
    if round(at_s, 1) == 20.0:
        for name in list(model.vms):
            model.restart(name)


def get_owner(model: account_model.Model) -> str:
    first = frozenset(list(model.vms)[:ADVERTISED])
    return account_owners.choose_owner(model.account, first)


SCENES: dict[str, tuple[float, int, Trouble]] = {
    "callers at one VM": (1.0, 1, do_nothing),
    "spread": (1.0, ADVERTISED, do_nothing),
    "7.5 times the usual": (7.5, ADVERTISED, do_nothing),
    "VMs replaced in turn": (1.0, ADVERTISED, restart_in_turn),
    "one VM cut off": (1.0, ADVERTISED, cut_one),
    "owner killed": (1.0, ADVERTISED, kill_owner),
    "all VMs restarted": (1.0, ADVERTISED, restart_all),
}


def play(way: type[account_model.Model], scene: str, seed: int) -> Figures:
    """Plays a minute of Poisson arrivals."""
    factor, entries, trouble = SCENES[scene]
    rng = random.Random(seed)
    model = way(
        VMS, ADVERTISED, LIMIT, account=f"account-{seed}", max_lag_s=MAX_LAG_S
    )
    model.advance(10.0)
    figures = Figures(bound=model.get_bound())
    began_s, messages = model.now_s, model.messages
    next_s = began_s
    for _ in range(round(MINUTE_S / account_model.STEP_S)):
        trouble(model, model.now_s - began_s)
        model.advance(account_model.STEP_S)
        while next_s <= model.now_s:
            next_s += rng.expovariate(factor * USUAL_PER_S)
            listed = [
                name
                for name in sorted(model.history[-1][1][0])
                if not model.vms[name].paused
            ]
            vm = model.vms[rng.choice(listed[:entries])]
            figures.asked += 1
            figures.refused += not model.ask(vm)
        figures.most = max(figures.most, model.count_recent())
    figures.messages = model.messages - messages
    return figures


@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("way", WAYS)
def test_way(way: type[account_model.Model], scene: str) -> None:
    """Guards against a way that exceeds the bound, or refuses in calm."""
    runs = [play(way, scene, seed) for seed in range(6)]
    refused = sum(run.refused for run in runs) / sum(run.asked for run in runs)
    most = max(run.most for run in runs)
    messages = sum(run.messages for run in runs) / len(runs) / MINUTE_S
    if way is EvenSplit:
        messages = 0.0
    sys.stdout.write(
        f"| {WAYS[way]} | {scene} | {100 * refused:.1f} % |"
        f" {most} of {runs[0].bound:.0f} | {messages:.1f} |\n"
    )
    assert most <= runs[0].bound
    if way is account_model.Model and scene in ("callers at one VM", "spread"):
        assert refused < 0.01
