"""The connections to one searcher, and the calls that wait for one."""

from __future__ import annotations

import asyncio
import collections
import enum
import math
from collections.abc import Callable

from azureramp.ports.forwarding import api
from azureramp.ports.forwarding import link as link_module
from azureramp.ports.forwarding import ticket as ticket_module
from azureramp.ports.web import connection as web_connection

CONNECT_S = 1.0
"""Longest time that opening a connection may take, in seconds; a searcher
that is up takes some milliseconds."""

PROBE_S = 0.5
"""The same for a connection that only shows whether the searcher lives. A
packet that opens one is sent again after a second: a shorter time and another
try find a searcher that is back sooner."""

STALLED_S = 0.03
"""How long opening the first connection may take before other searchers are
preferred, in seconds: one that lost power answers nothing at all."""

MAX_WAITING = 64
"""Most calls that wait for a connection; more than a few would be late."""

CROWDED_LEAST_S = 1.0
CROWDED_MOST_S = 8.0
"""How long no second connection is opened after the searcher ended one that
it had answered nothing on, in seconds, at first and after several: most likely
it holds as many as it accepts. VMs that connect again at once keep it, and
themselves, busy with handshakes; a few seconds let idle ones elsewhere end."""

GRACE_S = 0.1
"""How long after a call's time its connection is kept, in seconds: the
searcher's own answer that the time is over still comes on it."""


class Found(enum.Enum):
    """What a new connection shows of a searcher."""

    OPENED = "opened"
    REFUSED = "refused"
    SILENT = "silent"


class Pool:
    """Opens connections to one searcher as they are needed.

    Attributes:
        address: The searcher's `IP:port`.
        limit: Most connections to hold.
        opened: How many connections were opened since the start.
        away: True from when the searcher refused the only connection there
            was, or ended it unused, until it answers a call again.
        returned_s: When it last answered after it had been away, on the
            loop's clock.
        linked_s: Since when there has always been a connection; infinite
            while there is none.
    """

    __slots__ = (
        "_codec",
        "_crowded_s",
        "_crowded_until_s",
        "_idle",
        "_links",
        "_on_unreachable",
        "_opening",
        "_opening_s",
        "_probe",
        "_probes",
        "_waiting",
        "address",
        "away",
        "limit",
        "linked_s",
        "opened",
        "returned_s",
    )

    def __init__(
        self,
        codec: api.Codec,
        address: str,
        limit: int,
        on_unreachable: Callable[[], None],
    ) -> None:
        """Makes a pool without connections.

        Args:
            codec: Reads and names the headers of calls.
            address: The searcher's `IP:port`.
            limit: Most connections to hold.
            on_unreachable: Called where none is open and none could be opened.
        """
        self._codec = codec
        self._on_unreachable = on_unreachable
        self._crowded_s = 0.0
        self._crowded_until_s = 0.0
        self._idle: list[link_module.Link] = []
        self._links: set[link_module.Link] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._opening_s = 0.0
        self._waiting: collections.deque[ticket_module.Ticket] = (
            collections.deque()
        )
        self._probes: list[Callable[[Found], None]] = []
        self._probe: asyncio.Task[None] | None = None
        self.address = address
        self.limit = limit
        self.opened = 0
        self.away = False
        self.returned_s = -math.inf
        self.linked_s = math.inf

    def submit(
        self, call: api.Call, receiver: api.Receiver
    ) -> ticket_module.Ticket:
        """Makes a call as soon as there is a connection for it.

        Args:
            call: The call.
            receiver: Called once with the outcome, never before this returns.
        """
        ticket = ticket_module.Ticket(call, receiver)
        link = self._take()
        if link is not None:
            self._send(link, ticket)
        elif len(self._waiting) >= MAX_WAITING:
            loop = asyncio.get_running_loop()
            lost = api.Lost(api.Loss.NO_ROOM, sent=False)
            loop.call_soon(ticket.deliver, lost)
        else:
            self._waiting.append(ticket)
            self._open_more()
        return ticket

    def is_stalled(self) -> bool:
        """Tells whether calls wait for a first connection that lasts long."""
        if self._links or not self._opening:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - self._opening_s > STALLED_S

    def count_open(self) -> int:
        """Returns how many connections are open or being opened."""
        return len(self._links) + len(self._opening)

    def prepare(self, wanted: int) -> None:
        """Opens connections ahead of need, unless the searcher is crowded.

        Args:
            wanted: How many should be open, within the limit.
        """
        if self._is_crowded():
            return
        while self.count_open() < min(wanted, self.limit):
            self._open()

    def set_limit(self, limit: int) -> None:
        """Changes the limit; idle connections beyond it are closed."""
        self.limit = limit
        for link in list(self._idle):
            if len(self._links) <= limit:
                break
            link.abort()

    def probe(self, receiver: Callable[[Found], None]) -> None:
        """Finds out by a new connection whether the searcher lives.

        Args:
            receiver: Called once with what was found. A connection that could
                be opened is used for calls.
        """
        self._probes.append(receiver)
        if self._probe is None:
            self._probe = self._open(PROBE_S)

    def retire(self, before_s: float) -> None:
        """Closes idle connections that gave no sign of life for long.

        Something between the two ends may have lost track of them: what is
        written there never arrives, while new connections work.

        Args:
            before_s: The last sign of life that is too old.
        """
        for link in list(self._idle):
            if link.proven_s < before_s:
                link.abort()

    def close(self) -> None:
        """Closes idle connections; busy ones close with their call."""
        self.limit = 0
        for link in list(self._idle):
            link.abort()
        for task in list(self._opening):
            task.cancel()
        self._fail_waiting(api.Loss.NO_CONNECTION)

    def _take(self) -> link_module.Link | None:
        """Takes the idle connection that was used last, if any is fit."""
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            link = self._idle.pop()
            if link.is_usable(now_s):
                return link
            link.abort()
        return None

    def _send(
        self, link: link_module.Link, ticket: ticket_module.Ticket
    ) -> None:
        """Writes a call, and sees to the connection's end if it is silent."""
        receiver = ticket.receiver
        if receiver is None:
            return
        ticket.link = link
        link.send(ticket.call, receiver)
        link.cut_after(ticket.call.left_s + GRACE_S)

    def _serve_waiting(self) -> None:
        """Gives connections to the calls that wait."""
        while self._waiting:
            if self._waiting[0].receiver is None:
                self._waiting.popleft()
                continue
            link = self._take()
            if link is None:
                break
            self._send(link, self._waiting.popleft())
        self._open_more()

    def _open_more(self) -> None:
        """Opens connections for the calls that wait, within the limit."""
        while (
            len(self._opening) < len(self._waiting)
            and self.count_open() < self.limit
            and not (self._is_crowded() and self.count_open())
        ):
            self._open()
        if self._waiting and not self.count_open():
            self._fail_waiting(api.Loss.NO_ROOM)

    def _open(self, most_s: float = CONNECT_S) -> asyncio.Task[None]:
        """Opens one connection in the background.

        Args:
            most_s: Longest time that it may take, in seconds.
        """
        if not self._opening:
            self._opening_s = asyncio.get_running_loop().time()
        task = asyncio.ensure_future(self._connect(most_s))
        self._opening.add(task)
        task.add_done_callback(self._opened)
        return task

    async def _connect(self, most_s: float) -> None:
        """Opens one connection.

        Args:
            most_s: Longest time that it may take, in seconds.

        Raises:
            OSError: It can't be opened.
            TimeoutError: It takes too long.
        """
        host, port = web_connection.split_address(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(most_s):
            _, link = await loop.create_connection(self._make_link, host, port)
        self.opened += 1
        if link.closed:
            return
        if not self._links:
            self.linked_s = loop.time()
        self._links.add(link)
        self._idle.append(link)

    def _make_link(self) -> link_module.Link:
        """Makes the protocol of a new connection."""
        return link_module.Link(self._codec, self._take_idle, self._take_closed)

    def _opened(self, task: asyncio.Task[None]) -> None:
        """Goes on after a connection was opened, or was not."""
        self._opening.discard(task)
        failure = None if task.cancelled() else task.exception()
        failed = task.cancelled() or failure is not None
        if isinstance(failure, ConnectionError) and not self._links:
            self.away = True
        if task is self._probe:
            self._probe = None
            self._tell_probes(failure, failed)
        if failure is not None and not self._links:
            self._on_unreachable()
        if failed and not self._links and not self._opening:
            self._fail_waiting(api.Loss.NO_CONNECTION)
        elif not failed:
            self._serve_waiting()

    def _tell_probes(self, failure: BaseException | None, failed: bool) -> None:
        """Tells those that wait for a probe what it found."""
        found = Found.OPENED
        if isinstance(failure, ConnectionError):
            found = Found.REFUSED
        elif failed:
            found = Found.SILENT
        probes, self._probes = self._probes, []
        for receiver in probes:
            receiver(found)

    def _is_crowded(self) -> bool:
        """Tells whether the searcher ended new connections just now."""
        return asyncio.get_running_loop().time() < self._crowded_until_s

    def _take_idle(self, link: link_module.Link) -> None:
        """Takes a connection back whose call has ended."""
        self._crowded_s = self._crowded_until_s = 0.0
        if self.away:
            self.away = False
            self.returned_s = asyncio.get_running_loop().time()
        if self.limit == 0 or len(self._links) > self.limit:
            link.abort()
            return
        self._idle.append(link)
        self._serve_waiting()

    def _take_closed(self, link: link_module.Link, refused: bool) -> None:
        """Forgets a connection that has ended."""
        if refused:
            longer_s = max(CROWDED_LEAST_S, 2 * self._crowded_s)
            self._crowded_s = min(CROWDED_MOST_S, longer_s)
            now_s = asyncio.get_running_loop().time()
            self._crowded_until_s = now_s + self._crowded_s
        self._links.discard(link)
        if not self._links:
            self.linked_s = math.inf
            self.away = self.away or refused
        if link in self._idle:
            self._idle.remove(link)
        if self._waiting:
            self._open_more()

    def _fail_waiting(self, loss: api.Loss) -> None:
        """Ends the calls that wait; nothing of them was sent."""
        waiting = list(self._waiting)
        self._waiting.clear()
        loop = asyncio.get_running_loop()
        for ticket in waiting:
            loop.call_soon(ticket.deliver, api.Lost(loss, sent=False))
