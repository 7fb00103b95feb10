"""Tests of the graceful shutdown, with stubs for the other controllers."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import (
    blackboard,
    events,
    metrics,
    settings,
    timelines,
)
from azureramp.controllers import shutdown
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import server as web_server
from azureramp_standins import virtual

ADDRESS_EXPIRY_S = 10.0
LIMIT_S = 30.0


class ControllerStub:
    """Replaces the membership, the owner, the records and the server."""

    def __init__(self, work_s: float) -> None:
        self.running_requests = 2
        self.closes_connections = False
        self.steps: list[tuple[str, float]] = []
        self._work_s = work_s

    def record(self, step: str) -> None:
        self.steps.append((step, asyncio.get_running_loop().time()))

    def announce_leaving(self) -> None:
        self.record("leaving")

    async def drain(self, limit_s: float) -> None:
        self.record("drain")

    async def stop(self, limit_s: float) -> int:
        """Waits for running work; aborts it at the limit."""
        self.record("stop")
        await asyncio.sleep(min(self._work_s, limit_s))
        if self._work_s <= limit_s:
            self.running_requests = 0
        return self.running_requests


def run(
    work_s: float, signal_s: float | None
) -> tuple[int, list[tuple[str, float]], list[events.StopChanged], str]:
    async def body() -> int:
        abort = asyncio.Event()
        if signal_s is not None:
            asyncio.get_running_loop().call_later(signal_s, abort.set)
        made = shutdown.make(board, stub, stub, stub, stub)
        return await made.run(abort)

    stub = ControllerStub(work_s)
    made = settings.Settings("vm", "z", "h:1", "p:1", "s:1", "l:1")
    timeline = timelines.Timeline("vm", wall_clock=lambda: 0.0)
    board = blackboard.Blackboard(made, 1, timeline, metrics.Metrics())
    aborted = virtual.run(body())
    stops = [
        record.event
        for record in timeline.get_records()
        if isinstance(record.event, events.StopChanged)
    ]
    return aborted, stub.steps, stops, board.serving.value


def test_vm_is_unadvertised_before_it_refuses_work() -> None:
    aborted, steps, stops, serving = run(work_s=1.0, signal_s=None)

    assert aborted == 0
    assert steps == [
        ("leaving", 0.0),
        ("stop", ADDRESS_EXPIRY_S),
        ("drain", ADDRESS_EXPIRY_S + 1.0),
        ("drain", ADDRESS_EXPIRY_S + 1.0),
    ]
    assert serving == "leaving"
    assert [event.step for event in stops] == [
        "unadvertised",
        "handing_off",
        "draining",
        "stopped",
    ]


@pytest.mark.parametrize(
    ("work_s", "signal_s", "ended_s"),
    [
        pytest.param(60.0, None, LIMIT_S, id="hard limit"),
        pytest.param(60.0, 3.0, 3.0, id="second signal while still advertised"),
        pytest.param(60.0, 12.0, 12.0, id="second signal while draining"),
    ],
)
def test_work_is_aborted_only_by_limit_or_signal_and_recorded(
    work_s: float, signal_s: float | None, ended_s: float
) -> None:
    aborted, steps, stops, _ = run(work_s, signal_s)

    assert aborted == 2
    assert steps[-1] == ("drain", ended_s)
    assert events.StopChanged(step="cut", running=2) in stops
    assert stops[-1].step == "stopped"


def test_closing_server_accepts_connections_and_closes_each() -> None:
    """A caller keeps a connection to a VM that is about to stop.

    If the connection stayed open until the end, the VM could close it just
    when the caller sends its next request, which would be lost.
    """

    async def answer(request: web_api.Request) -> web_api.Response:
        return web_api.Response(status=200)

    async def body() -> list[tuple[int, bool]]:
        server = web_server.Server("127.0.0.1:80", answer)
        await server.start()
        seen = []
        for closing in (False, True, True):
            server.closes_connections = closing
            opened = await web_connection.connect("127.0.0.1:80", 1.0)
            got = await opened.ok.exchange("GET", "/", [])
            seen.append((got.status, opened.ok.is_reusable()))
            opened.ok.abort()
        assert await server.stop(1.0) == 0
        return seen

    assert virtual.run(body()) == [(200, True), (200, False), (200, False)]
