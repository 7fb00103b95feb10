"""Running a coroutine in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism

_T = TypeVar("_T")


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end on a loop whose time is virtual.

    Sleeps take no real time, so the same seed gives the same run.
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)
