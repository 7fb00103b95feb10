"""Faulty responses of the searcher test double."""

from __future__ import annotations

from azureramp_standins.fleet import searcher

UNSOLICITED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAzureramp-Request-Id: other\r\n"
    b"Azureramp-Server-Stamp: x.other.1\r\nContent-Length: 2\r\n\r\nno"
)
"""An HTTP response with the id of a request that the daemon did not send."""

REACTIONS = {
    "hang": searcher.Reaction(connection_action="hang"),
    "shed": searcher.Reaction(
        delay_s=0.0, status=503, signed=False, not_run=True
    ),
    "reset": searcher.Reaction(delay_s=0.02, connection_action="reset"),
    "cut": searcher.Reaction(
        delay_s=0.01,
        raw=b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\nhalf",
        connection_action="reset",
    ),
    "extra": searcher.Reaction(delay_s=0.01, extra=UNSOLICITED_ANSWER),
    "late": searcher.Reaction(
        delay_s=0.01, extra=UNSOLICITED_ANSWER, extra_delay_s=0.004
    ),
    "slow": searcher.Reaction(delay_s=0.3),
}
"""How a searcher responds to each request, by the name of its fault."""
