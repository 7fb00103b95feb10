"""The daemon on the users' platform: its ports, its signals, its end."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time

import logbook
import msgspec

from azureramp import catalog, logs, sending
from azureramp.controllers.forwarding import (
    applying,
    change_log,
    contact,
    crashes,
    entry,
    feed,
    leaving,
    members,
    relay,
    rollout_claims,
    rollout_driver,
    rollout_grants,
    rollout_reports,
    rollout_situations,
    rollout_writer,
    rollouts,
    roster,
    searchers,
)
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.platform import answers, decoding, headers, settings, store
from azureramp.policy import relaying
from azureramp.ports.relays import http as relays_http
from azureramp.ports.rollouts import api as rollouts_api
from azureramp.ports.rollouts import http as rollouts_http
from azureramp.ports.store import counting
from azureramp.ports.web import api as web_api
from azureramp.ports.web import request_reader
from azureramp.ports.web import server as web_server

EXIT_GRACEFUL = 0
EXIT_CUT = 1

SETTINGS_S = 2.0
"""Time between two looks at whether the settings file has changed without a
signal, in seconds."""

OTHER_DESCRIPTORS = 400
"""Descriptors kept for files, searchers, the store and peers."""

LOOKUP_S = 0.5
"""Longest time that the answer to a caller's look-up may take at the end, in
seconds."""

RESTART_S = 1.0
"""Pause before a loop that failed runs again, in seconds."""

_logger = logbook.Logger("azureramp.program")


class Program:
    """One process, joined.

    Attributes:
        board: The state of the process.
        rollouts: The roll-outs that it knows.
    """

    __slots__ = (
        "_answers",
        "_applying",
        "_claims",
        "_crashes",
        "_driver",
        "_drivers",
        "_feed",
        "_front",
        "_grants",
        "_limits",
        "_members",
        "_relay",
        "_relays",
        "_reports",
        "_roster",
        "_searchers",
        "_servers",
        "_settings",
        "_store",
        "_tasks",
        "board",
        "rollouts",
    )

    def __init__(
        self,
        given: settings.Settings,
        lines: logs.LineWriter | None = None,
        seed: int | None = None,
        clock: rollout_situations.Clock = time.time,
    ) -> None:
        """Joins the parts of a process; see `run`.

        Args:
            given: The settings.
            lines: Writes the logs; None if they go elsewhere.
            seed: Makes its draws repeat; None for another at each start.
            clock: Returns the time of day.
        """
        loop = asyncio.get_running_loop()
        start = time.time_ns() if seed is None else seed
        rng = random.Random(f"{given.identity.vm}/{start}")
        counters = sending.make_metrics(given.own.statsd_address)
        board = board_module.Board(
            given.identity, given.bounds, counters, loop.time()
        )
        contacts = contact.Contacts(board)
        log = change_log.ChangeLog()
        self._drivers = rollouts_http.HttpDrivers()
        process = rollout_driver.make_process_name(given.identity.vm, start)
        self.rollouts = rollouts.Rollouts(board)
        self._reports = rollout_reports.Reports(
            board, self.rollouts, self._drivers, process
        )
        known = searchers.Searchers(
            board, headers.Codec(), rng, log, self.rollouts
        )
        self._settings = given
        self.board = board
        self._store = counting.CountingBatchStore(
            store.PlatformStore(given.store_address), counters
        )
        copy = relaying.Copy()
        self._roster = roster.Roster(
            board,
            self._store,
            copy,
            decoding.make_member_key,
            msgspec.json.encode,
            contacts,
        )
        self._members = members.Members(
            board,
            self._store,
            copy,
            self._roster,
            decoding.make_member_key,
            msgspec.json.encode,
            contacts,
            rng,
            log,
        )
        self._roster.on_first = self._members.wake
        self._crashes = crashes.Crashes(
            board, self._store, decoding.encode_blame
        )
        self._searchers = known
        self._applying = applying.Applying(
            board,
            decoding.decode,
            known,
            self._crashes,
            self._members,
            contacts,
            log,
            self.rollouts,
        )
        self._applying.on_configuration = self._follow_configuration
        self._relay = relay.Relay(board, copy, self._roster, contacts)
        situations = rollout_situations.Situations(board, self.rollouts, clock)
        self._grants = rollout_grants.Grants(board, situations)
        writer = rollout_writer.Writer(
            self._store,
            copy,
            decoding.make_rollout_keys,
            decoding.encode_rollout,
            contacts,
        )
        self._driver = rollout_driver.Driver(
            board,
            self.rollouts,
            self._reports,
            self._grants,
            situations,
            writer,
        )
        self._claims = rollout_claims.Claims(
            board,
            self.rollouts,
            self._reports,
            situations,
            writer,
            self._grants.drives,
            self._driver.adopt,
        )
        self._relays = relays_http.HttpRelays()
        self._feed = feed.Feed(
            board,
            self._store,
            self._relays,
            given.seeds,
            self._relay,
            contacts,
            self._applying.apply,
            rng,
        )
        self._feed.on_relay = self._members.wake
        self._answers = answers.Answers(
            board, entry.Entry(board, known, self._crashes), lines
        )
        self._limits = web_api.Limits(
            connections=max(100, given.descriptors - OTHER_DESCRIPTORS)
        )
        self._front = web_server.Server(
            given.front_address,
            self._answers.handle_request,
            self._limits,
            request_reader.keep_request,
        )
        self._servers = self._make_servers(given)
        self._tasks: list[asyncio.Task[None]] = []

    def _make_servers(
        self, given: settings.Settings
    ) -> tuple[web_server.Server, ...]:
        """Makes the servers of what the process serves."""
        servers: list[web_server.Server] = []
        if given.front_address:
            servers.append(self._front)
        host, _, _ = (given.front_address or given.directory_address).partition(
            ":"
        )
        metrics_port = given.own.metrics_port
        for address, handler in (
            (given.ready_address, self._answers.handle_readiness),
            (given.directory_address, self._answers.handle_resolve),
            (given.identity.peer_address, self._handle_peer),
            (
                f"{host}:{metrics_port}" if metrics_port else "",
                self._answers.handle_metrics,
            ),
        ):
            if address:
                servers.append(web_server.Server(address, handler))
        return tuple(servers)

    async def _handle_peer(self, request: web_api.Request) -> web_api.Response:
        """Answers another VM."""
        if request.path == rollouts_api.REPORTS_PATH:
            return await self._grants.handle(request)
        return await self._relay.handle(request)

    async def run(self) -> int:
        """Serves until SIGTERM; returns the exit code."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await stopping.wait()
        cut = await self.stop()
        return EXIT_CUT if cut else EXIT_GRACEFUL

    async def start(self) -> None:
        """Begins to listen and to follow the store.

        Raises:
            OSError: An address can't be listened on.
        """
        for server in self._servers:
            await server.start()
        loops: dict[str, feed.Run] = {
            "feed": self._feed.run,
            "applying": self._applying.run,
            "changes": self._applying.run_log,
            "settings": self._watch_settings,
        }
        if self.board.identity.serves_callers:
            loops |= {
                "members": self._members.run,
                "overload": self._members.run_overload,
                "roster": self._roster.run,
                "crashes": self._crashes.run,
                "shares": self._searchers.bounds.run,
                "rollouts": self._claims.run,
            }
        for name, run in loops.items():
            self._tasks.append(asyncio.create_task(_keep_running(name, run)))
        addresses = [server.address for server in self._servers]
        _logger.info("started on {}", ", ".join(addresses))

    async def stop(self) -> int:
        """Ends gracefully; returns how many requests were cut."""
        cut = 0
        if self.board.identity.serves_callers:
            cut = await leaving.leave(self.board, self._members, self._front)
        else:
            for server in self._servers:
                cut += await server.stop(LOOKUP_S)
        await self.kill()
        _logger.info("stopped; {} requests cut", cut)
        return cut

    def list_servers(self) -> tuple[web_server.Server, ...]:
        """Lists the servers of what the process serves."""
        return self._servers

    def count_bad_answers(self, service: str) -> int:
        """Counts the bad answers of a version that this process judges."""
        drive = self._grants.drives.get(service)
        return 0 if drive is None else round(drive.evidence.count_new().bad)

    async def kill(self) -> None:
        """Ends at once."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for server in self._servers:
            await server.stop(0.0)
        self._driver.close()
        self._reports.close()
        self._searchers.close()
        await self._drivers.close()
        await self._relays.close()
        await self._store.close()

    def _follow_configuration(self, new: catalog.Configuration) -> None:
        """Puts what callers may send into force."""
        headers.to_web_limits(new.limits, self._limits)
        if not self.board.lease:
            self._members.wake()

    async def _watch_settings(self) -> None:
        """Takes the settings anew when the file changes, forever."""
        path = settings.get_path()
        known = settings.read_change_time(path)
        while True:
            await asyncio.sleep(SETTINGS_S)
            changed = settings.read_change_time(path)
            if changed != known:
                known = changed
                self._reload()

    def _reload(self) -> None:
        """Takes the bounds of a changed settings file."""
        result = settings.read(settings.get_path(), os.environ)
        if result.is_error():
            _logger.error("kept the settings: {}", result.error)
            return
        self.board.bounds = result.ok.bounds
        _logger.info("took the settings anew")


async def _keep_running(name: str, run: feed.Run) -> None:
    """Runs a loop; after a bug in it, logs and runs it again."""
    while True:
        try:
            await run()
            return
        except Exception:
            _logger.exception("the {} loop failed", name)
        await asyncio.sleep(RESTART_S)
