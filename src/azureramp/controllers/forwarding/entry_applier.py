"""Applies the store's entries to the blackboard."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import (
    change_log,
    crashes,
    members,
    rollouts,
    searchers,
    store_contact,
)
from azureramp.policy import routing
from azureramp.ports.store import api as store_api

EXPIRY_GRACE_S = 2.2
"""Time after the store's recovery for which searchers and VMs with expired
entries stay in use, in seconds. Those that are alive write their entries again
within about 2 s."""

MAX_LOGGED_PROBLEMS = 10
"""Maximum number of a configuration's problems that its line names."""

Decode = Callable[[store_api.Entry], catalog.Update | None]
"""Decodes an entry; returns None for a key that this process doesn't use."""

_logger = logbook.Logger("azureramp.applying")


class EntryApplier:
    """Updates the blackboard from the store's entries.

    Attributes:
        on_configuration: Called after each new configuration.
    """

    __slots__ = (
        "_board",
        "_contact",
        "_crashes",
        "_decode",
        "_expired",
        "_log",
        "_members",
        "_revision",
        "_rollouts",
        "_searchers",
        "on_configuration",
    )

    def __init__(
        self,
        board: board_module.Board,
        decode: Decode,
        searcher_registry: searchers.Searchers,
        crash_registry: crashes.CrashTracker,
        member_registry: members.MemberTracker,
        contacts: store_contact.StoreContactTracker,
        log: change_log.ChangeLog,
        rollout_registry: rollouts.Rollouts,
    ) -> None:
        """Creates a controller that has applied no entries.

        Args:
            board: The process's state.
            decode: Decodes entries.
            searcher_registry: Handles the entries of searchers.
            crash_registry: Handles the entries of crashes that are attributed
                to requests.
            member_registry: Handles the entries of VMs.
            contacts: Tracks the store's reachability.
            log: Logs the changes.
            rollout_registry: Handles the orders and records of roll-outs.
        """
        self._rollouts = rollout_registry
        self._log = log
        self._expired = asyncio.Event()
        self._revision = 0
        self._board = board
        self._decode = decode
        self._searchers = searcher_registry
        self._crashes = crash_registry
        self._members = member_registry
        self._contact = contacts
        self.on_configuration: Callable[[catalog.Configuration], None] | None
        self.on_configuration = None

    def apply(self, entries: Sequence[store_api.Entry]) -> None:
        """Applies new entries.

        Args:
            entries: The entries, ordered by revision.
        """
        for entry in entries:
            self._apply_one(entry)
            self._revision = max(self._revision, entry.revision)
        self._searchers.apply_connection_limits()
        self._flush()

    async def run_change_log(self) -> None:
        """Logs the pending counts of changes periodically. Never returns."""
        while True:
            await asyncio.sleep(change_log.FLUSH_INTERVAL_S)
            self._flush()

    def _flush(self) -> None:
        """Logs the counts of changes if the interval has passed."""
        self._log.flush(asyncio.get_running_loop().time(), self._revision)

    async def run_expiry_cleanup(self) -> None:
        """Removes expired searchers and VMs after outages. Never returns."""
        while True:
            await self._expired.wait()
            await self._contact.wait_until_available(EXPIRY_GRACE_S)
            self._expired.clear()
            self._searchers.remove_expired()
            self._members.remove_expired()
            self._searchers.apply_connection_limits()

    def _apply_one(self, entry: store_api.Entry) -> None:
        """Applies one entry."""
        match self._decode(entry):
            case catalog.ConfigurationDeclared(configuration=configuration):
                self._take_configuration(configuration)
            case catalog.SearcherAnnounced(searcher=searcher):
                self._searchers.add_or_update(searcher)
            case catalog.SearcherRemoved(id=searcher):
                self._handle_missing_searcher(searcher, entry)
            case catalog.ZoneEvacuationChanged(zone=zone, out=out):
                self._apply_evacuation(zone, out)
            case catalog.MemberAnnounced(member=member):
                self._members.update_member(member)
            case catalog.MemberRemoved(vm=vm):
                self._members.remove(vm, self._is_removal_certain())
            case catalog.CrashReport() as report:
                self._crashes.record_remote_crashes(report)
            case catalog.RolloutOrdered(order=order):
                self._rollouts.apply_order(order)
            case catalog.RolloutWithdrawn(service=service):
                self._rollouts.withdraw(service)
            case catalog.RolloutRecorded(record=record, revision=revision):
                self._rollouts.apply_record(record, revision)
            case catalog.InvalidEntry(reason=reason):
                self._skip(reason)
            case _:
                pass

    def _take_configuration(self, new: catalog.Configuration) -> None:
        """Applies a configuration if it is newer than the current one."""
        board = self._board
        if (
            board.configuration is not None
            and new.version <= board.configuration.version
        ):
            return
        board.configuration = new
        board.table = routing.RoutingTable(new)
        _logger.info("configuration {} is in force", new.version)
        if new.accounts is not None and new.accounts.problems:
            problems = new.accounts.problems
            _logger.warning(
                "configuration {}: problems with client accounts ({}): {}",
                new.version,
                len(problems),
                "; ".join(problems[:MAX_LOGGED_PROBLEMS]),
            )
        if self.on_configuration is not None:
            self.on_configuration(new)

    def _handle_missing_searcher(
        self, searcher: str, entry: store_api.Entry
    ) -> None:
        """Handles a searcher's entry that is deleted or invalid.

        An entry may expire during an outage of the store although the searcher
        is alive. The searcher stays in use until the store has been available
        for `EXPIRY_GRACE_S`.
        """
        if entry.value is not None:
            self._skip(f"the entry of searcher {searcher} is invalid")
            self._searchers.remove(searcher)
        elif self._is_removal_certain():
            self._searchers.remove(searcher)
        else:
            self._searchers.mark_expired(searcher)

    def _is_removal_certain(self) -> bool:
        """Returns False if a missing entry may have expired in an outage.

        `run_expiry_cleanup` then removes what stays missing.
        """
        if self._contact.had_been_available(EXPIRY_GRACE_S):
            return True
        self._expired.set()
        return False

    def _skip(self, reason: str) -> None:
        """Counts and logs an entry that is not applied."""
        self._log.count(change_log.Change.SKIPPED)
        now_s = asyncio.get_running_loop().time()
        self._log.log_line(_logger, f"skipped an entry: {reason}", now_s)

    def _apply_evacuation(self, zone: str, out: bool) -> None:
        """Evacuates an availability zone, or restores it.

        Args:
            zone: The zone.
            out: True to evacuate it.
        """
        if out:
            self._board.evacuated_zones.add(zone)
        else:
            self._board.evacuated_zones.discard(zone)
        _logger.info("availability zone {} is {}", zone, "out" if out else "in")
