"""Passing the store's changes on to other VMs."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import msgspec

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import contact, roster
from azureramp.policy import relaying
from azureramp.ports.relays import api, encoding
from azureramp.ports.store import api as store_api
from azureramp.ports.web import api as web_api

MOST_WAIT_S = 5.0
"""Longest wait for a change, in seconds."""

READY_S = 0.4
"""Longest wait until this VM follows the store itself, in seconds. VMs that
lose the one that they asked come here at the moment in which this one turns to
the store."""

MOST_AGE_S = 3600.0
"""Longest age in an answer, in seconds."""

MOST_PACKED = 8
"""Most encoded sets of changes that are kept. The VMs of a zone ask for the
same changes at the same time."""

_logger = logbook.Logger("azureramp.relay")


class Relay:
    """Answers other VMs from this one's copy of the entries.

    Attributes:
        copy: The copy.
    """

    __slots__ = ("_board", "_changed", "_contact", "_packed", "_roster", "copy")

    def __init__(
        self,
        board: board_module.Board,
        copy: relaying.Copy,
        announced: roster.Roster,
        contacts: contact.Contacts,
    ) -> None:
        """Makes a relay that has heard nothing."""
        self._board = board
        self._roster = announced
        self._contact = contacts
        self._changed = asyncio.Event()
        self._packed: dict[tuple[int, int], encoding.Packed] = {}
        self.copy = copy

    def wake(self) -> None:
        """Lets those that wait look again."""
        self._packed.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers a VM that asks for changes."""
        if request.path != api.CHANGES_PATH:
            return web_api.Response(404)
        try:
            question = encoding.decode_question(request.body)
        except msgspec.DecodeError as error:
            _logger.warning("could not read a VM's question: {}", error)
            return web_api.Response(400)
        try:
            return await self._answer(question)
        except asyncio.CancelledError:
            self._roster.take_cut(question.vm)
            raise

    async def _answer(self, question: api.Question) -> web_api.Response:
        """Answers a question."""
        loop = asyncio.get_running_loop()
        wait_s = min(question.wait_ms / 1000, MOST_WAIT_S)
        until_s = loop.time() + wait_s
        ready_s = loop.time() + min(wait_s, READY_S)
        while not self._can_answer(question):
            if not await self._wait(ready_s):
                return web_api.Response(503)
        if question.after:
            self._roster.take_question(question.vm, question.member)
        announced = self._roster.is_announced(question.vm)
        waits = True
        while True:
            # Looked up again after the wait's end too: a change may come in
            # the moment in which it ends, and its revision is answered.
            changes = self.copy.list_changes(question.after)
            if changes is None:
                return web_api.Response(410)
            if (
                changes
                or not waits
                or announced != self._roster.is_announced(question.vm)
                # Whoever waits here had better watch by itself.
                or not self._board.contact.reachable
            ):
                return self._encode(question, changes)
            waits = await self._wait(until_s)

    def _can_answer(self, question: api.Question) -> bool:
        """Tells whether this VM's copy is good enough for a question.

        One that follows another VM tells nothing new. As a start for a VM
        that knows nothing, its copy will do.
        """
        if not self.copy.revision:
            return False
        return not question.after or self._board.follows_store

    def _encode(
        self, question: api.Question, changes: tuple[store_api.Entry, ...]
    ) -> web_api.Response:
        """Encodes an answer; the changes once for all that ask for them."""
        span = (question.after, self.copy.revision)
        packed = self._packed.get(span)
        if packed is None:
            if len(self._packed) >= MOST_PACKED:
                del self._packed[next(iter(self._packed))]
            packed = self._packed[span] = encoding.pack(changes)
        body = encoding.encode_changes(
            self.copy.revision,
            _to_ms(self._contact.get_age_s()),
            _to_ms(self._contact.get_regained_s()),
            self._roster.is_announced(question.vm),
            packed,
        )
        return web_api.Response(200, body, encoding.CONTENT_TYPE)

    async def _wait(self, until_s: float) -> bool:
        """Waits for a change; False once the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self._changed.wait()
                return True
        return False


def _to_ms(age_s: float) -> int:
    """Returns an age in whole milliseconds, an hour at most."""
    return round(min(age_s, MOST_AGE_S) * 1000)
