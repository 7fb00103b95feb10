"""The daemon's process: port implementations, signals and exit code."""

from __future__ import annotations

import asyncio
import signal
import time

import logbook

from azureramp import settings, statsd_metrics, timelines
from azureramp.daemon import wiring
from azureramp.ports.peers import nng
from azureramp.ports.searchers import http as searchers_http
from azureramp.ports.store import counting as store_counting
from azureramp.ports.store import http as store_http
from azureramp.ports.vmlist import http as vmlist_http
from azureramp.ports.web import resources
from azureramp.ports.web import server as web_server

EXIT_GRACEFUL = 0
EXIT_FAILURE = 1

_logger = logbook.Logger("azureramp.process")


async def run(daemon_settings: settings.Settings) -> int:
    """Runs a daemon until a signal stops it.

    Args:
        daemon_settings: The validated settings.

    Returns:
        The exit code of the process.
    """
    counters = statsd_metrics.make_metrics(daemon_settings.statsd_address)
    timeline = timelines.Timeline(daemon_settings.vm)
    incarnation = time.time_ns() // 1000
    ports = wiring.Ports(
        store=store_counting.CountingStore(
            store_http.HttpStore(daemon_settings.store_address), counters
        ),
        vmlist=vmlist_http.HttpVmList(daemon_settings.vmlist_address),
        peers=nng.make(
            daemon_settings.vm,
            daemon_settings.peer_address,
            incarnation,
            timeline,
            counters,
            daemon_settings.peer_key,
        ),
        searchers=searchers_http.make(),
    )
    daemon = wiring.make(
        daemon_settings, incarnation, timeline, counters, ports
    )
    server = web_server.Server(
        daemon_settings.http_address,
        daemon.handle,
        shared=resources.make(
            daemon_settings.memory_mb, daemon_settings.max_connections
        ),
    )
    stopping = asyncio.Event()
    aborting = asyncio.Event()
    _install_signal_handlers(stopping, aborting)
    try:
        await daemon.start(server)
    except OSError as error:
        _logger.error("cannot start: {}", error)
        return EXIT_FAILURE
    _logger.info("started on {}", daemon_settings.http_address)
    await stopping.wait()
    aborted = await daemon.stop(aborting)
    _logger.info("stopped; {} requests aborted", aborted)
    return EXIT_FAILURE if aborted else EXIT_GRACEFUL


def _install_signal_handlers(
    stopping: asyncio.Event, aborting: asyncio.Event
) -> None:
    """Installs the handlers of SIGTERM and SIGINT.

    The first signal starts a graceful stop; the second aborts the requests
    that are still running.
    """

    def handle_signal() -> None:
        if stopping.is_set():
            aborting.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
