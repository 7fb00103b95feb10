"""Finding out which requests crash searchers, and telling the other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import blame
from azureramp.ports.forwarding import api, pool
from azureramp.ports.store import api as store_api

LEASE_S = 180.0
"""How long other VMs are told of a request, in seconds."""

MOST_WAITING = 16
"""Most reports that wait to be written. A zone's crash blames many requests
once; only those that come again matter."""

Encode = Callable[[catalog.RequestBlamed], tuple[str, bytes]]
"""Returns the key and the value of a report."""

_logger = logbook.Logger("azureramp.crashes")


class Crashes:
    """Blames requests for crashes, and shares the blame over the store."""

    __slots__ = ("_blames", "_board", "_encode", "_reports", "_store")

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        encode: Encode,
    ) -> None:
        """Makes a controller that has seen no crash."""
        self._board = board
        self._store = store
        self._encode = encode
        self._blames = blame.Blames()
        self._reports: asyncio.Queue[catalog.RequestBlamed] = asyncio.Queue(
            MOST_WAITING
        )

    def get_refused_s(self, message: api.Message) -> float:
        """Returns how much longer a request is refused, in seconds."""
        fingerprint = blame.make_fingerprint(message)
        now_s = asyncio.get_running_loop().time()
        return self._blames.get_refused_s(fingerprint, now_s)

    def take_answer(self, message: api.Message) -> None:
        """Takes that a searcher answered a request."""
        fingerprint = blame.make_fingerprint(message)
        if self._blames.knows(fingerprint):
            self._blames.clear(fingerprint)

    def watch(
        self,
        target: board_module.Target,
        message: api.Message,
        repeatable: bool,
    ) -> None:
        """Finds out whether a call broke because its searcher crashed.

        An answer that got lost breaks one connection; a crash breaks all of
        them, and no new one can be opened for some seconds.
        """

        def take(found: pool.Found) -> None:
            if found is pool.Found.REFUSED:
                self._blame(target, message, repeatable)

        target.pool.probe(take)

    def adopt(self, blamed: catalog.RequestBlamed) -> None:
        """Takes what another VM saw."""
        if blamed.vm == self._board.identity.vm:
            return
        now_s = asyncio.get_running_loop().time()
        self._blames.adopt(blamed.fingerprint, blamed.vm, blamed.crashes, now_s)

    async def run(self) -> None:
        """Writes the reports, forever."""
        while True:
            report = await self._reports.get()
            granted = await self._store.grant_lease(LEASE_S)
            if granted.is_error():
                _logger.warning(
                    "could not tell of request {}: {}",
                    report.fingerprint,
                    granted.error.kind.value,
                )
                continue
            await self._write(report, granted.ok)

    def _blame(
        self,
        target: board_module.Target,
        message: api.Message,
        repeatable: bool,
    ) -> None:
        """Blames a request for a crash."""
        fingerprint = blame.make_fingerprint(message)
        now_s = asyncio.get_running_loop().time()
        crashes = self._blames.add(fingerprint, now_s)
        self._board.metrics.count("crash.blamed")
        _logger.warning(
            "request {} was running on searcher {} when it crashed; crashes"
            " seen of {}: {}",
            message.id.decode("latin-1"),
            target.searcher.id,
            fingerprint,
            crashes,
        )
        # A request that may be repeated is blamed twice by its own retry.
        least = 2 if repeatable else 1
        if least <= crashes <= blame.TOLERATED and not self._reports.full():
            self._reports.put_nowait(
                catalog.RequestBlamed(
                    fingerprint, self._board.identity.vm, crashes
                )
            )

    async def _write(self, report: catalog.RequestBlamed, lease: str) -> None:
        """Writes one report over an earlier one, if there is one."""
        key, value = self._encode(report)
        result = await self._store.write(key, value, store_api.CREATE, lease)
        if result.is_ok():
            match result.ok:
                case store_api.Conflicted(present=present) if present:
                    result = await self._store.write(
                        key, value, present.revision, lease
                    )
        if result.is_error():
            _logger.warning(
                "could not tell of request {}: {}",
                report.fingerprint,
                result.error.kind.value,
            )
