"""Each client account's limit on its requests at all VMs together."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Tolerance:
    """How far all VMs together may exceed an account's limit.

    In any window, an account may send its rate times the window plus its burst,
    increased by `overage` and `slack`.

    Attributes:
        window_s: The length of the window, in seconds.
        overage: Permitted excess, as a share of the limit.
        slack: Permitted excess, in requests.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0
