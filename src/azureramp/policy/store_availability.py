"""How long the store has been available since its last outage.

An entry whose writer is alive expires only if the store was unavailable for
several heartbeats. A VM whose calls fail now and then, or that lost its own
path to the store, must not take a removed entry for an expired one. So only
failed calls in a long span without any answer of the store are an outage, at
this VM and at the one from which it receives changes.
"""

from __future__ import annotations

import math

OUTAGE_HEARTBEATS = 2
"""Length of the shortest outage in which an entry can expire, in heartbeats. An
entry expires after three without a write, and the last one may have been
written a heartbeat before the outage."""


class StoreAvailability:
    """Determines the store's last outage from its answers and failed calls.

    Attributes:
        available_s: For how long it is known that the store had been available
            by `confirmed_s`, in seconds.
        confirmed_s: When the store is last known to have been available.
    """

    __slots__ = (
        "_has_failed",
        "_knows_outage",
        "available_s",
        "confirmed_s",
    )

    def __init__(self) -> None:
        """Creates an instance that knows of no answer and no outage."""
        self.confirmed_s = -math.inf
        self.available_s = 0.0
        self._knows_outage = False
        self._has_failed = False

    def record_answer(
        self,
        at_s: float,
        heartbeat_s: float,
        relayed_available_s: float | None = None,
    ) -> None:
        """Records that the store answered this VM, or one that told it.

        Args:
            at_s: When the store was available, on this VM's clock: a call that
                it answered was sent.
            heartbeat_s: Interval of the heartbeats of the entries' writers.
            relayed_available_s: How long the store had been available to the
                other VM by then; None for an answer to this VM.
        """
        available_s = relayed_available_s or 0.0
        if at_s <= self.confirmed_s:
            self.available_s = max(self.available_s, available_s)
            return
        unknown_s = at_s - available_s - self.confirmed_s
        may_have_been_down = self._has_failed or relayed_available_s is not None
        if math.isinf(unknown_s) or (
            may_have_been_down and unknown_s >= OUTAGE_HEARTBEATS * heartbeat_s
        ):
            self.available_s = available_s
            self._knows_outage = self._knows_outage or may_have_been_down
        else:
            gained_s = at_s - self.confirmed_s
            if may_have_been_down and unknown_s > heartbeat_s:
                # A heartbeat may have been lost meanwhile.
                gained_s -= unknown_s
            self.available_s = max(available_s, self.available_s + gained_s)
        self.confirmed_s = at_s
        self._has_failed = False

    def record_failure(self) -> None:
        """Records that a call of this VM to the store failed."""
        self._has_failed = True

    def compute_available_s(self, now_s: float, heartbeat_s: float) -> float:
        """Computes how long the store has been available since its outage.

        Time since the last answer counts up to a heartbeat, unless a call has
        failed in it.

        Args:
            now_s: The current time.
            heartbeat_s: Interval of the heartbeats of the entries' writers.

        Returns:
            The time in seconds; infinite if no outage is known.
        """
        if not self._knows_outage:
            return math.inf
        if not math.isfinite(self.confirmed_s) or self._has_failed:
            return self.available_s
        since_s = max(0.0, now_s - self.confirmed_s)
        return self.available_s + min(since_s, heartbeat_s)
