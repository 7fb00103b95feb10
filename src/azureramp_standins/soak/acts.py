"""What harmed searchers do."""

from __future__ import annotations

from azureramp_standins.fleet import searcher

STRAY = (
    b"HTTP/1.1 200 OK\r\nAzureramp-Request-Id: other\r\n"
    b"Azureramp-Server-Stamp: x.other.1\r\nContent-Length: 2\r\n\r\nno"
)
"""An answer that nobody waits for."""

ACTS = {
    "hang": searcher.Act(then="hang"),
    "shed": searcher.Act(after_s=0.0, status=503, signed=False, not_run=True),
    "reset": searcher.Act(after_s=0.02, then="reset"),
    "cut": searcher.Act(
        after_s=0.01,
        raw=b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\nhalf",
        then="reset",
    ),
    "extra": searcher.Act(after_s=0.01, extra=STRAY),
    "late": searcher.Act(after_s=0.01, extra=STRAY, extra_after_s=0.004),
    "slow": searcher.Act(after_s=0.3),
}
"""What a harmed searcher does with each request."""
