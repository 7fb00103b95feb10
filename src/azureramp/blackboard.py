"""The shared state of a process, which its controllers read and write.

Each field documents the controller that writes it; all others only read it.
This module does no I/O and makes no decisions. Names ending in `_s` are times
on the event loop's monotonic clock, in seconds, unless documented otherwise.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from azureramp import (
    messages,
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.policy import poison
from azureramp.ports.vmlist import api as vmlist_api


class Serving(enum.Enum):
    """Whether this VM accepts new work from callers, and if not, why."""

    STARTING = "starting"
    READY = "ready"
    STALE = "stale"
    ZONE_OUT = "zone_out"
    LEAVING = "leaving"


class MemberState(enum.Enum):
    """The state of another VM as seen by this one."""

    LISTED = "listed"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class Member:
    """A VM of the cell, possibly this one, as seen by this VM.

    Attributes:
        vm: Its entry in the VM list.
        state: Its state as seen by this VM.
        incarnation: The incarnation of its process; 0 while unknown.
        last_contact_s: When its last message was received.
        ready: True if it serves callers.
        accepts_searchers: True once it takes over searchers.
        revision: Its configuration revision.
        confirmed_s: The platform confirmed that its revision was current at
            this time on this VM's clock, or later.
        lease_until_s: When the lease that this VM granted it expires. Until
            then it may act as the owner of its searchers.
        searchers: The states of the searchers that it owns.
        acknowledged_s: When this VM sent the newest heartbeat that the other
            VM acknowledged. The content of the acknowledgement was true at
            this time or later, however long either message took.
        acknowledged_revision: The revision in that acknowledgement.
        acknowledged_incarnation: The incarnation in that acknowledgement.
        acknowledged_confirmed_s: `acknowledged_s` minus the confirmation age
            in that acknowledgement: the platform confirmed the revision at
            this time on this VM's clock, or later.
    """

    vm: vmlist_api.Vm
    state: MemberState = MemberState.LISTED
    incarnation: int = 0
    last_contact_s: float = -math.inf
    ready: bool = False
    accepts_searchers: bool = False
    revision: int = 0
    confirmed_s: float = -math.inf
    lease_until_s: float = -math.inf
    searchers: tuple[messages.SearcherState, ...] = ()
    acknowledged_s: float = -math.inf
    acknowledged_revision: int = 0
    acknowledged_incarnation: int = 0
    acknowledged_confirmed_s: float = -math.inf


class Blackboard:
    """The state of one process.

    Attributes:
        settings: The daemon's settings.
        incarnation: The start number of this process, higher than that of any
            earlier process on this VM.
        timeline: The timeline. Written by all controllers.
        metrics: The metrics. Written by all controllers.
        configuration: The configuration in force. Written by the
            configuration controller.
        confirmed_s: The platform confirmed that the configuration was current
            at this time or later. Written by the configuration controller.
        serving: Whether this VM accepts new work. Written by the serving
            controller.
        may_work_until_s: The time until which new work may be sent to
            searchers under the configuration in force. Until then, no change
            that is missing here can have been accepted elsewhere. Each new
            contact with a majority and each new confirmation extends it. It is
            checked right before each write, like the lease, since a process
            that was paused may resume in a write before any controller runs.
            Written by the serving controller.
        accepted_revision: The newest revision that is known to be accepted: a
            majority of the listed VMs has all changes up to it. Written by the
            serving controller.
        members: The VMs of the cell by name, including this one. Written by
            the membership controller.
        lease_until_s: Until when this VM may send to cold searchers. Written
            by the membership controller.
        owners: The name of the owner VM of each searcher, by searcher name.
            Written by the membership controller.
        usable_from_s: For each searcher that this VM owns, the time from which
            this VM may send to it without a handoff, since the previous
            owner's lease has expired by then. Written by the membership
            controller.
        owned_states: The states of the searchers that this VM owns, by name.
            Written by the owner controller.
        crash_counts: Crashes of backend servers attributed to requests. Written
            by the owner and the poison controllers.
        running_requests: Number of callers' requests that are running on this
            VM. Written by the caller API.
    """

    __slots__ = (
        "accepted_revision",
        "configuration",
        "confirmed_s",
        "crash_counts",
        "incarnation",
        "lease_until_s",
        "may_work_until_s",
        "members",
        "metrics",
        "owned_states",
        "owners",
        "running_requests",
        "serving",
        "settings",
        "timeline",
        "usable_from_s",
    )

    def __init__(
        self,
        daemon_settings: settings.Settings,
        incarnation: int,
        timeline: timelines.Timeline,
        counters: metrics.Metrics,
    ) -> None:
        """Creates the state of a process that has just started."""
        self.settings = daemon_settings
        self.incarnation = incarnation
        self.timeline = timeline
        self.metrics = counters
        self.configuration = resources.Configuration()
        self.confirmed_s = -math.inf
        self.serving = Serving.STARTING
        self.may_work_until_s = -math.inf
        self.accepted_revision = 0
        self.members: dict[str, Member] = {}
        self.lease_until_s = -math.inf
        self.owners: dict[str, str] = {}
        self.usable_from_s: dict[str, float] = {}
        self.owned_states: dict[str, messages.SearcherState] = {}
        self.crash_counts = poison.CrashAttributions()
        self.running_requests = 0

    def get_searcher_states(self) -> dict[str, messages.SearcherState]:
        """Returns the states announced by the searchers' owners, by name."""
        states = {
            state.searcher: state
            for name, member in self.members.items()
            if name != self.settings.vm
            for state in member.searchers
            if self.owners.get(state.searcher) == name
        }
        states.update(self.owned_states)
        return states
