"""Blames what a test leaves open on that test."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def _collect_garbage() -> Iterator[None]:
    """Collects what the test left, before another test is blamed for it.

    A connection that is left open warns when it is collected, which may be
    within any later test: the verdict would depend on chance.
    """
    yield
    gc.collect()
