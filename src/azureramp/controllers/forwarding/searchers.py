"""The searchers, and the choice of one for each call."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Collection, Mapping

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import (
    active_rollout,
    advertisement,
    change_log,
    cold_searchers,
    load_reports,
    rollouts,
    shared_limits,
)
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import (
    advertising,
    searcher_selection,
    searcher_stats,
    server_slowness,
)
from azureramp.ports.forwarding import api, pool

COLD_SLOWNESS = 1.6
"""Assumed duration of a cold searcher's calls, as a multiple of the usual one,
until its own calls have been measured."""

RECENT_USE_S = 10.0
"""How long after its last call a searcher counts as in use, in seconds."""

DEFAULT_CONNECTIONS = 8
"""Number of connections that a searcher is assumed to accept while its service
is not in the configuration."""

_logger = logbook.Logger("azureramp.searchers")


class Searchers:
    """Maintains the searchers on the blackboard and chooses among them.

    Attributes:
        limits: This VM's shares of the limits that apply to all VMs together.
        load_reports: Records the searchers' load reports.
        metrics: Counts the calls.
        rollouts: Determines which versions may be used.
    """

    __slots__ = (
        "_board",
        "_codec",
        "_log",
        "_persistence",
        "_rng",
        "limits",
        "load_reports",
        "metrics",
        "rollouts",
    )

    def __init__(
        self,
        board: board_module.Board,
        codec: api.Codec,
        rng: random.Random,
        log: change_log.ChangeLog,
        rollout_controller: rollouts.Rollouts,
    ) -> None:
        """Creates a controller without searchers."""
        self.rollouts = rollout_controller
        self._log = log
        self._board = board
        self.metrics = board.metrics
        self.load_reports = load_reports.LoadReports(board.metrics, log)
        self._codec = codec
        self._rng = rng
        self._persistence = server_slowness.Persistence()
        self.limits = shared_limits.SharedLimits(board)

    def add_or_update(self, searcher: catalog.Searcher) -> None:
        """Adds a searcher, or updates it from its newest entry."""
        target = self._board.targets.get(searcher.id)
        if target is not None and _is_same_process(target.searcher, searcher):
            target.searcher = searcher
            target.stats.slots = searcher.slots
            target.missing_since_s = math.inf
        else:
            self.remove(searcher.id)
            replaced, target = target, self._make_target(searcher)
            if replaced is not None:
                target.call_times_s = replaced.call_times_s
            self._board.targets[searcher.id] = target
            by_id = self._board.by_service.setdefault(searcher.service, {})
            by_id[searcher.id] = target
        now_s = asyncio.get_running_loop().time()
        target.cold_until_s = now_s + searcher.cold_remaining_s
        draining = searcher.state is catalog.SearcherState.DRAINING
        self._log_change(
            target,
            change_log.Change.SEARCHER_DRAINING
            if draining
            else change_log.Change.SEARCHER_READY,
        )

    def remove(self, searcher: str) -> None:
        """Removes a searcher; calls that it is still running complete."""
        target = self._board.targets.pop(searcher, None)
        if target is None:
            return
        by_id = self._board.by_service[target.searcher.service]
        del by_id[searcher]
        if not by_id:
            del self._board.by_service[target.searcher.service]
        target.removed = True
        target.pool.close()
        self._log_change(target, change_log.Change.SEARCHER_GONE)

    def _log_change(
        self, target: board_module.Target, change: change_log.Change
    ) -> None:
        """Counts a state change, and logs it if the searcher is in use."""
        self._log.count(change)
        now_s = asyncio.get_running_loop().time()
        if (
            not target.call_times_s
            or now_s > target.call_times_s[-1] + RECENT_USE_S
        ):
            return
        searcher = target.searcher
        match change:
            case change_log.Change.SEARCHER_GONE:
                state = "gone"
            case change_log.Change.SEARCHER_MISSING:
                state = "missing in the store, and stays in use for now"
            case _:
                state = searcher.state.value
        updates = self._board.updates
        where = f"{searcher.service} at {searcher.address}"
        self._log.log_line(
            _logger,
            f"searcher {searcher.id} of {where} is {state}",
            now_s,
            revision=updates.revision,
            source=updates.source,
            last_call_ms=round((now_s - target.call_times_s[-1]) * 1000),
        )

    def close(self) -> None:
        """Removes all searchers when the process stops."""
        for searcher in list(self._board.targets):
            self.remove(searcher)

    def mark_expired(self, searcher: str) -> None:
        """Marks a searcher whose entry expired during a store outage."""
        target = self._board.targets.get(searcher)
        if target is None or math.isfinite(target.missing_since_s):
            return
        target.missing_since_s = asyncio.get_running_loop().time()
        self._log_change(target, change_log.Change.SEARCHER_MISSING)

    def remove_expired(self) -> None:
        """Removes the searchers whose entries have not been rewritten."""
        for name, target in list(self._board.targets.items()):
            if math.isfinite(target.missing_since_s):
                self.remove(name)

    def apply_connection_limits(self) -> None:
        """Applies the connection limits and opens connections ahead of need."""
        advertisement.update_advertised(self._board)
        self.limits.update(asyncio.get_running_loop().time())
        used: set[str] = set()
        if self._is_advertised():
            used = advertisement.find_used_services(self._board.configuration)
        for target in self._board.targets.values():
            target.pool.set_limit(self._get_share(target.searcher.service))
            if target.searcher.service in used and self._is_usable(
                target, active_rollout.ALL_VERSION_GROUPS
            ):
                target.pool.open_ahead(1)

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        now_s: float,
        allow_faulty: bool = False,
        is_first: bool = False,
        tolerance: float = searcher_selection.SAME_ZONE_TOLERANCE,
    ) -> board_module.Target | None:
        """Chooses a searcher of a service for one call.

        Args:
            service: The service's name.
            excluded: The ids of searchers that must not be chosen.
            now_s: The current time.
            allow_faulty: True if a searcher that often fails may be chosen as a
                last resort.
            is_first: True for the first call of a request.
            tolerance: How much longer than usual a call in the own zone may
                take, as a multiple of a usual call.

        Returns:
            The searcher; None if none may get a call now.
        """
        targets = self._board.by_service.get(service, {})
        for target in targets.values():
            if target.stats.needs_probe(now_s):
                self._probe(target)
        for side in self.rollouts.list_version_groups(service, is_first, now_s):
            chosen = self._choose_from(
                side, targets, excluded, now_s, allow_faulty, tolerance
            )
            if chosen is not None:
                return chosen
        return None

    def _choose_from(
        self,
        side: active_rollout.VersionGroup,
        targets: Mapping[str, board_module.Target],
        excluded: Collection[str],
        now_s: float,
        allow_faulty: bool,
        tolerance: float,
    ) -> board_module.Target | None:
        """Chooses among a service's searchers on one side of a roll-out."""
        sides = (side,)
        usable = [
            (name, target.stats)
            for name, target in targets.items()
            if name not in excluded
            and self._is_usable(target, sides)
            and self.limits.is_warm_enough(target, now_s)
        ]
        responsive = [
            (name, record)
            for name, record in usable
            if not targets[name].pool.is_stalled()
        ]
        chosen = searcher_selection.choose(
            responsive, now_s, self._rng, tolerance
        )
        if chosen is None:
            chosen = searcher_selection.choose(
                usable, now_s, self._rng, tolerance
            )
        if chosen is None:
            chosen = searcher_selection.choose_for_probe(usable, now_s)
        if chosen is None and allow_faulty:
            chosen = searcher_selection.choose_in_backoff(usable, now_s)
        if chosen is None:
            return None
        if not targets[chosen].stats.same_zone and any(
            record.same_zone for _, record in usable
        ):
            self.metrics.count("call.left_zone")
        return targets[chosen]

    def count_usable(self, service: str, now_s: float) -> int:
        """Returns how many searchers of a service may get a call now."""
        return len(self.list_usable(service, now_s))

    def list_usable(
        self, service: str, now_s: float
    ) -> list[searcher_stats.SearcherStats]:
        """Returns the searchers of a service that may get a call now."""
        targets = self._board.by_service.get(service, {})
        sides = self.rollouts.list_version_groups(service, True, now_s)
        return [
            target.stats
            for target in targets.values()
            if self._is_usable(target, sides)
            and (
                target.stats.responsive
                or not target.stats.is_excluded(now_s)
                or target.stats.needs_probe(now_s)
            )
        ]

    def _probe(self, target: board_module.Target) -> None:
        """Checks with a new connection whether a searcher is up again."""

        def handle_probe(result: pool.ProbeResult) -> None:
            target.probing = False
            if result is pool.ProbeResult.OPENED:
                target.stats.responsive = True

        if not target.probing:
            target.probing = True
            target.pool.probe(handle_probe)

    def get_received_updates(self) -> board_module.ReceivedUpdates:
        """Returns what this VM has received of the store's changes."""
        return self._board.updates

    def takes_new_calls(self, target: board_module.Target) -> bool:
        """Returns True if a searcher is in service, in a zone in service."""
        return (
            not target.removed
            and target.searcher.state is catalog.SearcherState.READY
            and not target.misdirected
            and target.searcher.zone not in self._board.evacuated_zones
        )

    def record_call(self, target: board_module.Target, now_s: float) -> None:
        """Records a call to a searcher."""
        cold_searchers.record_call(target, now_s)
        if math.isfinite(target.missing_since_s):
            self.metrics.count("call.entry_missing")
        self.load_reports.record_choice(target, now_s)
        self.rollouts.record_call(target.searcher, now_s)

    def _is_usable(
        self,
        target: board_module.Target,
        sides: tuple[active_rollout.VersionGroup, ...],
    ) -> bool:
        """Returns True if a searcher may get new work at all."""
        return self.takes_new_calls(target) and self.rollouts.is_allowed(
            target.searcher, sides
        )

    def _make_target(self, searcher: catalog.Searcher) -> board_module.Target:
        """Creates the state of a newly announced searcher."""
        near = searcher.zone == self._board.identity.zone
        record = searcher_stats.SearcherStats(
            searcher.slots,
            near,
            server=server_slowness.ServerSlowness(self._persistence),
        )
        if searcher.cold_remaining_s > 0:
            record.relative_time = COLD_SLOWNESS
            record.updated_s = asyncio.get_running_loop().time()

        def handle_unreachable() -> None:
            now_s = asyncio.get_running_loop().time()
            record.record_failure(now_s, sent=False)

        return board_module.Target(
            searcher,
            record,
            pool.Pool(
                self._codec,
                searcher.address,
                self._get_share(searcher.service),
                handle_unreachable,
            ),
        )

    def _is_advertised(self) -> bool:
        """Returns True if this VM is advertised to callers."""
        return self._board.identity.vm in self._board.advertised

    def _get_share(self, name: str) -> int:
        """Returns how many connections this VM may hold to a searcher."""
        service = self._board.get_service(name)
        max_connections = (
            service.max_connections if service else DEFAULT_CONNECTIONS
        )
        return advertising.get_connections_per_vm(
            max_connections, len(self._board.advertised), self._is_advertised()
        )


def _is_same_process(old: catalog.Searcher, new: catalog.Searcher) -> bool:
    """Returns True if both announcements come from one process.

    A searcher that restarted under its id has lost its state, so what was
    measured of the old process doesn't apply to the new one.
    """
    return (
        old.started_ms == new.started_ms
        and old.address == new.address
        and old.service == new.service
    )
