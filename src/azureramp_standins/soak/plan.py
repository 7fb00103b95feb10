"""Random plans of a run's faults, reproducible by seed."""

from __future__ import annotations

import dataclasses
import random

FIRST_FAULT_S = 2.0
"""Time before the first fault, in seconds."""

MEAN_GAP_S = 0.7
"""Mean time between the starts of two faults, in seconds. Most faults take
longer, so they overlap, and every few seconds several start in quick
succession."""

MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
"""The range that a fault's duration is drawn from, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class DaemonSignal:
    """A signal to a daemon.

    Attributes:
        vm: The daemon's number.
        how: `kill`, `stop` (SIGTERM), `reload` (SIGHUP) or `pause` (SIGSTOP,
            and SIGCONT at the end).
    """

    vm: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class RelayFault:
    """A signal to all relays at the same moment.

    Attributes:
        how: As for `DaemonSignal`.
    """

    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class LinkFault:
    """A fault of a daemon's link to the store or of the link to a searcher.

    Attributes:
        link: `store`, `searcher`, or `peer` for the link of other daemons to a
            daemon.
        number: The daemon's or the searcher's number.
        how: `delay`, `reset`, `up` or `down` (no bytes in that direction),
            `silent` (open connections lose all further bytes, new ones work).
    """

    link: str
    number: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoreFault:
    """A fault of the store.

    Attributes:
        how: `busy`, `silent`, `slow`, `lost`, `compact`, or `refuse` for a
            single call.
    """

    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherFault:
    """A fault of a searcher.

    Attributes:
        number: The searcher's number.
        how: `crash`, `drain`, `leave` (its entry is removed without a report),
            `hang`, `shed`, `reset`, `extra`, `late`, `cut` or `slow`.
    """

    number: int
    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorAction:
    """An operator's action.

    Attributes:
        how: `configure` or `evacuate`.
    """

    how: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationBurst:
    """Large configurations in quick succession.

    Attributes:
        versions: The number of versions.
        routes: The number of further routes in each.
        how: `burst`.
    """

    versions: int
    routes: int
    how: str = "burst"


@dataclasses.dataclass(slots=True, frozen=True)
class AccountAction:
    """An operator's change of an account's keys, or a flood of its callers.

    Attributes:
        account: The account's number; a flood is always the limited account's.
        how: `add`, `rotate` (add a key and later revoke the old one), `revoke`
            or `flood`.
    """

    account: int
    how: str


Fault = (
    DaemonSignal
    | RelayFault
    | LinkFault
    | StoreFault
    | SearcherFault
    | OperatorAction
    | ConfigurationBurst
    | AccountAction
)


@dataclasses.dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A fault with its start and duration.

    Attributes:
        at_s: When it begins, in seconds after the start of the run.
        for_s: Its duration, in seconds.
        fault: The fault.
    """

    at_s: float
    for_s: float
    fault: Fault


GROUPS = ("signal", "link", "store", "searcher", "operator")
GROUP_CHANCE = 0.6
"""Probability that a seed uses a group of faults. Guarantees with a time bound
apply to undisturbed VMs only, and with all groups there would be hardly any."""

FIRST_SEED_WITH_ACCOUNTS = 1000
ACCOUNTS_CHANCE = 0.5
"""Probability that a seed from there on declares client accounts."""

ACCOUNT_GAP_S = 1.5
"""Mean time between the starts of two account actions or faults of the links
between daemons, in seconds."""

ACCOUNT_ACTIONS = ("add", "rotate", "revoke", "flood")
PEER_FAULTS_CHANCE = 0.4
"""Probability that a seed with accounts has faults of links between daemons."""

PEER_FAULT_SHARE = 0.4
"""Share of these faults, in such a seed, among the account actions."""

FIRST_SEED_WITH_DEPARTURES = 2000
OTHER_FAULTS_CHANCE = 0.3
"""Probability that a seed from there on has the other faults as well."""

DEPARTURE_GAP_S = 3.0
"""Mean time between two departures with a relay fault, in seconds."""

FIRST_SEED_WITH_BURSTS = 3000
"""Seeds from there on have bursts of configurations and no departures."""

BURST_GAP_S = 4.0
"""Mean time between two bursts, in seconds."""

MIN_BURST_VERSIONS = 8
MAX_BURST_VERSIONS = 25
MIN_BURST_ROUTES = 300
MAX_BURST_ROUTES = 1900
CUT_CHANCE = 0.5
"""Probability that a VM's link to the store fails around a burst."""

CUT_FAULTS = ("up", "down", "narrow")
MAX_CUT_LEAD_S = 1.0
"""Longest time from a link's fault to the burst, in seconds."""

RELAY_FAULT_CHANCE = 0.7
MAX_RELAY_FAULT_S = 1.5
MAX_DEPARTURE_DELAY_S = 2.5
"""Longest time from a relay fault to a searcher's departure, in seconds."""

REFUSALS_PER_DEPARTURE = 3
RELAY_FAULTS = ("kill", "stop", "pause")
LINK_FAULTS = ("delay", "reset", "up", "down", "silent")
DAEMON_FAULTS = ("kill", "stop", "reload", "pause")
STORE_FAULTS = ("busy", "silent", "slow", "lost", "compact")
SEARCHER_FAULTS = (
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


def draw_faults(
    seed: int, seconds: float, vms: int, searchers: int
) -> tuple[ScheduledFault, ...]:
    """Draws the faults of a run.

    Args:
        seed: The run's seed; equal seeds give equal plans.
        seconds: The time after the run's start in which faults may begin.
        vms: The number of daemons.
        searchers: The number of searchers.
    """
    rng = random.Random(seed)
    groups = [name for name in GROUPS if rng.random() < GROUP_CHANCE]
    planned: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    while at_s < seconds:
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        group = rng.choice(groups or GROUPS)
        fault = _draw_one(rng, group, vms, searchers)
        planned.append(ScheduledFault(at_s, for_s, fault))
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
            return DaemonSignal(vm, rng.choice(DAEMON_FAULTS))
        case "link":
            link = rng.choice(("store", "searcher"))
            number = vm if link == "store" else searcher
            return LinkFault(link, number, rng.choice(LINK_FAULTS))
        case "store":
            return StoreFault(rng.choice(STORE_FAULTS))
        case "searcher":
            return SearcherFault(searcher, rng.choice(SEARCHER_FAULTS))
    return OperatorAction(rng.choice(("configure", "evacuate")))


def has_other_faults(seed: int) -> bool:
    """Returns True if a seed has faults other than those of departures."""
    if seed < FIRST_SEED_WITH_DEPARTURES:
        return True
    return random.Random(f"others/{seed}").random() < OTHER_FAULTS_CHANCE


def draw_departures(
    seed: int, seconds: float, searchers: int
) -> tuple[ScheduledFault, ...]:
    """Draws searchers that leave beside faults of the relays and single calls.

    Args:
        seed: The run's seed; equal seeds give equal plans, and none before
            `FIRST_SEED_WITH_DEPARTURES` or from `FIRST_SEED_WITH_BURSTS` on.
        seconds: The time after the run's start in which faults may begin.
        searchers: The number of searchers that may leave.
    """
    rng = random.Random(f"departures/{seed}")
    planned: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    seeds = range(FIRST_SEED_WITH_DEPARTURES, FIRST_SEED_WITH_BURSTS)
    while seed in seeds and at_s < seconds:
        if rng.random() < RELAY_FAULT_CHANCE:
            for_s = rng.uniform(0.0, MAX_RELAY_FAULT_S)
            fault = RelayFault(rng.choice(RELAY_FAULTS))
            planned.append(ScheduledFault(at_s, for_s, fault))
        left_s = at_s + rng.uniform(0.0, MAX_DEPARTURE_DELAY_S)
        for _ in range(REFUSALS_PER_DEPARTURE):
            refused_s = left_s + rng.uniform(-1.0, MAX_DEPARTURE_DELAY_S)
            planned.append(ScheduledFault(refused_s, 0.0, StoreFault("refuse")))
        departure = SearcherFault(
            rng.randrange(searchers), rng.choice(("leave", "leave", "drain"))
        )
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        planned.append(ScheduledFault(left_s, for_s, departure))
        at_s += rng.expovariate(1 / DEPARTURE_GAP_S)
    return tuple(planned)


def draw_bursts(
    seed: int, seconds: float, vms: int
) -> tuple[ScheduledFault, ...]:
    """Draws bursts of configurations beside VMs cut off from the store.

    Args:
        seed: The run's seed; equal seeds give equal plans, and none before
            `FIRST_SEED_WITH_BURSTS`.
        seconds: The time after the run's start in which faults may begin.
        vms: The number of daemons.
    """
    rng = random.Random(f"bursts/{seed}")
    planned: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    while seed >= FIRST_SEED_WITH_BURSTS and at_s < seconds:
        for vm in range(vms):
            if rng.random() < CUT_CHANCE:
                cut_s = at_s - rng.uniform(0.0, MAX_CUT_LEAD_S)
                for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
                cut = LinkFault("store", vm, rng.choice(CUT_FAULTS))
                planned.append(ScheduledFault(cut_s, for_s, cut))
        burst = ConfigurationBurst(
            rng.randint(MIN_BURST_VERSIONS, MAX_BURST_VERSIONS),
            rng.randint(MIN_BURST_ROUTES, MAX_BURST_ROUTES),
        )
        planned.append(ScheduledFault(at_s, 0.0, burst))
        at_s += rng.expovariate(1 / BURST_GAP_S)
    return tuple(planned)


def has_accounts(seed: int) -> bool:
    """Returns True if a seed's deployment declares client accounts."""
    if seed < FIRST_SEED_WITH_ACCOUNTS:
        return False
    return random.Random(f"accounts/{seed}").random() < ACCOUNTS_CHANCE


def draw_account_faults(
    seed: int, seconds: float, vms: int, accounts: int
) -> tuple[ScheduledFault, ...]:
    """Draws the account actions and the faults of links between daemons.

    Their random draws are separate, so that they change no seed's other faults.

    Args:
        seed: The run's seed; equal seeds give equal plans.
        seconds: The time after the run's start in which faults may begin.
        vms: The number of daemons.
        accounts: The number of accounts; 0 if the seed has none.
    """
    rng = random.Random(f"account faults/{seed}")
    peer_share = PEER_FAULT_SHARE if rng.random() < PEER_FAULTS_CHANCE else 0.0
    planned: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    while accounts and at_s < seconds:
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        fault: Fault = AccountAction(
            rng.randrange(accounts), rng.choice(ACCOUNT_ACTIONS)
        )
        if rng.random() < peer_share:
            how = rng.choice(LINK_FAULTS)
            fault = LinkFault("peer", rng.randrange(vms), how)
        planned.append(ScheduledFault(at_s, for_s, fault))
        at_s += rng.expovariate(1 / ACCOUNT_GAP_S)
    return tuple(planned)
