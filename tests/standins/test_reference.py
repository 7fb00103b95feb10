"""Tests of the reference pages that are generated from the code."""

from __future__ import annotations

import pytest

from azureramp_standins import reference


@pytest.mark.parametrize("name", reference.PAGES)
def test_reference_page_matches_the_code(name: str) -> None:
    written = (reference.DIRECTORY / name).read_text(encoding="utf-8")

    assert written == reference.PAGES[name](), "run scripts/reference"
