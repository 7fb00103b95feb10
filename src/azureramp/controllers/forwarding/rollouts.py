"""The roll-outs of all services as known to a VM that sends requests.

Maintains the orders and records, decides which searchers a call may use, and
counts the results of calls to the old and new versions. They are reported to
the driver of the roll-out, which grants further calls to the new version.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

import logbook

from azureramp import catalog, rollout_types
from azureramp.controllers.forwarding import active_rollout
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import rollouts as policy

_logger = logbook.Logger("azureramp.rollouts")


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRecord:
    """A roll-out's record as the store holds it.

    Attributes:
        record: The record.
        revision: Its revision.
        seen_s: Time at which this process received it, in seconds.
    """

    record: rollout_types.Record
    revision: int
    seen_s: float


class Rollouts:
    """Maintains the roll-outs of all services.

    Attributes:
        orders: The newest order of each service.
        records: The newest record of each service.
        active: The roll-outs that have not ended, by service.
        on_begin: Called when a roll-out begins, if this process serves callers.
        on_end: Called with the service's name when a roll-out has ended.
    """

    __slots__ = (
        "_board",
        "_ended",
        "_order_seen_s",
        "_versions_at_order",
        "active",
        "on_begin",
        "on_end",
        "orders",
        "records",
    )

    def __init__(self, board: board_module.Board) -> None:
        """Creates a controller without roll-outs.

        Args:
            board: The process's state.
        """
        self._board = board
        self.orders: dict[str, rollout_types.Order] = {}
        self.records: dict[str, StoredRecord] = {}
        self.active: dict[str, active_rollout.ActiveRollout] = {}
        self.on_begin: Callable[[active_rollout.ActiveRollout], None] | None = (
            None
        )
        self.on_end: Callable[[str], None] | None = None
        self._ended: dict[str, policy.AllowedVersions] = {}
        self._versions_at_order: dict[str, frozenset[str]] = {}
        self._order_seen_s: dict[str, float] = {}

    def apply_order(self, order: rollout_types.Order) -> None:
        """Applies an operator's order; ignores one that is already known.

        Args:
            order: The order.
        """
        if self.orders.get(order.service) == order:
            return
        self.orders[order.service] = order
        self._versions_at_order[order.service] = self.list_versions(
            order.service
        )
        self._order_seen_s[order.service] = asyncio.get_running_loop().time()
        _logger.info(
            "received the order to roll out service {} to version {}",
            order.service,
            order.target,
            extra={
                "order": order.revision,
                "duration_s": order.duration_s,
                "present": sorted(self._versions_at_order[order.service]),
            },
        )
        self._update(order.service)

    def withdraw(self, service: str) -> None:
        """Handles the withdrawal of an order by the operators.

        Args:
            service: The service's name.
        """
        if self.orders.pop(service, None) is not None:
            _logger.info("the order to roll out {} was withdrawn", service)
        self._update(service)

    def apply_record(self, record: rollout_types.Record, revision: int) -> None:
        """Applies a roll-out's record unless a newer one is known.

        Args:
            record: The record.
            revision: Its revision.
        """
        service = record.order.service
        stored = self.records.get(service)
        if stored is not None and revision <= stored.revision:
            return
        now_s = asyncio.get_running_loop().time()
        self.records[service] = StoredRecord(record, revision, now_s)
        if stored is None or _is_significant(stored.record, record):
            _logger.info(
                "the roll-out of {} to {} is {}: {}",
                service,
                record.order.target,
                record.phase.value,
                record.reason,
                extra={
                    "order": record.order.revision,
                    "driver": record.driver,
                    "age_s": record.age_s,
                },
            )
        self._update(service)

    def get_record(self, service: str) -> rollout_types.Record | None:
        """Returns the newest record of a service, None if there is none."""
        stored = self.records.get(service)
        return None if stored is None else stored.record

    def get_versions_at_order(self, service: str) -> frozenset[str]:
        """Returns the versions of a service's searchers at its last order.

        A process that started after the order knew no searchers when it read
        the order; the current versions are returned instead.

        Args:
            service: The service's name.
        """
        return self._versions_at_order.get(service) or self.list_versions(
            service
        )

    def get_order_seen_s(self, service: str) -> float:
        """Returns when this process received a service's newest order.

        Args:
            service: The service's name.

        Returns:
            The time in seconds; the process's start if there is no order.
        """
        return self._order_seen_s.get(service, self._board.started_s)

    def list_version_groups(
        self, service: str, is_first: bool, now_s: float
    ) -> tuple[active_rollout.VersionGroup, ...]:
        """Lists the version groups that a call may use, preferred one first.

        Without a roll-out all searchers count as old.

        Args:
            service: The service's name.
            is_first: True for a request's first call to the service.
            now_s: The current time, in seconds.
        """
        running = self.active.get(service)
        if running is None:
            return (active_rollout.VersionGroup.OLD,)
        return running.list_version_groups(is_first, now_s)

    def is_allowed(
        self,
        searcher: catalog.Searcher,
        sides: tuple[active_rollout.VersionGroup, ...],
    ) -> bool:
        """Returns True if a searcher belongs to one of the version groups.

        Args:
            searcher: The searcher.
            sides: The version groups.
        """
        running = self.active.get(searcher.service)
        if running is not None:
            versions = running.versions
            if running.is_new(searcher):
                return active_rollout.VersionGroup.NEW in sides
        else:
            ended = self._ended.get(searcher.service)
            if ended is None:
                return True
            versions = ended
        return active_rollout.VersionGroup.OLD in sides and versions.allows(
            searcher.version
        )

    def record_call(self, searcher: catalog.Searcher, now_s: float) -> None:
        """Counts a call to a searcher.

        Args:
            searcher: The searcher.
            now_s: The current time, in seconds.
        """
        running = self.active.get(searcher.service)
        if running is None:
            return
        running.record_call(searcher, now_s)
        if running.is_new(searcher):
            self._board.metrics.count("rollout.calls")

    def record_call_end(
        self,
        searcher: catalog.Searcher,
        route: str,
        end: active_rollout.CallResult,
        took_s: float,
        usual_s: float,
    ) -> bool:
        """Records the result of a call; see `ActiveRollout.record_call_end`."""
        running = self.active.get(searcher.service)
        if running is None:
            return True
        return running.record_call_end(searcher, route, end, took_s, usual_s)

    def list_versions(self, service: str) -> frozenset[str]:
        """Returns the versions of a service's searchers.

        Args:
            service: The service's name.
        """
        targets = self._board.by_service.get(service, {})
        return frozenset(each.searcher.version for each in targets.values())

    def _update(self, service: str) -> None:
        """Updates a service's state after a change of its order or record."""
        order = self.orders.get(service)
        record = self.get_record(service)
        versions = policy.determine_allowed_versions(
            order, record, self.get_versions_at_order(service)
        )
        pending = self._find_pending(order, record)
        if pending is None:
            self._end(service)
            if versions is None:
                self._ended.pop(service, None)
            else:
                self._ended[service] = versions
            return
        running = self.active.get(service)
        if running is None or running.order != pending:
            self._end(service)
            self._begin(pending, versions)
            running = self.active.get(service)
        if running is None:
            return
        if versions is not None:
            running.versions = versions
        if record is not None and record.order == pending:
            running.set_usual_durations(record.usual)
        running.report_due.set()

    def _find_pending(
        self,
        order: rollout_types.Order | None,
        record: rollout_types.Record | None,
    ) -> rollout_types.Order | None:
        """Returns the order whose roll-out has not ended, None if none."""
        if record is not None and (
            order is None or order.revision <= record.order.revision
        ):
            return None if record.has_ended() else record.order
        return order

    def _begin(
        self,
        order: rollout_types.Order,
        versions: policy.AllowedVersions | None,
    ) -> None:
        """Begins to track a roll-out."""
        # If the service already runs the version, all its searchers are used.
        versions = versions or policy.AllowedVersions("", frozenset())
        now_s = asyncio.get_running_loop().time()
        running = active_rollout.ActiveRollout(order, versions, now_s)
        if not versions.target:
            self._ended[order.service] = versions
        else:
            self._ended.pop(order.service, None)
            self.active[order.service] = running
        self._board.metrics.set_gauge("rollout.running", len(self.active))
        if self._board.identity.serves_callers and self.on_begin is not None:
            self.on_begin(running)

    def _end(self, service: str) -> None:
        """Stops tracking a service's roll-out."""
        self.active.pop(service, None)
        self._board.metrics.set_gauge("rollout.running", len(self.active))
        if self.on_end is not None:
            self.on_end(service)


def _is_significant(
    old: rollout_types.Record, new: rollout_types.Record
) -> bool:
    """Returns True if a record's order, phase or driver has changed."""
    return (old.order, old.phase, old.driver) != (
        new.order,
        new.phase,
        new.driver,
    )
