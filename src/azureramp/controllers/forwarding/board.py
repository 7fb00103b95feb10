"""The state of a process that forwards requests.

The controllers of this package read and write it; this module itself does no
I/O and makes no decisions. Times ending in `_s` are on the event loop's clock.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from azureramp import catalog, metrics
from azureramp.policy import (
    account_limits,
    admission_gate,
    allowances,
    exposure,
    routing,
    searcher_stats,
)
from azureramp.ports.forwarding import pool


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The operators' limits, from the settings.

    Attributes:
        extra: Limit on calls beyond the first of each request.
        cold_overage: Factor on a cold searcher's permitted requests per second.
        cold_slack: Requests per second added to that product.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        address_lifetime_s: Maximum time for which callers keep an address
            answer, in seconds.
        exposure: Limit on requests to a version that is not proven yet.
        account_limits: How far the client accounts' limits may be exceeded.
        heartbeat_s: Interval of the searchers' heartbeats, in seconds; their
            entries expire after three without a write.
        keys_expire_s: Time without contact with the store after which this VM
            accepts no keys, in seconds; infinite if it always does.
    """

    extra: allowances.Limit
    cold_overage: float
    cold_slack: float
    grace_s: float
    address_lifetime_s: float
    exposure: exposure.ExposureLimit
    account_limits: account_limits.Tolerance
    heartbeat_s: float
    keys_expire_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """The identity of this process.

    Attributes:
        vm: This VM's name.
        zone: Its availability zone.
        caller_address: Where callers connect, `IP:port`.
        peer_address: Where other VMs connect, `IP:port`; empty if they can't.
        cores: Its number of CPU cores.
        first_start: True if the whole tier is starting for the first time.
        serves_callers: True if it forwards requests; False for a process that
            only advertises addresses to callers.
        link_mbps: The bandwidth of its link, in Mbit/s; 0 if unknown.
    """

    vm: str
    zone: str
    caller_address: str
    peer_address: str
    cores: float
    first_start: bool
    serves_callers: bool = True
    link_mbps: float = 0.0


@dataclasses.dataclass(slots=True)
class Target:
    """A searcher with everything that this VM knows about it.

    Attributes:
        searcher: The searcher's newest entry.
        stats: Measurements of this VM's own calls.
        pool: The connections to it.
        cold_until_s: When the cold start that the searcher announced ends.
        misdirected: True once another searcher answered at its address.
        probing: True while a new connection checks whether it is up.
        removed: True once it was removed; calls that it is still running
            complete.
        missing_since_s: When its entry was found to be missing although it may
            still be running; infinite while the entry exists.
        reports_unreadable: True once it sent a load report that can't be read.
        call_times_s: When the newest call and those in the second before it
            were sent, including calls to the process that it replaced under its
            id.
    """

    searcher: catalog.Searcher
    stats: searcher_stats.SearcherStats
    pool: pool.Pool
    cold_until_s: float = -math.inf
    misdirected: bool = False
    probing: bool = False
    removed: bool = False
    missing_since_s: float = math.inf
    reports_unreadable: bool = False
    call_times_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class StoreContact:
    """Whether the platform's store can be reached.

    Attributes:
        reachable: False from a failed call until the next successful one.
        last_answer_s: When the store last answered this VM, or the one from
            which it receives changes.
    """

    reachable: bool = True
    last_answer_s: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedUpdates:
    """What this process has received of the store's changes.

    Attributes:
        revision: The store's revision up to which the changes were received.
        source: Where they were last requested: the address of another VM, or
            `store`; empty before the first request.
        received_s: When changes, or the answer that there are none, were last
            received.
    """

    revision: int = 0
    source: str = ""
    received_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Pause:
    """The last period in which this process was paused.

    Attributes:
        began_s: The earliest time at which it may have begun.
        ended_s: When it ended.
    """

    began_s: float = -math.inf
    ended_s: float = -math.inf


class Board:
    """The state of one process.

    Attributes:
        identity: The identity of this process.
        bounds: The operators' limits; they change with the settings.
        started_s: When the process started.
        configuration: The newest configuration; None until one is received.
            Written by the feed.
        table: The configuration's routes. Written by the feed.
        targets: The searchers by id. Written by the searchers controller.
        by_service: The same by service and id.
        evacuated_zones: The availability zones whose searchers get no new work.
        members: The VMs of this tier by name, including this one once it has
            announced itself. Written by the members controller.
        advertised: The VMs among them that are advertised to callers.
        busy: True while this VM's CPU is overloaded.
        metrics: Counters that all controllers share.
        contact: Whether the store can be reached.
        updates: What was received of the store's changes. Written by the feed.
        reads_from_store: True while this VM receives updates from the store
            itself instead of another VM, and its last watch did not fail.
            Written by the feed.
        is_relay: True if the other VMs of its zone should request updates from
            this one. Written by the feed.
        lease: The lease of the entries that this VM writes; empty if none.
            Written by the members controller.
        announces_own_entry: True if no other VM should announce this one.
            Written by the members controller.
        announcement: Number of this VM's latest choice of who announces it. See
            `begin_announcement`.
        last_announced_s: When another VM last confirmed that it announces this
            one. Written by the feed.
        leaving: True once the process has been asked to stop.
        pause: The last pause of the process. Written by the shared bounds
            controller.
        running: Number of callers' requests that are running now.
        gates: What limits the requests to sets of searchers for which requests
            compete, by the set's name. Written by the admission controller.
    """

    __slots__ = (
        "advertised",
        "announcement",
        "announces_own_entry",
        "bounds",
        "busy",
        "by_service",
        "configuration",
        "contact",
        "evacuated_zones",
        "gates",
        "identity",
        "is_relay",
        "last_announced_s",
        "lease",
        "leaving",
        "members",
        "metrics",
        "pause",
        "reads_from_store",
        "running",
        "started_s",
        "table",
        "targets",
        "updates",
    )

    def __init__(
        self,
        identity: Identity,
        bounds: Bounds,
        counters: metrics.Metrics,
        now_s: float,
    ) -> None:
        """Creates the state of a process that has just started."""
        self.identity = identity
        self.bounds = bounds
        self.started_s = now_s
        self.configuration: catalog.Configuration | None = None
        self.table: routing.RoutingTable | None = None
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, dict[str, Target]] = {}
        self.evacuated_zones: set[str] = set()
        self.members: dict[str, catalog.Member] = {}
        self.advertised: dict[str, catalog.Member] = {}
        self.busy = False
        self.metrics = counters
        self.contact = StoreContact()
        self.updates = ReceivedUpdates()
        self.reads_from_store = False
        self.is_relay = False
        self.lease = ""
        self.announcement = 0
        self.announces_own_entry = False
        self.last_announced_s = -math.inf
        self.leaving = False
        self.pause = Pause()
        self.running = 0
        self.gates: dict[str, admission_gate.Gate] = {}

    def is_ready(self) -> bool:
        """Returns True if callers may be sent to this VM."""
        return self.configuration is not None and not self.leaving

    def get_accounts(self) -> catalog.Accounts | None:
        """Returns the client accounts; None if requests need no keys."""
        if self.configuration is None:
            return None
        return self.configuration.accounts

    def get_service(self, name: str) -> catalog.Service | None:
        """Returns a service of the configuration; None if it isn't declared."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def make_member(self) -> catalog.Member:
        """Returns this VM's entry in the roster."""
        return catalog.Member(
            vm=self.identity.vm,
            zone=self.identity.zone,
            address=self.identity.caller_address,
            peer_address=self.identity.peer_address,
            cores=self.identity.cores,
            leaving=self.leaving,
            busy=self.busy,
            link_mbps=self.identity.link_mbps,
            announcement=self.announcement,
        )

    def begin_announcement(self) -> None:
        """Numbers a new choice of who announces this VM.

        The number is higher than that of the known entry, which may come from
        this VM's previous process.
        """
        self.announcement = max(self.announcement, self._get_known()) + 1

    def is_announcement_outdated(self) -> bool:
        """Returns True if the known entry of this VM has a higher number."""
        return self._get_known() > self.announcement

    def _get_known(self) -> int:
        """Returns the number of the known entry of this VM; 0 if none."""
        known = self.members.get(self.identity.vm)
        return 0 if known is None else known.announcement
