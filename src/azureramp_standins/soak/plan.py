"""Which faults a run has, and when, drawn from its seed."""

from __future__ import annotations

import dataclasses
import random

LEAD_S = 2.0
"""Time before the first fault, in seconds."""

MEAN_GAP_S = 0.7
"""Mean time between two faults, in seconds. Most last longer, so they overlap,
and every few seconds some follow each other closely."""

SHORTEST_S = 0.5
LONGEST_S = 5.0
"""How long a fault lasts, drawn between these, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Signalled:
    """A daemon gets a signal.

    Attributes:
        vm: Its number.
        how: `kill`, `stop` (SIGTERM), `reload` (SIGHUP) or `pause` (SIGSTOP,
            and SIGCONT at the end).
    """

    vm: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class LinkHarmed:
    """A daemon's link to the store, or the link to a searcher, is harmed.

    Attributes:
        link: `store` or `searcher`.
        number: The daemon's or the searcher's number.
        how: `delay`, `reset`, `up` or `down` (no bytes in that direction),
            `silent` (open connections stay silent for good, new ones work).
    """

    link: str
    number: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoreHarmed:
    """The store misbehaves.

    Attributes:
        how: `busy`, `silent`, `slow`, `lost` or `compact`.
    """

    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherHarmed:
    """A searcher misbehaves.

    Attributes:
        number: Its number.
        how: `crash`, `drain`, `hang`, `shed`, `reset`, `extra`, `late`,
            `cut` or `slow`.
    """

    number: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class Operated:
    """An operator acts.

    Attributes:
        how: `configure` or `evacuate`.
    """

    how: str


Fault = Signalled | LinkHarmed | StoreHarmed | SearcherHarmed | Operated


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """A fault with its time.

    Attributes:
        at_s: When it begins, from the run's start, in seconds.
        for_s: How long it lasts, in seconds.
        fault: What happens.
    """

    at_s: float
    for_s: float
    fault: Fault


GROUPS = ("signal", "link", "store", "searcher", "operator")
GROUP_CHANCE = 0.6
"""Each seed leaves some groups of faults out: promises with a time bound hold
for undisturbed VMs, and with all groups there would hardly be any."""

HARMS = ("delay", "reset", "up", "down", "silent")
SIGNALS = ("kill", "stop", "reload", "pause")
MISBEHAVIOURS = ("busy", "silent", "slow", "lost", "compact")
ACTS = (
    "crash",
    "drain",
    "hang",
    "shed",
    "reset",
    "extra",
    "late",
    "cut",
    "slow",
)


def draw(
    seed: int, seconds: float, vms: int, searchers: int
) -> tuple[Planned, ...]:
    """Draws the faults of a run.

    Args:
        seed: The run's seed; the same one gives the same faults.
        seconds: How long faults may begin, from the run's start.
        vms: How many daemons there are.
        searchers: How many searchers there are.
    """
    rng = random.Random(seed)
    groups = [name for name in GROUPS if rng.random() < GROUP_CHANCE]
    planned: list[Planned] = []
    at_s = LEAD_S
    while at_s < seconds:
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        group = rng.choice(groups or GROUPS)
        fault = _draw_one(rng, group, vms, searchers)
        planned.append(Planned(at_s, for_s, fault))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(planned)


def _draw_one(
    rng: random.Random, group: str, vms: int, searchers: int
) -> Fault:
    """Draws one fault of a group."""
    vm = rng.randrange(vms)
    searcher = rng.randrange(searchers)
    match group:
        case "signal":
            return Signalled(vm, rng.choice(SIGNALS))
        case "link":
            link = rng.choice(("store", "searcher"))
            number = vm if link == "store" else searcher
            return LinkHarmed(link, number, rng.choice(HARMS))
        case "store":
            return StoreHarmed(rng.choice(MISBEHAVIOURS))
        case "searcher":
            return SearcherHarmed(searcher, rng.choice(ACTS))
    return Operated(rng.choice(("configure", "evacuate")))
