"""Fault injection settings of an in-memory searcher."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults injected into one searcher; mutable at any time.

    Attributes:
        down: True if connections are refused.
        sheds: Probability that a call is rejected by load shedding.
        fails: Probability that a call fails.
        straggles: Probability that a call takes `straggler_factor` times as
            long.
        straggler_factor: See `straggles`.
        crashes_on: A call whose body contains these bytes crashes the backend
            server; empty for none.
        restart_s: Time until a crashed searcher is up again, in seconds.
        crossed: Number of upcoming replies with another call's id.
        truncated: Number of upcoming replies that are truncated.
        hangs: Number of upcoming calls that are never answered.
        reports_cold: Whether health reports claim a cold start; None to report
            the actual state.
    """

    down: bool = False
    sheds: float = 0.0
    fails: float = 0.0
    straggles: float = 0.0
    straggler_factor: float = 10.0
    crashes_on: bytes = b""
    restart_s: float = 1.0
    crossed: int = 0
    truncated: int = 0
    hangs: int = 0
    reports_cold: bool | None = None
