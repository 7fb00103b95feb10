"""Attributes resource warnings to the test that left the resource open."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def _collect_garbage() -> Iterator[None]:
    """Collects garbage after each test.

    A connection that is left open issues a warning when it is collected.
    Without this, a later test could receive the warning and fail at random.
    """
    yield
    gc.collect()
