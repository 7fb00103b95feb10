"""A request crashes searchers, and its client leaves first; see claim.txt."""

from __future__ import annotations

import pathlib

from lib import cases, poison

CASE = poison.Case(
    folder=pathlib.Path(__file__).resolve().parent,
    trouble=cases.has_trouble(),
    attempts=2,
    crash_after_s=0.5,
    leave_ms=400,
    target_ms=1_000,
)

if __name__ == "__main__":
    cases.main(poison.run(CASE))
