"""The one state of a process, which its controllers read and write.

Each field names the controller that writes it; all others only read. Nothing
here does I/O or decides. Times ending in `_s` without other word are on the
event loop's monotonic clock.
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
    """Whether this VM takes new work from callers, and if not, why."""

    STARTING = "starting"
    READY = "ready"
    STALE = "stale"
    ZONE_OUT = "zone_out"
    LEAVING = "leaving"


class MemberState(enum.Enum):
    """What this VM thinks of another one."""

    LISTED = "listed"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class Member:
    """Another VM, or this one, as this VM sees it.

    Attributes:
        vm: Its entry in the VM list.
        state: What this VM thinks of it.
        incarnation: Its process's incarnation; 0 while unknown.
        heard_s: When it was last heard.
        ready: True if it serves callers.
        owns: True once it takes searchers over.
        revision: Its configuration revision.
        confirmed_s: When the platform had confirmed its revision, at the
            earliest, on this VM's clock.
        may_own_until_s: Until when it may take itself for an owner.
        searchers: The states of the searchers that it owns.
        acknowledged_s: When this VM sent the newest heartbeat that the other
            one acknowledged. What the acknowledgement says was true then or
            later, however long either message was on its way.
        acknowledged_revision: The revision in that acknowledgement.
        acknowledged_incarnation: The incarnation in it.
        acknowledged_confirmed_s: `acknowledged_s` less the age of
            confirmation in it: the platform had confirmed that revision at
            this time of this VM's clock or later.
    """

    vm: vmlist_api.Vm
    state: MemberState = MemberState.LISTED
    incarnation: int = 0
    heard_s: float = -math.inf
    ready: bool = False
    owns: bool = False
    revision: int = 0
    confirmed_s: float = -math.inf
    may_own_until_s: float = -math.inf
    searchers: tuple[messages.SearcherState, ...] = ()
    acknowledged_s: float = -math.inf
    acknowledged_revision: int = 0
    acknowledged_incarnation: int = 0
    acknowledged_confirmed_s: float = -math.inf


class Blackboard:
    """The state of one process.

    Attributes:
        settings: The daemon's settings.
        incarnation: This process's start number, higher than any earlier
            process's on this VM.
        timeline: Everybody records events here.
        metrics: Everybody counts here.
        configuration: By the configuration controller.
        confirmed_s: When the platform confirmed the configuration to be its
            newest, at the earliest. By the configuration controller.
        serving: By the serving controller.
        work_until_s: Until when new work may be sent to searchers on this
            configuration, unless it is renewed: no change accepted
            elsewhere can be missing here before then. Checked right before
            each write, like the lease, since a process that was paused wakes
            up before any controller runs. By the serving controller.
        accepted_revision: Changes up to this revision are held by a majority
            of the listed VMs. By the serving controller.
        members: The VMs of the cell by name, this one included. By the
            membership controller.
        lease_until_s: Until when this VM may send to cold searchers. By the
            membership controller.
        owners: The owner VM of each searcher, by names. By the membership
            controller.
        may_start_s: For each searcher that this VM owns: from when on it may
            send there without a handoff, since the old owner's lease must
            have run out by then. By the membership controller.
        owned: The states of the searchers that this VM owns, by name. By the
            owner controller.
        blame: Which requests crashed backend servers. By the owner and the
            poison controllers.
        running: Requests of callers that run here now. By the caller API.
    """

    __slots__ = (
        "accepted_revision",
        "blame",
        "configuration",
        "confirmed_s",
        "incarnation",
        "lease_until_s",
        "may_start_s",
        "members",
        "metrics",
        "owned",
        "owners",
        "running",
        "serving",
        "settings",
        "timeline",
        "work_until_s",
    )

    def __init__(
        self,
        daemon_settings: settings.Settings,
        incarnation: int,
        timeline: timelines.Timeline,
        counters: metrics.Metrics,
    ) -> None:
        """Makes the state of a process that has just begun."""
        self.settings = daemon_settings
        self.incarnation = incarnation
        self.timeline = timeline
        self.metrics = counters
        self.configuration = resources.Configuration()
        self.confirmed_s = -math.inf
        self.serving = Serving.STARTING
        self.work_until_s = -math.inf
        self.accepted_revision = 0
        self.members: dict[str, Member] = {}
        self.lease_until_s = -math.inf
        self.owners: dict[str, str] = {}
        self.may_start_s: dict[str, float] = {}
        self.owned: dict[str, messages.SearcherState] = {}
        self.blame = poison.Blame()
        self.running = 0

    def get_searcher_states(self) -> dict[str, messages.SearcherState]:
        """Returns what the owners tell of their searchers, by name."""
        states = {
            state.searcher: state
            for name, member in self.members.items()
            if name != self.settings.vm
            for state in member.searchers
            if self.owners.get(state.searcher) == name
        }
        states.update(self.owned)
        return states
