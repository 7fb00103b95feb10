"""What all tests share."""

from __future__ import annotations

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "azureramp",
    # Shrinking a failing run of whole VMs takes minutes and changes no
    # verdict; a failure prints the run as it was drawn.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    derandomize=True,
    database=None,
    deadline=None,
)
hypothesis.settings.load_profile("azureramp")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets the tests that KNOWN-RED.txt names fail, and nothing else.

    One that passes again turns the run red until its entry is taken out.
    """
    known = [
        line.split(maxsplit=1)[0]
        for line in KNOWN_RED.read_text("utf-8").splitlines()
        if line.startswith("tests/")
    ]
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason="see KNOWN-RED.txt", strict=True)
            )
