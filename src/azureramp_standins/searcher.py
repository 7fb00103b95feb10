"""A test double of a searcher process, with documents and injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import signal
from typing import Any

import click
import msgspec

from azureramp.ports.searchers import api as searchers_api
from azureramp.ports.searchers import http as searchers_http
from azureramp.ports.web import api as web_api
from azureramp.ports.web import server as web_server

DEFAULT_DATA = pathlib.Path(__file__).with_name("burial_fund.json")
CRASH_STATUS = 70
MAX_STOP_S = 10.0


class Faults(msgspec.Struct):
    """The injected faults; the body of `POST /v1/faults`, which replaces them.

    Attributes:
        delay_ms: Delay added to each call, in milliseconds.
        shed: Probability that a call is refused with 503.
        fail: Probability that a call fails with 500.
        crash: Text in a call's query that crashes the process; empty for none.
        hang: How many of the next calls are never answered.
        crossed: How many of the next replies have another call's id.
        truncated: How many of the next replies are truncated.
    """

    delay_ms: float = 0.0
    shed: float = 0.0
    fail: float = 0.0
    crash: str = ""
    hang: int = 0
    crossed: int = 0
    truncated: int = 0


class Effect(msgspec.Struct, frozen=True):
    """A call with effects that the searcher ran.

    Attributes:
        call_id: The call's id.
        query: The call's query.
    """

    call_id: str
    query: msgspec.Raw


class Searcher:
    """A searcher's data, slots and faults.

    Attributes:
        faults: The injected faults.
        effects: The calls with effects that the searcher ran.
        running: The number of calls that are queued or in a slot.
    """

    __slots__ = (
        "_documents",
        "_incarnation",
        "_random",
        "_served",
        "_service_ms",
        "_slots",
        "_versions",
        "_warm_after",
        "effects",
        "faults",
        "running",
    )

    def __init__(
        self,
        documents: list[dict[str, Any]],
        incarnation: int,
        versions: tuple[str, ...],
        slots: int,
        service_ms: float,
        warm_after: int,
    ) -> None:
        """Makes a searcher without faults.

        Args:
            documents: The documents to search.
            incarnation: The incarnation in the health report; also the seed of
                the random draws for faults.
            versions: The `index.version` pairs that it serves.
            slots: The number of calls that run at the same time.
            service_ms: The duration of a call on a warm searcher, in
                milliseconds.
            warm_after: The number of calls until the searcher is warm.
        """
        self.faults = Faults()
        self.effects: list[Effect] = []
        self.running = 0
        self._documents = documents
        self._incarnation = incarnation
        self._versions = versions
        self._slots = asyncio.Semaphore(slots)
        self._service_ms = service_ms
        self._warm_after = warm_after
        self._served = 0
        self._random = random.Random(incarnation)

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers an HTTP request."""
        match (request.method, request.path):
            case ("POST", "/v1/search"):
                return await self._search(request)
            case ("GET", "/v1/health"):
                return _make_response(self._make_health())
            case ("GET", "/v1/effects"):
                return _make_response(self.effects)
            case ("POST", "/v1/faults"):
                return self._set_faults(request)
            case _:
                return web_api.Response(status=404)

    def _make_health(self) -> searchers_api.Health:
        """Makes the searcher's health report."""
        return searchers_api.Health(
            self._incarnation,
            self._served < self._warm_after,
            self.running,
            self._versions,
        )

    def _set_faults(self, request: web_api.Request) -> web_api.Response:
        """Replaces the injected faults."""
        try:
            self.faults = msgspec.json.decode(request.body, type=Faults)
        except msgspec.DecodeError as error:
            return web_api.Response(status=400, body=str(error).encode())
        return _make_response(self.faults)

    async def _search(self, request: web_api.Request) -> web_api.Response:
        """Runs a call in a slot and within its deadline."""
        try:
            body = msgspec.json.decode(
                request.body, type=searchers_http.SearchBody
            )
        except msgspec.DecodeError as error:
            return web_api.Response(status=400, body=str(error).encode())
        if f"{body.index}.{body.version}" not in self._versions:
            return web_api.Response(status=410)
        if self._random.random() < self.faults.shed:
            return web_api.Response(status=503, headers=(("Retry-After", "1"),))
        header = request.headers.get("azureramp-deadline-ms", "60000")
        deadline_ms = int(header) if header.isdecimal() else 60000
        self.running += 1
        try:
            async with asyncio.timeout(deadline_ms / 1000), self._slots:
                return await self._run(body)
        except TimeoutError:
            return web_api.Response(status=504)
        finally:
            self.running -= 1

    async def _run(self, body: searchers_http.SearchBody) -> web_api.Response:
        """Runs a call that has a slot."""
        faults = self.faults
        if faults.hang:
            faults.hang -= 1
            await asyncio.get_running_loop().create_future()
        factor = 5.0 if self._served < self._warm_after else 1.0
        await asyncio.sleep(
            (self._service_ms * factor + faults.delay_ms) / 1000
        )
        if faults.crash and faults.crash in bytes(body.query).decode():
            os._exit(CRASH_STATUS)
        self._served += 1
        if self._random.random() < faults.fail:
            return web_api.Response(status=500)
        items = self._execute(body) if not body.repeatable else self._find(body)
        return self._make_reply(body, items)

    def _execute(self, body: searchers_http.SearchBody) -> list[Any]:
        """Applies a call with effects."""
        self.effects.append(Effect(body.call_id, body.query))
        return [{"applied": True, "effects": len(self.effects)}]

    def _find(self, body: searchers_http.SearchBody) -> list[Any]:
        """Finds the documents of a key range that contain the query's text."""
        query = msgspec.json.decode(body.query)
        text = query.get("text", "") if isinstance(query, dict) else ""
        wanted = str(text).casefold()
        return [
            document
            for document in self._documents
            if body.low <= document["key"] < body.high
            and document.get("since_version", 0) <= body.version
            and wanted in " ".join(map(str, document.values())).casefold()
        ]

    def _make_reply(
        self, body: searchers_http.SearchBody, items: list[Any]
    ) -> web_api.Response:
        """Makes a reply, subject to the injected faults."""
        call_id = body.call_id
        if self.faults.crossed:
            self.faults.crossed -= 1
            call_id = "another"
        response = _make_response(
            searchers_api.Reply(
                call_id,
                body.version,
                body.low,
                body.high,
                msgspec.Raw(msgspec.json.encode(items)),
            )
        )
        if self.faults.truncated:
            self.faults.truncated -= 1
            half = response.body[: len(response.body) // 2]
            return web_api.Response(
                status=200, body=half, closes_connection=True
            )
        return response


def _make_response(value: Any) -> web_api.Response:
    """Makes a response with a JSON body."""
    return web_api.Response(status=200, body=msgspec.json.encode(value))


def read_documents(path: pathlib.Path) -> list[dict[str, Any]]:
    """Reads a JSON file of documents, each with an integer `key`."""
    return msgspec.json.decode(path.read_bytes(), type=list[dict[str, Any]])


async def serve(searcher: Searcher, address: str) -> None:
    """Serves until SIGTERM or SIGINT, then stops gracefully."""
    server = web_server.Server(address, searcher.handle)
    await server.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        with contextlib.suppress(NotImplementedError):
            loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.stop(MAX_STOP_S)


@click.command()
@click.option("--address", required=True, help="IP:port to listen on.")
@click.option("--name", required=True, help="The searcher's name.")
@click.option("--incarnation", type=int, default=1, show_default=True)
@click.option(
    "--data",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    default=DEFAULT_DATA,
    help="JSON file of documents with integer keys.",
)
@click.option(
    "--version",
    "versions",
    multiple=True,
    default=("arrears.1",),
    show_default=True,
    help="An `index.version` to serve; may be repeated.",
)
@click.option("--slots", type=int, default=2, show_default=True)
@click.option("--service-ms", type=float, default=5.0, show_default=True)
@click.option(
    "--warm-after", type=int, default=0, help="Calls until it is warm."
)
@click.option(
    "--faults", "faults_json", default="{}", help="Initial faults, as JSON."
)
def main(
    address: str,
    name: str,
    incarnation: int,
    data: pathlib.Path,
    versions: tuple[str, ...],
    slots: int,
    service_ms: float,
    warm_after: int,
    faults_json: str,
) -> None:
    """Serves documents like a searcher of a backend server."""

    async def run() -> None:
        searcher = Searcher(
            read_documents(data),
            incarnation,
            versions,
            slots,
            service_ms,
            warm_after,
        )
        searcher.faults = msgspec.json.decode(faults_json, type=Faults)
        await serve(searcher, address)

    asyncio.run(run())


if __name__ == "__main__":
    main()
