"""The graceful shutdown, step by step, with its neighbours replaced."""

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

STAY_S = 10.0
LIMIT_S = 30.0


class Neighbours:
    """Stands for the membership, the owner, the records and the server."""

    def __init__(self, work_s: float) -> None:
        self.running = 2
        self.closing = False
        self.steps: list[tuple[str, float]] = []
        self._work_s = work_s

    def note(self, step: str) -> None:
        self.steps.append((step, asyncio.get_running_loop().time()))

    def announce_leaving(self) -> None:
        self.note("leaving")

    async def drain(self, limit_s: float) -> None:
        self.note("drain")

    async def stop(self, limit_s: float) -> int:
        """Ends what runs, or cuts it at the limit."""
        self.note("stop")
        await asyncio.sleep(min(self._work_s, limit_s))
        if self._work_s <= limit_s:
            self.running = 0
        return self.running


def run(
    work_s: float, signal_s: float | None
) -> tuple[int, list[tuple[str, float]], list[events.StopChanged], str]:
    async def body() -> int:
        cutting = asyncio.Event()
        if signal_s is not None:
            asyncio.get_running_loop().call_later(signal_s, cutting.set)
        made = shutdown.make(board, stub, stub, stub, stub)
        return await made.run(cutting)

    stub = Neighbours(work_s)
    made = settings.Settings("vm", "z", "h:1", "p:1", "s:1", "l:1")
    timeline = timelines.Timeline("vm", wall=lambda: 0.0)
    board = blackboard.Blackboard(made, 1, timeline, metrics.Metrics())
    cut = virtual.run(body())
    stops = [
        record.event
        for record in timeline.get_records()
        if isinstance(record.event, events.StopChanged)
    ]
    return cut, stub.steps, stops, board.serving.value


def test_a_vm_is_unadvertised_long_before_it_refuses_work() -> None:
    cut, steps, stops, serving = run(work_s=1.0, signal_s=None)

    assert cut == 0
    assert steps == [
        ("leaving", 0.0),
        ("stop", STAY_S),
        ("drain", STAY_S + 1.0),
        ("drain", STAY_S + 1.0),
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
        pytest.param(60.0, 3.0, 3.0, id="second signal while it stays"),
        pytest.param(60.0, 12.0, 12.0, id="second signal while it drains"),
    ],
)
def test_work_is_cut_only_by_limit_or_signal_and_it_is_said(
    work_s: float, signal_s: float | None, ended_s: float
) -> None:
    cut, steps, stops, _ = run(work_s, signal_s)

    assert cut == 2
    assert steps[-1] == ("drain", ended_s)
    assert events.StopChanged(step="cut", running=2) in stops
    assert stops[-1].step == "stopped"


def test_a_closing_server_takes_connections_and_closes_each_in_turn() -> None:
    """A caller keeps its connection to a VM that is about to go.

    Were it left open until the end, the VM could close it in the very
    moment in which the caller sends its next request, which is then lost.
    """

    async def answer(request: web_api.Request) -> web_api.Response:
        return web_api.Response(status=200)

    async def body() -> list[tuple[int, bool]]:
        server = web_server.Server("127.0.0.1:80", answer)
        await server.start()
        seen = []
        for closing in (False, True, True):
            server.closing = closing
            opened = await web_connection.connect("127.0.0.1:80", 1.0)
            got = await opened.ok.exchange("GET", "/", [])
            seen.append((got.status, opened.ok.is_reusable()))
            opened.ok.abort()
        assert await server.stop(1.0) == 0
        return seen

    assert virtual.run(body()) == [(200, True), (200, False), (200, False)]
