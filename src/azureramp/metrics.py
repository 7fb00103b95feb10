"""The metrics of a process, kept in memory and optionally sent to statsd.

`TABLE` is the complete list of metrics; docs/reference/metrics.md is generated
from it.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import enum
from typing import Protocol

from azureramp import account_metrics

PREFIX = "azureramp"

NO_ACCOUNT = "(none)"
"""The name under which requests without a client account are counted."""


class Type(enum.Enum):
    """The type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"
    ACCOUNT_COUNTER = "counter by account"


@dataclasses.dataclass(slots=True, frozen=True)
class Metric:
    """One metric.

    Attributes:
        name: The dotted name; it ends with the unit if there is one.
        type: The type.
        help: The help text.
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
        Metric("forward.requests", Type.COUNTER, "Forwarded requests ended."),
        Metric("forward.answered", Type.COUNTER, "Answered whole."),
        Metric("forward.short", Type.COUNTER, "Answered with shards missing."),
        Metric("forward.missing", Type.COUNTER, "Shards missing in answers."),
        Metric("forward.refused", Type.COUNTER, "Refused, not run."),
        Metric("forward.failed", Type.COUNTER, "Ended without an answer."),
        Metric("forward.gone", Type.COUNTER, "Callers that left before it."),
        Metric("forward.took_ms", Type.TIMER, "First byte to answer."),
        Metric("forward.running", Type.GAUGE, "Requests that run now."),
        Metric("admission.admitted", Type.COUNTER, "Sent by admission."),
        Metric("admission.wait_ms", Type.TIMER, "Wait for a turn."),
        Metric("admission.limited", Type.GAUGE, "Limited sets of searchers."),
        Metric("admission.refused_forecast", Type.COUNTER, "Can't be served."),
        Metric("admission.refused_turn", Type.COUNTER, "Not its turn in time."),
        Metric(
            "admission.refused_over", Type.COUNTER, "Account had its share."
        ),
        Metric("admission.refused_0", Type.COUNTER, "Refused, priority 0."),
        Metric("admission.refused_1", Type.COUNTER, "Refused, priority 1."),
        Metric(
            "admission.refused_2", Type.COUNTER, "Refused, 2 or less urgent."
        ),
        Metric("admission.returned", Type.COUNTER, "Asked again when told to."),
        Metric("admission.late", Type.COUNTER, "Admitted, answered late."),
        Metric("admission.unserved", Type.COUNTER, "Admitted, not answered."),
        Metric("admission.tried", Type.COUNTER, "Sent against the forecast."),
        Metric("admission.tried_served", Type.COUNTER, "Of these, answered."),
        Metric("call.sent", Type.COUNTER, "Calls to searchers."),
        Metric("call.hedged", Type.COUNTER, "Of these, hedges."),
        Metric("call.retried", Type.COUNTER, "Of these, retries."),
        Metric("call.entry_missing", Type.COUNTER, "Entry not in the store."),
        Metric("call.left_zone", Type.COUNTER, "Other zone, own one usable."),
        Metric("call.moved", Type.COUNTER, "Sent elsewhere, since unsent."),
        Metric("call.withheld", Type.COUNTER, "Extra calls over the bound."),
        Metric("call.rejected", Type.COUNTER, "Rejected by searchers, unrun."),
        Metric("call.lost", Type.COUNTER, "Calls without an answer."),
        Metric("report.received", Type.COUNTER, "Load reports with slowness."),
        Metric("report.slow", Type.COUNTER, "Of these, from slow searchers."),
        Metric("report.unreadable", Type.COUNTER, "Unreadable load reports."),
        Metric("report.age_ms", Type.TIMER, "Age of a report when used."),
        Metric("digest.sent", Type.COUNTER, "Messages on slow searchers."),
        Metric("digest.sent_bytes", Type.COUNTER, "Bytes in their bodies."),
        Metric("digest.lost", Type.COUNTER, "Of these, not acknowledged."),
        Metric("digest.received", Type.COUNTER, "Messages of other VMs."),
        Metric("digest.ignored", Type.COUNTER, "Of VMs not known or trusted."),
        Metric("rollout.calls", Type.COUNTER, "Calls to versions on trial."),
        Metric("rollout.running", Type.GAUGE, "Roll-outs that have not ended."),
        Metric("rollout.driven", Type.GAUGE, "Of these, driven by this VM."),
        Metric("call.took_ms", Type.TIMER, "Time of a successful call."),
        Metric("crash.blamed", Type.COUNTER, "Crashes blamed on requests."),
        Metric("log.dropped", Type.COUNTER, "Log lines that nobody read."),
        Metric("web.connections", Type.GAUGE, "Connections opened by others."),
        Metric(
            "web.connections_replaced",
            Type.COUNTER,
            "Connections closed while idle, in favor of new ones.",
        ),
        Metric(
            "web.connections_refused",
            Type.COUNTER,
            "Connections for which there was no room.",
        ),
        Metric(
            "web.held_bytes",
            Type.GAUGE,
            "Bytes of requests and answers that are held.",
        ),
        Metric(
            "web.memory_refused",
            Type.COUNTER,
            "Requests refused for want of memory.",
        ),
        Metric(
            "web.transfers_ended",
            Type.COUNTER,
            "Slow transfers ended in favor of other requests.",
        ),
        Metric(
            "web.turns_refused",
            Type.COUNTER,
            "Costly requests refused because too many of them waited.",
        ),
        Metric("vm.advertised", Type.GAUGE, "VMs advertised to callers."),
        Metric("vm.members", Type.GAUGE, "VMs that are known."),
        Metric("searcher.known", Type.GAUGE, "Searchers that are known."),
        Metric("store.reachable", Type.GAUGE, "1 while the store answers."),
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
        Metric("store.leases", Type.COUNTER, "Leases granted."),
        Metric("store.renewals", Type.COUNTER, "Leases kept alive."),
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
        Metric(
            "account.requests",
            Type.ACCOUNT_COUNTER,
            "Requests of client accounts, by account and decision.",
        ),
        Metric(
            "account.outcomes",
            Type.ACCOUNT_COUNTER,
            "Ended requests by client account and reason.",
        ),
    )
}


BUCKETS_MS = (1, 2, 5, 10, 20, 30, 50, 75, 100, 150, 250, 500, 1000, 2500)
"""Upper bounds of a histogram's buckets, in milliseconds. They are most
closely spaced around some tens of milliseconds, where callers' latency targets
lie."""


class Histogram:
    """A histogram of durations.

    Attributes:
        counts: The number of durations in each bucket of `BUCKETS_MS`; the
            last one counts all longer ones.
        sum_ms: The sum of the durations, in milliseconds.
    """

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, took_ms: float) -> None:
        """Adds a duration, in milliseconds."""
        self.counts[bisect.bisect_left(BUCKETS_MS, took_ms)] += 1
        self.sum_ms += took_ms


class StatsdClient(Protocol):
    """The interface of a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration in milliseconds."""


class Metrics:
    """Keeps metrics in memory and sends them to statsd if there is a sender.

    Attributes:
        account_outcomes: The ended requests by client account and outcome
            since the start.
        accounts: The decisions of accounts' limits since the start.
        counts: The counters' totals since the start.
        gauges: The current values of the gauges.
        histograms: The timers' durations since the start.
    """

    __slots__ = (
        "_sender",
        "account_outcomes",
        "accounts",
        "counts",
        "gauges",
        "histograms",
    )

    def __init__(self, sender: StatsdClient | None = None) -> None:
        """Creates metrics without any values.

        Args:
            sender: The statsd client; None to keep the metrics in memory only.
        """
        self.account_outcomes = account_metrics.AccountCounts()
        self.accounts = account_metrics.AccountCounts()
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}
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
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[TABLE[name].name] = Histogram()
        histogram.add(took_ms)
        if self._sender is not None:
            self._sender.timing(TABLE[name].name, took_ms)
