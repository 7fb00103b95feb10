"""The configuration controller and the operators' interface."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import async_solipsism
import msgspec

from azureramp import blackboard, events, messages, metrics, resources, settings
from azureramp.controllers import configuration, outbox, resource_api, serving
from azureramp.ports.peers import memory
from azureramp.ports.web import api as web_api
from tests.controllers import store_fake

TOKEN = "operator"
SETTINGS = settings.Settings(
    vm="vm-1",
    zone="a",
    http_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    store_address="127.0.0.1:3",
    vmlist_address="127.0.0.1:4",
    operator_token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
)


class Process:
    """One VM's configuration, without peers."""

    def __init__(self, store: store_fake.Store) -> None:
        timeline = events.Timeline("vm-1")
        self.board = blackboard.Blackboard(
            SETTINGS, 1, timeline, metrics.Metrics()
        )
        port = memory.MemoryPeers(
            memory.Network(), "vm-1", "127.0.0.1:2", 1, timeline
        )
        self.serving = serving.make(self.board)
        self.configuration = configuration.make(
            self.board, outbox.Outbox(self.board, port), store
        )
        self.configuration.on_change = self.serving.update
        self.api = resource_api.make(self.board, self.configuration)

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        token: str = TOKEN,
        **query: str,
    ) -> web_api.Response:
        return await self.api.handle(
            web_api.Request(
                method,
                path,
                query,
                {"authorization": f"Bearer {token}"},
                body,
            )
        )


def run(story: Callable[[], Awaitable[None]]) -> None:
    """Runs a test under virtual time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:

        async def whole() -> None:
            await story()

        runner.run(whole())


ZONE = msgspec.json.encode(resources.Zone(name="b"))


def test_a_change_is_stored_watched_and_listed() -> None:
    async def story() -> None:
        process = Process(store_fake.Store())
        task = asyncio.create_task(process.configuration.run())
        response = await process.ask(
            "PUT", "/v1/resources/availability_zone/b", ZONE, expected="0"
        )
        assert response.status == 200
        listed = msgspec.json.decode(
            (await process.ask("GET", "/v1/resources/availability_zone")).body,
            type=resource_api.ListAnswer,
        )
        assert [entry.name for entry in listed.entries] == ["b"]
        assert process.board.serving is blackboard.Serving.READY
        task.cancel()

    run(story)


def test_the_second_of_two_operators_gets_the_present_state() -> None:
    async def story() -> None:
        process = Process(store_fake.Store())
        path = "/v1/resources/availability_zone/b"
        await process.ask("PUT", path, ZONE, expected="0")
        response = await process.ask("PUT", path, ZONE, expected="0")
        answer = msgspec.json.decode(response.body, type=messages.ErrorAnswer)
        assert response.status == 409
        assert answer.code == "conflict"
        assert answer.present is not None
        assert answer.present.revision == 1

    run(story)


def test_nothing_is_told_without_the_operators_token() -> None:
    async def story() -> None:
        process = Process(store_fake.Store())
        response = await process.ask("GET", "/v1/status", token="x")
        assert response.status == 401

    run(story)
