"""Configuration shared by all tests."""

from __future__ import annotations

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "azureramp",
    # No shrinking: for a failing run of whole VMs it takes minutes and doesn't
    # change the result. A failure prints the unshrunk example.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    derandomize=True,
    database=None,
    deadline=None,
)
hypothesis.settings.load_profile("azureramp")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks exactly the tests listed in KNOWN-RED.txt as expected failures.

    A listed test that passes fails the run until its entry is removed.
    """
    known_red = [
        line.split(maxsplit=1)[0]
        for line in KNOWN_RED.read_text("utf-8").splitlines()
        if line.startswith("tests/")
    ]
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(
                pytest.mark.xfail(reason="see KNOWN-RED.txt", strict=True)
            )
