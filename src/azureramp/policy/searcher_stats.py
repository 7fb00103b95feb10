"""What a VM knows about one searcher, and when the searcher gets no calls.

The load it answers: calls to many searchers that differ in speed, pause, fail
and recover. Its inputs are the outcomes of this VM's calls and the searcher's
load reports; its outcome is the state from which `searcher_selection` chooses.
"""

from __future__ import annotations

import dataclasses
import math

from azureramp.policy import server_slowness

SMOOTHING = 0.2
"""Weight of the latest call's duration in a searcher's moving average. It
covers about the last five calls, so that a searcher that becomes slow is
avoided within a few calls."""

BASE_BACKOFF_S = 0.25
"""First backoff of a failing searcher, in seconds; it doubles with each further
failure."""

MAX_BACKOFF_S = 1.0
"""Maximum backoff of a failing searcher, in seconds. It is short because a
recovered searcher is needed soon if its shard has few others."""

FAILURE_SMOOTHING = 0.15
"""Weight of the latest outcome in a searcher's share of failed calls."""

FAILURES_TO_BACKOFF = 2
"""Number of consecutive failures that start a searcher's backoff. A single
answer may be lost although the searcher is healthy."""


@dataclasses.dataclass(slots=True)
class SearcherStats:
    """This VM's measurements of one searcher.

    Attributes:
        slots: Number of requests that it runs concurrently.
        same_zone: True if it is in this VM's availability zone.
        in_flight: Number of this VM's calls in flight.
        overdue: Number of these that are overdue.
        relative_time: Average duration of its calls relative to the usual one;
            1 is usual.
        updated_s: When a call last updated the measurements, in seconds.
        failures: Number of consecutive failures.
        responsive: False if the last failure shows that the searcher may be
            down: it could not be reached, or did not respond for a long time.
            True after an error or a lost answer.
        failure_rate: Moving average of the share of failed calls, 0 to 1.
        backoff_until_s: When its backoff ends, in seconds.
        probing: True while a single call probes whether it has recovered.
        reported_load: Reported number of other VMs' requests queued or running.
        reported_s: When this was reported, in seconds.
        server: What it reported about its backend server.
    """

    slots: int
    same_zone: bool
    in_flight: int = 0
    overdue: int = 0
    relative_time: float = 1.0
    updated_s: float = 0.0
    failures: int = 0
    responsive: bool = True
    failure_rate: float = 0.0
    backoff_until_s: float = 0.0
    probing: bool = False
    reported_load: float = 0.0
    reported_s: float = -1e9
    server: server_slowness.ServerSlowness = dataclasses.field(
        default_factory=server_slowness.ServerSlowness
    )

    def record_time(self, ratio: float, now_s: float) -> None:
        """Records the duration of a call, after the report in its answer.

        Args:
            ratio: The duration, relative to the usual one.
            now_s: The current time, in seconds.
        """
        ratio = min(ratio, 20.0)
        if self.server.reported_s > -math.inf:
            self.server.record_time(ratio)
        self.relative_time += SMOOTHING * (ratio - self.relative_time)
        self.updated_s = now_s

    def record_success(self) -> None:
        """Records an answer of any kind that shows that the searcher is up."""
        self.failures = 0
        self.failure_rate *= 1.0 - FAILURE_SMOOTHING
        self.backoff_until_s = 0.0
        self.probing = False

    def record_failure(
        self, now_s: float, sent: bool = True, silent: bool = False
    ) -> None:
        """Records a call that failed because of the searcher.

        Args:
            now_s: The current time, in seconds.
            sent: False if the searcher could not be reached. Such a failure
                does not count in the share of failed calls, since it does not
                predict the searcher's behavior once it is up again.
            silent: True if the searcher did not respond for a long time.
        """
        self.failures += 1
        self.responsive = sent and not silent
        if sent:
            self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)
            self.updated_s = now_s
        self.probing = False
        if self.failures >= FAILURES_TO_BACKOFF:
            doublings = min(self.failures - FAILURES_TO_BACKOFF, 8)
            backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**doublings)
            self.backoff_until_s = now_s + backoff_s

    def is_excluded(self, now_s: float) -> bool:
        """Returns True if the searcher must not get calls now.

        After the backoff, one call at a time probes whether it has recovered.
        A searcher that may be down gets no call until a connection to it could
        be opened, since each call that probed it would make its request late.
        """
        if self.failures < FAILURES_TO_BACKOFF:
            return False
        return (
            not self.responsive or now_s < self.backoff_until_s or self.probing
        )

    def needs_probe(self, now_s: float) -> bool:
        """Returns True if it may be down and its backoff has ended."""
        backoff_ended = (
            self.failures >= FAILURES_TO_BACKOFF
            and now_s >= self.backoff_until_s
        )
        return backoff_ended and not self.responsive
