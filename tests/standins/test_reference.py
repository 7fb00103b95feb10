"""The reference pages say what the code holds."""

from __future__ import annotations

import pytest

from azureramp_standins import reference


@pytest.mark.parametrize("name", reference.PAGES)
def test_a_reference_page_has_not_drifted_from_the_code(name: str) -> None:
    written = (reference.DIRECTORY / name).read_text(encoding="utf-8")

    assert written == reference.PAGES[name](), "run scripts/reference"
