"""Runs a case as a program."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Coroutine

LIMIT_S = 112.0
"""Time after which a case is given up, in seconds."""

COULD_NOT_RUN = 2


def has_trouble() -> bool:
    """Returns False if the disruption is to be left out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Coroutine[None, None, int]) -> None:
    """Runs a case and exits with its result.

    The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
    couldn't run.
    """
    try:
        code = asyncio.run(asyncio.wait_for(case, LIMIT_S))
    except Exception:
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)
