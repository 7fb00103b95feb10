"""Table of the faults of the matrix."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

from azureramp_standins.matrix import changes

Action = Callable[[changes.FaultTarget], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault with its functions.

    Attributes:
        name: The fault's name.
        description: The fault in one phrase.
        begin: Begins the fault.
        end: Ends the fault; the system must recover from its consequences.
    """

    name: str
    description: str
    begin: Action
    end: Action


FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        Fault(
            "straggler",
            "a searcher takes ten times as long",
            changes.begin_straggler,
            changes.end_straggler,
        ),
        Fault(
            "replica_lost",
            "a backend server is gone",
            changes.begin_replica_lost,
            changes.end_replica_lost,
        ),
        Fault(
            "repartition",
            "another index version with other shards",
            changes.begin_repartition,
            changes.end_repartition,
        ),
        Fault(
            "cold",
            "a backend server turns cold without a restart or a notice",
            changes.begin_cold,
            changes.do_nothing,
        ),
        Fault(
            "store_down",
            "the key-value service is down",
            changes.begin_store_down,
            changes.end_store,
        ),
        Fault(
            "store_slow",
            "the key-value service is slow",
            changes.begin_store_slow,
            changes.end_store,
        ),
        Fault(
            "reply_lost",
            "a write takes effect, but its reply is lost",
            changes.begin_reply_lost,
            changes.end_store,
        ),
        Fault(
            "late_write",
            "a write takes effect late",
            changes.begin_late_write,
            changes.end_store,
        ),
        Fault(
            "past_reads",
            "the key-value service answers reads with older revisions",
            changes.begin_past_reads,
            changes.end_store,
        ),
        Fault(
            "operators_race",
            "two operators change one resource concurrently",
            changes.begin_operators_race,
            changes.do_nothing,
        ),
        Fault(
            "poison",
            "a query crashes each searcher that runs it",
            changes.begin_poison,
            changes.do_nothing,
        ),
        Fault(
            "half_open",
            "open connections become silent permanently",
            changes.begin_half_open,
            changes.do_nothing,
        ),
        Fault(
            "peer_cut",
            "a VM is cut off from the others",
            changes.begin_peer_cut,
            changes.end_network,
        ),
        Fault(
            "vm_frozen",
            "a VM receives no messages for a while, then all at once",
            changes.begin_vm_frozen,
            changes.end_network,
        ),
        Fault(
            "lying_reports",
            "a cold searcher reports that it is warm",
            changes.begin_lying_reports,
            changes.end_lying_reports,
        ),
        Fault(
            "list_lag",
            "the VM list is unavailable while a VM is killed",
            changes.begin_list_lag,
            changes.end_list_lag,
        ),
        Fault(
            "vm_killed",
            "a VM is killed",
            changes.begin_vm_killed,
            changes.start_all,
        ),
        Fault(
            "zone_out",
            "a zone is drained and restored",
            changes.begin_zone_out,
            changes.end_zone_out,
        ),
        Fault(
            "planned_stop",
            "a VM is stopped gracefully and replaced",
            changes.begin_planned_stop,
            changes.start_all,
        ),
    )
}
"""The faults by name."""
