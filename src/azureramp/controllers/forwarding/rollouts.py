"""Roll-outs as a VM that sends requests sees them.

Keeps the orders and records, tells which searchers a call may go to, counts
how calls of both versions end, and reports that to the VM that drives the
roll-out, which answers with the right to a few more calls.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

import logbook

from azureramp import catalog, rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import rollout_view
from azureramp.policy import rollouts as policy

_logger = logbook.Logger("azureramp.rollouts")


@dataclasses.dataclass(slots=True, frozen=True)
class Known:
    """A record as it stands in the store.

    Attributes:
        record: The record.
        revision: Its revision.
        seen_s: When this process heard of it.
    """

    record: rollout_types.Record
    revision: int
    seen_s: float


class Rollouts:
    """Keeps the roll-outs of all services.

    Attributes:
        orders: The newest order of each service.
        records: The newest record of each.
        running: Those that have not ended.
        on_begin: Called when one begins that this process takes part in.
        on_end: Called with the service when one has ended.
    """

    __slots__ = (
        "_board",
        "_ended",
        "_present",
        "_seen_s",
        "on_begin",
        "on_end",
        "orders",
        "records",
        "running",
    )

    def __init__(self, board: board_module.Board) -> None:
        """Makes one that knows of no roll-out."""
        self._board = board
        self.orders: dict[str, rollout_types.Order] = {}
        self.records: dict[str, Known] = {}
        self.running: dict[str, rollout_view.Running] = {}
        self.on_begin: Callable[[rollout_view.Running], None] | None = None
        self.on_end: Callable[[str], None] | None = None
        self._ended: dict[str, policy.Versions] = {}
        self._present: dict[str, frozenset[str]] = {}
        self._seen_s: dict[str, float] = {}

    def take_order(self, order: rollout_types.Order) -> None:
        """Takes an order of the operators, which may have been read before."""
        if self.orders.get(order.service) == order:
            return
        self.orders[order.service] = order
        self._present[order.service] = self.list_versions(order.service)
        self._seen_s[order.service] = asyncio.get_running_loop().time()
        _logger.info(
            "operators want service {} moved to version {}",
            order.service,
            order.target,
            extra={
                "order": order.revision,
                "duration_s": order.duration_s,
                "present": sorted(self._present[order.service]),
            },
        )
        self._update(order.service)

    def withdraw(self, service: str) -> None:
        """Takes that the operators took their order back."""
        if self.orders.pop(service, None) is not None:
            _logger.info("operators took back the roll-out of {}", service)
        self._update(service)

    def take_record(self, record: rollout_types.Record, revision: int) -> None:
        """Takes how far a roll-out is."""
        service = record.order.service
        known = self.records.get(service)
        if known is not None and revision <= known.revision:
            return
        now_s = asyncio.get_running_loop().time()
        self.records[service] = Known(record, revision, now_s)
        if known is None or _is_news(known.record, record):
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
        """Returns the newest record of a service's roll-outs."""
        known = self.records.get(service)
        return None if known is None else known.record

    def get_present(self, service: str) -> frozenset[str]:
        """Returns the versions of a service's searchers at its last order.

        A process that started since knew no searcher when it read the order;
        the versions that there are now stand for those.
        """
        return self._present.get(service) or self.list_versions(service)

    def get_seen_s(self, service: str) -> float:
        """Returns when the newest order of a service was seen."""
        return self._seen_s.get(service, self._board.started_s)

    def list_sides(
        self, service: str, is_first: bool, now_s: float
    ) -> tuple[rollout_view.Side, ...]:
        """Lists the sides that a call to a service may go to, best first.

        Without a roll-out all searchers are old.
        """
        running = self.running.get(service)
        if running is None:
            return (rollout_view.Side.OLD,)
        return running.list_sides(is_first, now_s)

    def allows(
        self, searcher: catalog.Searcher, sides: tuple[rollout_view.Side, ...]
    ) -> bool:
        """Tells whether a searcher is on one of these sides."""
        running = self.running.get(searcher.service)
        if running is not None:
            versions = running.versions
            if running.is_new(searcher):
                return rollout_view.Side.NEW in sides
        else:
            ended = self._ended.get(searcher.service)
            if ended is None:
                return True
            versions = ended
        return rollout_view.Side.OLD in sides and versions.allows_old(
            searcher.version
        )

    def note_call(self, searcher: catalog.Searcher, now_s: float) -> None:
        """Counts a call to a searcher."""
        running = self.running.get(searcher.service)
        if running is None:
            return
        running.note_call(searcher, now_s)
        if running.is_new(searcher):
            self._board.metrics.count("rollout.calls")

    def note_end(
        self,
        searcher: catalog.Searcher,
        route: str,
        end: rollout_view.End,
        took_s: float,
        usual_s: float,
    ) -> bool:
        """Takes how a call ended; see `Running.note_end`."""
        running = self.running.get(searcher.service)
        if running is None:
            return True
        return running.note_end(searcher, route, end, took_s, usual_s)

    def list_versions(self, service: str) -> frozenset[str]:
        """Lists the versions of the searchers that a service has."""
        targets = self._board.by_service.get(service, {})
        return frozenset(each.searcher.version for each in targets.values())

    def _update(self, service: str) -> None:
        """Follows an order or a record."""
        order = self.orders.get(service)
        record = self.get_record(service)
        versions = policy.find_versions(
            order, record, self.get_present(service)
        )
        pending = self._find_pending(order, record)
        if pending is None:
            self._end(service)
            if versions is None:
                self._ended.pop(service, None)
            else:
                self._ended[service] = versions
            return
        running = self.running.get(service)
        if running is None or running.order != pending:
            self._end(service)
            self._begin(pending, versions)
            running = self.running.get(service)
        if running is None:
            return
        if versions is not None:
            running.versions = versions
        if record is not None and record.order == pending:
            running.take_usual(record.usual)
        running.wanted.set()

    def _find_pending(
        self,
        order: rollout_types.Order | None,
        record: rollout_types.Record | None,
    ) -> rollout_types.Order | None:
        """Returns the order that has not ended, if there is one."""
        if record is not None and (
            order is None or order.revision <= record.order.revision
        ):
            return None if record.has_ended() else record.order
        return order

    def _begin(
        self,
        order: rollout_types.Order,
        versions: policy.Versions | None,
    ) -> None:
        """Begins to follow a roll-out."""
        # Where the service runs the version already, all its searchers serve.
        versions = versions or policy.Versions("", frozenset())
        now_s = asyncio.get_running_loop().time()
        running = rollout_view.Running(order, versions, now_s)
        if not versions.target:
            self._ended[order.service] = versions
        else:
            self._ended.pop(order.service, None)
            self.running[order.service] = running
        self._board.metrics.set_gauge("rollout.running", len(self.running))
        if self._board.identity.serves_callers and self.on_begin is not None:
            self.on_begin(running)

    def _end(self, service: str) -> None:
        """Ends following a roll-out."""
        self.running.pop(service, None)
        self._board.metrics.set_gauge("rollout.running", len(self.running))
        if self.on_end is not None:
            self.on_end(service)


def _is_news(old: rollout_types.Record, new: rollout_types.Record) -> bool:
    """Tells whether a record says more than that some calls were granted."""
    return (old.order, old.phase, old.driver) != (
        new.order,
        new.phase,
        new.driver,
    )
