"""The daemon on the users' platform: wiring, signals and shutdown."""

from __future__ import annotations

import asyncio
import functools
import os
import random
import signal
import time

import logbook
import msgspec

from azureramp import catalog, logs, statsd_metrics
from azureramp.controllers.forwarding import (
    account_limits,
    admission,
    change_log,
    crashes,
    entry_applier,
    feed,
    leaving,
    members,
    relay,
    request_handler,
    rollout_claims,
    rollout_driver,
    rollout_grants,
    rollout_reports,
    rollout_states,
    rollout_writer,
    rollouts,
    roster,
    searchers,
    slow_searchers,
    slowness_exchange,
    store_contact,
)
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.platform import answers, decoding, headers, settings, store
from azureramp.policy import store_copy as store_copy_module
from azureramp.ports.relays import http as relays_http
from azureramp.ports.rollouts import api as rollouts_api
from azureramp.ports.rollouts import http as rollouts_http
from azureramp.ports.store import counting
from azureramp.ports.vms import account_messages, slowness
from azureramp.ports.vms import http as vms_http
from azureramp.ports.web import api as web_api
from azureramp.ports.web import request_reader, resources
from azureramp.ports.web import server as web_server

EXIT_GRACEFUL = 0
EXIT_ABORTED = 1

SETTINGS_CHECK_INTERVAL_S = 2.0
"""Interval at which the settings file is checked for changes made without a
SIGHUP, in seconds."""

RESERVED_DESCRIPTORS = 400
"""File descriptors reserved for files and for connections to searchers, the
store and peers; the rest may be used for connections that others open."""

CALLERS_SHARE = 0.7
PEERS_SHARE = 0.2
OTHERS_SHARE = 0.05
"""Shares of the connections that the servers for callers and lookups, for other
VMs, and for readiness and metrics have."""

MAX_VMS = 64
"""Maximum number of VMs with open connections for calls about client accounts
and slow searchers."""

LOOKUP_DRAIN_S = 0.5
"""How long a shutdown waits for running address lookups, in seconds."""

RESTART_DELAY_S = 1.0
"""Delay before a failed background loop is restarted, in seconds."""

_logger = logbook.Logger("azureramp.program")


class Program:
    """Wires the components of one process and runs them.

    Attributes:
        account_limits: The client accounts' limits.
        board: The state of the process.
        rollouts: The roll-outs known to this process.
        slowness_exchange: Exchanges reports on slow searchers with other VMs.
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
        "_shared",
        "_store",
        "_tasks",
        "_vms",
        "account_limits",
        "board",
        "rollouts",
        "slowness_exchange",
    )

    def __init__(
        self,
        process_settings: settings.Settings,
        log_writer: logs.LineWriter | None = None,
        seed: int | None = None,
        clock: rollout_states.Clock = time.time,
    ) -> None:
        """Wires the components; nothing runs until `run` or `start`.

        Args:
            process_settings: The settings.
            log_writer: The log writer, whose dropped lines are counted in the
                metrics; None if the logs are written elsewhere.
            seed: Seeds the random generator, for repeatable tests; None to
                seed it from the time of day.
            clock: Returns the time of day, in seconds since 1970.
        """
        loop = asyncio.get_running_loop()
        start = time.time_ns() if seed is None else seed
        rng = random.Random(f"{process_settings.identity.vm}/{start}")
        counters = statsd_metrics.make_metrics(
            process_settings.environment.statsd_address
        )
        board = board_module.Board(
            process_settings.identity,
            process_settings.bounds,
            counters,
            loop.time(),
        )
        contacts = store_contact.StoreContactTracker(board)
        log = change_log.ChangeLog()
        self._drivers = rollouts_http.HttpDriverClient()
        process = rollout_driver.make_process_name(
            process_settings.identity.vm, start
        )
        self.rollouts = rollouts.Rollouts(board)
        self._reports = rollout_reports.Reporter(
            board, self.rollouts, self._drivers, process
        )
        searcher_registry = searchers.Searchers(
            board, headers.Codec(), rng, log, self.rollouts
        )
        self._vms = vms_http.HttpVmClient(MAX_VMS)
        self.slowness_exchange = slowness_exchange.SlownessExchange(
            board, self._vms, searcher_registry.load_reports
        )
        self._settings = process_settings
        self.board = board
        self._store = counting.CountingPlatformStore(
            store.PlatformStore(process_settings.store_address), counters
        )
        store_copy = store_copy_module.StoreCopy()
        self._roster = roster.Roster(
            board,
            self._store,
            store_copy,
            decoding.make_member_key,
            msgspec.json.encode,
            contacts,
        )
        self._members = members.MemberTracker(
            board,
            self._store,
            store_copy,
            self._roster,
            decoding.make_member_key,
            msgspec.json.encode,
            contacts,
            rng,
            log,
        )
        self._roster.on_lease_needed = self._members.check_lease
        self._crashes = crashes.CrashTracker(
            board, self._store, decoding.encode_crash_report
        )
        self._searchers = searcher_registry
        self._applying = entry_applier.EntryApplier(
            board,
            decoding.decode,
            searcher_registry,
            self._crashes,
            self._members,
            contacts,
            log,
            self.rollouts,
        )
        self._applying.on_configuration = self._follow_configuration
        self._relay = relay.Relay(board, store_copy, self._roster, contacts)
        situations = rollout_states.RolloutStateBuilder(
            board, self.rollouts, clock
        )
        self._grants = rollout_grants.GrantHandler(board, situations)
        writer = rollout_writer.RecordWriter(
            self._store,
            store_copy,
            decoding.make_rollout_keys,
            decoding.encode_rollout,
            contacts,
        )
        self._driver = rollout_driver.RolloutDriver(
            board,
            self.rollouts,
            self._reports,
            self._grants,
            situations,
            writer,
        )
        self._claims = rollout_claims.RolloutClaims(
            board,
            self.rollouts,
            self._reports,
            situations,
            writer,
            self._grants.driven_rollouts,
            self._driver.start_driving,
        )
        self._relays = relays_http.HttpRelayClient()
        self._feed = feed.StoreFeed(
            board,
            self._store,
            self._relays,
            process_settings.seeds,
            self._relay,
            contacts,
            self._applying.apply,
            rng,
        )
        self._feed.on_became_relay = self._members.check_lease
        self.account_limits = account_limits.AccountLimits(
            board, self._vms, process
        )
        environment = process_settings.environment
        self._shared = resources.make(
            process_settings.memory_mb,
            environment.max_connections
            or process_settings.descriptors - RESERVED_DESCRIPTORS,
            environment.requests_memory_mb,
        )
        self._answers = answers.Answers(
            board,
            request_handler.RequestHandler(
                board,
                searcher_registry,
                self._crashes,
                self.account_limits,
                admission.Admission(
                    board,
                    searcher_registry,
                    random.Random(f"turns/{start}"),
                    environment.admission,
                ),
            ),
            log_writer,
            self._shared,
        )
        self._limits = web_api.Limits()
        self._front = web_server.Server(
            process_settings.front_address,
            self._answers.handle_request,
            self._limits,
            request_reader.make_raw_request,
            self._shared,
            CALLERS_SHARE,
        )
        self._servers = self._make_servers(process_settings)
        self._tasks: list[asyncio.Task[None]] = []

    def _make_servers(
        self, process_settings: settings.Settings
    ) -> tuple[web_server.Server, ...]:
        """Creates a server for each address that the process listens on."""
        servers: list[web_server.Server] = []
        if process_settings.front_address:
            servers.append(self._front)
        host, _, _ = (
            process_settings.front_address or process_settings.directory_address
        ).partition(":")
        metrics_port = process_settings.environment.metrics_port
        for address, handler, share in (
            (
                process_settings.ready_address,
                self._answers.handle_readiness,
                OTHERS_SHARE,
            ),
            (
                process_settings.directory_address,
                self._answers.handle_resolve,
                CALLERS_SHARE,
            ),
            (
                process_settings.identity.peer_address,
                self._handle_peer,
                PEERS_SHARE,
            ),
            (
                f"{host}:{metrics_port}" if metrics_port else "",
                self._answers.handle_metrics,
                OTHERS_SHARE,
            ),
        ):
            if address:
                servers.append(
                    web_server.Server(
                        address,
                        functools.partial(answers.answer, handler),
                        shared=self._shared,
                        connection_share=share,
                    )
                )
        return tuple(servers)

    async def _handle_peer(self, request: web_api.Request) -> web_api.Response:
        """Handles a request from another VM."""
        if request.path == rollouts_api.REPORTS_PATH:
            return await self._grants.handle(request)
        if request.path == slowness.PATH:
            return await self.slowness_exchange.handle(request)
        if request.path in account_messages.PATHS:
            return await self.account_limits.handle(request)
        return await self._relay.handle(request)

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT; returns the exit code."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await stopping.wait()
        aborted = await self.stop()
        return EXIT_ABORTED if aborted else EXIT_GRACEFUL

    async def start(self) -> None:
        """Starts the servers and the background loops.

        Raises:
            OSError: The process can't listen on one of its addresses.
        """
        for server in self._servers:
            await server.start()
        loops: dict[str, feed.Run] = {
            "feed": self._feed.run,
            "applying": self._applying.run_expiry_cleanup,
            "changes": self._applying.run_change_log,
            "settings": self._watch_settings,
        }
        if self.board.identity.serves_callers:
            loops |= {
                "members": self._members.run,
                "overload": self._members.run_load_check,
                "roster": self._roster.run,
                "crashes": self._crashes.run,
                "shares": self._searchers.limits.run,
                "slowness": self.slowness_exchange.run,
                "slow searchers": lambda: slow_searchers.run(self.board),
                "rollouts": self._claims.run,
                "accounts": self.account_limits.run,
            }
        for name, run in loops.items():
            self._tasks.append(asyncio.create_task(_keep_running(name, run)))
        addresses = [server.address for server in self._servers]
        _logger.info("started on {}", ", ".join(addresses))

    async def stop(self) -> int:
        """Shuts down gracefully; returns the number of aborted requests."""
        aborted = 0
        if self.board.identity.serves_callers:
            aborted = await leaving.leave(
                self.board, self._members, self._front
            )
        else:
            for server in self._servers:
                aborted += await server.stop(LOOKUP_DRAIN_S)
        await self.abort()
        _logger.info("stopped; {} requests aborted", aborted)
        return aborted

    def get_servers(self) -> tuple[web_server.Server, ...]:
        """Returns the servers that the process listens with."""
        return self._servers

    def count_bad_answers(self, service: str) -> int:
        """Counts the bad answers of the new version in a service's roll-out.

        Args:
            service: The name of the service.

        Returns:
            The count; 0 if this process doesn't drive a roll-out of it.
        """
        drive = self._grants.driven_rollouts.get(service)
        return 0 if drive is None else round(drive.evidence.sum_new().bad)

    async def abort(self) -> None:
        """Stops immediately, without waiting for running requests."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for server in self._servers:
            await server.stop(0.0)
        self._driver.close()
        self._reports.close()
        self._searchers.close()
        self.slowness_exchange.close()
        self.account_limits.close()
        await self._vms.close()
        await self._drivers.close()
        await self._relays.close()
        await self._store.close()

    def _follow_configuration(self, new: catalog.Configuration) -> None:
        """Applies a new configuration's limits on callers' requests.

        Also triggers the announcement of this VM if it has no lease yet.
        """
        headers.apply_limits(new.limits, self._limits)
        if not self.board.lease:
            self._members.check_lease()

    async def _watch_settings(self) -> None:
        """Reloads the settings whenever the file changes, until cancelled."""
        path = settings.get_path()
        last_change = settings.read_change_time(path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            changed = settings.read_change_time(path)
            if changed != last_change:
                last_change = changed
                self._reload()

    def _reload(self) -> None:
        """Applies the bounds of a changed settings file."""
        result = settings.read(settings.get_path(), os.environ)
        if result.is_error():
            _logger.error(
                "settings not reloaded; the previous ones stay in use: {}",
                result.error,
            )
            return
        self.board.bounds = result.ok.bounds
        _logger.info("settings reloaded")


async def _keep_running(name: str, run: feed.Run) -> None:
    """Runs a background loop; logs an unexpected error and restarts it."""
    while True:
        try:
            await run()
            return
        except Exception:
            _logger.exception("the {} loop failed; restarting it", name)
        await asyncio.sleep(RESTART_DELAY_S)
