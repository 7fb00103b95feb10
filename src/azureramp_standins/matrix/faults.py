"""The faults of the matrix, as a table."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

from azureramp_standins.matrix import changes

Change = Callable[[changes.Place], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault.

    Attributes:
        name: Its name.
        words: What happens.
        begin: Brings it about.
        end: Ends it; what it can't undo, the system must.
    """

    name: str
    words: str
    begin: Change
    end: Change


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
            "a backend server turns cold without a word",
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
            "a write takes effect, its reply is lost",
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
            "the key-value service answers from the past",
            changes.begin_past_reads,
            changes.end_store,
        ),
        Fault(
            "operators_race",
            "two operators change one resource",
            changes.begin_operators_race,
            changes.do_nothing,
        ),
        Fault(
            "poison",
            "a query crashes what runs it",
            changes.begin_poison,
            changes.do_nothing,
        ),
        Fault(
            "half_open",
            "open connections go silent for good",
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
            "a VM hears nothing for a while, then all at once",
            changes.begin_vm_frozen,
            changes.end_network,
        ),
        Fault(
            "lying_reports",
            "a searcher says that it is warm, but is cold",
            changes.begin_lying_reports,
            changes.end_lying_reports,
        ),
        Fault(
            "list_lag",
            "the VM list does not show that a VM is gone",
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
            "a zone is taken out and brought back",
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
