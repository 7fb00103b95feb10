"""What can go wrong at an in-memory searcher."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong at one searcher; may be changed at any time.

    Attributes:
        down: True while connections are refused.
        sheds: Probability that a call is refused.
        fails: Probability that a call fails.
        straggles: Probability that a call takes `straggler_factor` times as
            long.
        straggler_factor: See `straggles`.
        crashes_on: A call whose body holds these bytes crashes the backend
            server; empty for none.
        restart_s: How long a crashed searcher is down, in seconds.
        crossed: How many of the next replies carry another call's id.
        truncated: How many of the next replies break off.
        hangs: How many of the next calls are never answered.
        reports_cold: What health says of cold; None tells the truth.
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
