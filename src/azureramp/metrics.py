"""The metrics of a process, kept in memory and sent by statsd.

`TABLE` is the closed list of metrics; docs/reference/metrics.md is made from
it.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import Protocol

PREFIX = "azureramp"


class Type(enum.Enum):
    """How statsd treats a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@dataclasses.dataclass(slots=True, frozen=True)
class Metric:
    """One metric.

    Attributes:
        name: The name, dotted, its unit as the last word where it has one.
        type: How statsd treats it.
        help: What it says.
    """

    name: str
    type: Type
    help: str


TABLE: dict[str, Metric] = {
    metric.name: metric
    for metric in (
        Metric("request.count", Type.COUNTER, "Requests of callers."),
        Metric("request.refused", Type.COUNTER, "Requests refused, not run."),
        Metric("request.short", Type.COUNTER, "Answers marked short."),
        Metric("request.took_ms", Type.TIMER, "Admission to answer."),
        Metric("request.running", Type.GAUGE, "Requests that run now."),
        Metric("part.needed", Type.COUNTER, "Sub-requests needed."),
        Metric("part.hedged", Type.COUNTER, "Hedged sub-requests."),
        Metric("part.retried", Type.COUNTER, "Retried sub-requests."),
        Metric("part.refused", Type.COUNTER, "Results not merged."),
        Metric("searcher.calls", Type.COUNTER, "Calls to searchers."),
        Metric("searcher.took_ms", Type.TIMER, "Time of a searcher's call."),
        Metric("searcher.queued", Type.GAUGE, "Sub-requests that wait."),
        Metric("searcher.crashes", Type.COUNTER, "Crashes seen."),
        Metric("store.reads", Type.COUNTER, "Reads of the key-value service."),
        Metric("store.writes", Type.COUNTER, "Writes, deletes included."),
        Metric("store.watches", Type.COUNTER, "Waiting watches."),
        Metric("store.failures", Type.COUNTER, "Failed calls of the service."),
        Metric("peer.sent_bytes", Type.COUNTER, "Bytes to other daemons."),
        Metric("peer.received_bytes", Type.COUNTER, "Bytes from them."),
        Metric("peer.stale", Type.COUNTER, "Envelopes that came too late."),
        Metric("peer.reconnects", Type.COUNTER, "Silent links given up."),
        Metric("peer.dropped", Type.COUNTER, "Envelopes dropped."),
        Metric("configuration.revision", Type.GAUGE, "Revision in force."),
        Metric("configuration.age_ms", Type.GAUGE, "Age of confirmation."),
        Metric("idempotency.records", Type.COUNTER, "Records claimed."),
        Metric("idempotency.segments", Type.COUNTER, "Grouped writes."),
        Metric("idempotency.replayed", Type.COUNTER, "Outcomes told again."),
    )
}


class Sender(Protocol):
    """What a statsd client offers."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration in milliseconds."""


class Metrics:
    """Counts in memory, and sends by statsd if there is a sender.

    Attributes:
        counts: The counters' sums since the start.
        gauges: The gauges' present values.
    """

    __slots__ = ("_sender", "counts", "gauges")

    def __init__(self, sender: Sender | None = None) -> None:
        """Makes metrics at zero.

        Args:
            sender: The statsd client; None keeps them in memory only.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self._sender = sender

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter of `TABLE`."""
        self.counts[TABLE[name].name] += by
        if self._sender is not None:
            self._sender.incr(name, by)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge of `TABLE`."""
        self.gauges[TABLE[name].name] = value
        if self._sender is not None:
            self._sender.gauge(name, value)

    def record_ms(self, name: str, took_ms: float) -> None:
        """Records a duration for a timer of `TABLE`."""
        if self._sender is not None:
            self._sender.timing(TABLE[name].name, took_ms)
