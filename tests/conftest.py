"""What all tests share."""

from __future__ import annotations

import hypothesis

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
