"""The state of a process that forwards requests.

The controllers of this package read and write it; nothing here does I/O or
decides. Times ending in `_s` are on the event loop's clock.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from azureramp import catalog, metrics
from azureramp.policy import allowances, exposure, routing, selection
from azureramp.ports.forwarding import pool


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the operators bound, from the settings.

    Attributes:
        extra: Calls beyond the first of each request.
        cold_overage: Factor on the requests a second of a cold searcher.
        cold_slack: Requests a second added to that.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        address_lifetime_s: Most that callers keep an address answer for.
        exposure: Requests to a version that isn't proved.
    """

    extra: allowances.Terms
    cold_overage: float
    cold_slack: float
    grace_s: float
    address_lifetime_s: float
    exposure: exposure.Terms


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Who this process is.

    Attributes:
        vm: This VM's name.
        zone: Its availability zone.
        front_address: Where callers connect, `IP:port`.
        peer_address: Where other VMs connect, `IP:port`; empty for nowhere.
        cores: Its processor, in cores.
        first_start: True if the whole tier starts for the first time.
        serves_callers: True if it forwards requests; False for a process that
            only tells callers where to connect.
    """

    vm: str
    zone: str
    front_address: str
    peer_address: str
    cores: float
    first_start: bool
    serves_callers: bool = True


@dataclasses.dataclass(slots=True)
class Target:
    """A searcher with all that this VM knows of it.

    Attributes:
        searcher: What it says of itself.
        record: What this VM's own calls show.
        pool: The connections to it.
        cold_until_s: It is cold until then.
        misdirected: True once another searcher answered at its address.
        proving: True while a new connection shows whether it lives.
        gone: True once it is forgotten; calls that it has still end.
        lapsed: True if its entry went while the store was away; it is used
            until the store has been back for a while.
        sent_s: When the newest call, and those of a second before it, were
            sent to it or to the process that it replaced under its id.
    """

    searcher: catalog.Searcher
    record: selection.Record
    pool: pool.Pool
    cold_until_s: float = -math.inf
    misdirected: bool = False
    proving: bool = False
    gone: bool = False
    lapsed: bool = False
    sent_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class StoreContact:
    """Whether the platform's store can be reached.

    Attributes:
        reachable: False after a call that failed, until one works.
        regained_s: When a call first worked after that.
        confirmed_s: When a call last worked.
    """

    reachable: bool = True
    regained_s: float = -math.inf
    confirmed_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Pause:
    """The last time that this process stood still.

    Attributes:
        began_s: When at the earliest it began.
        ended_s: When it ended.
    """

    began_s: float = -math.inf
    ended_s: float = -math.inf


class Board:
    """The state of one process.

    Attributes:
        identity: Who this process is.
        bounds: What the operators bound; changes with the settings.
        started_s: When the process started.
        configuration: The newest configuration; None until one is known.
        table: Its routes. Both by the feed.
        targets: The searchers by id. By the searchers controller.
        by_service: The same by service and id.
        zones_out: The availability zones whose searchers get nothing new.
        members: The VMs of this tier by name, this one included once it has
            announced itself. By the members controller.
        advertised: The VMs among them that are advertised to callers.
        busy: True while this VM's processor is busy.
        metrics: Everybody counts here.
        contact: Whether the store can be reached.
        follows_store: True while this VM hears of changes from the store
            itself, not from another VM. By the feed.
        is_relay: True if the other VMs of its zone are to ask this one. By
            the feed.
        lease: The lease that holds the entries which this VM writes; empty
            for none. By the members controller.
        announces_itself: True if no other VM should announce this one. By the
            members controller.
        announced_s: When another VM last confirmed that it announces this one.
            By the feed.
        leaving: True once the process is told to stop.
        pause: When the process last stood still. By the searchers controller.
        running: Requests of callers that run now.
    """

    __slots__ = (
        "advertised",
        "announced_s",
        "announces_itself",
        "bounds",
        "busy",
        "by_service",
        "configuration",
        "contact",
        "follows_store",
        "identity",
        "is_relay",
        "lease",
        "leaving",
        "members",
        "metrics",
        "pause",
        "running",
        "started_s",
        "table",
        "targets",
        "zones_out",
    )

    def __init__(
        self,
        identity: Identity,
        bounds: Bounds,
        counters: metrics.Metrics,
        now_s: float,
    ) -> None:
        """Makes the state of a process that has just begun."""
        self.identity = identity
        self.bounds = bounds
        self.started_s = now_s
        self.configuration: catalog.Configuration | None = None
        self.table: routing.Table | None = None
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, dict[str, Target]] = {}
        self.zones_out: set[str] = set()
        self.members: dict[str, catalog.Member] = {}
        self.advertised: dict[str, catalog.Member] = {}
        self.busy = False
        self.metrics = counters
        self.contact = StoreContact()
        self.follows_store = False
        self.is_relay = False
        self.lease = ""
        self.announces_itself = False
        self.announced_s = -math.inf
        self.leaving = False
        self.pause = Pause()
        self.running = 0

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here."""
        return self.configuration is not None and not self.leaving

    def get_service(self, name: str) -> catalog.Service | None:
        """Returns a declared service."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def describe(self) -> catalog.Member:
        """Describes this VM as it is announced."""
        return catalog.Member(
            vm=self.identity.vm,
            zone=self.identity.zone,
            address=self.identity.front_address,
            peer_address=self.identity.peer_address,
            cores=self.identity.cores,
            leaving=self.leaving,
            busy=self.busy,
        )
