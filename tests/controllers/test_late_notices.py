"""Tests of an owner's notices of long-running calls."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import messages
from azureramp.controllers import late_notices
from tests.controllers import query_cell


@pytest.mark.parametrize(
    ("case_name", "took_s", "notified"),
    [
        ("an ordinary call", 0.010, False),
        ("a straggler", 0.100, True),
    ],
)
def test_notice_is_sent_only_for_long_running_call(
    case_name: str, took_s: float, notified: bool
) -> None:
    async def main() -> list[messages.PeerMessage]:
        cell = query_cell.Cell()
        sent: list[messages.PeerMessage] = []
        cell.outbox.on_local_message = lambda sender, message: sent.append(
            message
        )
        notices = late_notices.LateNotices(cell.outbox)
        for number in range(100):
            watch = notices.begin("s0-0", "vm-0", ("warm", number))
            await asyncio.sleep(0.010)
            notices.end(watch)
        watch = notices.begin("s0-0", "vm-0", ("request", 7))
        await asyncio.sleep(took_s)
        notices.end(watch)
        await asyncio.sleep(1.0)
        return sent

    sent = query_cell.run(main())

    late = messages.PartsLate(request_id="request", parts=(7,))
    assert sent == ([late] if notified else []), case_name


def test_no_notice_is_sent_without_measurements() -> None:
    async def main() -> list[messages.PeerMessage]:
        cell = query_cell.Cell()
        sent: list[messages.PeerMessage] = []
        cell.outbox.on_local_message = lambda sender, message: sent.append(
            message
        )
        notices = late_notices.LateNotices(cell.outbox)
        watch = notices.begin("s0-0", "vm-0", ("request", 7))
        await asyncio.sleep(10.0)
        notices.end(watch)
        return sent

    assert query_cell.run(main()) == []
