"""A pool of connections to one searcher, and the calls that wait for one."""

from __future__ import annotations

import asyncio
import collections
import enum
import math
from collections.abc import Callable

from azureramp.ports.forwarding import api, searcher_connection
from azureramp.ports.forwarding import pending_call as pending_call_module
from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import time_limit

CONNECT_S = 1.0
"""Timeout for opening a connection, in seconds; a searcher that is up takes
some milliseconds."""

PROBE_S = 0.5
"""Timeout for a connection that checks whether the searcher is up, in seconds.
TCP resends a lost SYN only after a second, so a shorter timeout and another
attempt detect a returned searcher sooner."""

STALLED_S = 0.03
"""How long opening the first connection may take before other searchers are
preferred, in seconds: a searcher that lost power sends no response at all."""

MAX_WAITING = 64
"""Maximum number of calls that wait for a connection; any further ones would be
answered too late."""

MIN_FULL_BACKOFF_S = 1.0
MAX_FULL_BACKOFF_S = 8.0
"""Initial and maximum backoff after the searcher closed a connection without
having sent anything on it, in seconds. Most likely it already has as many
connections as it accepts, so none is opened in addition to an open one. VMs
that reconnect at once keep it, and themselves, busy with handshakes; within a
few seconds, idle connections of other VMs close."""

ANSWER_GRACE_S = 0.1
"""How long a connection is kept after its call's time limit, in seconds: the
searcher's own timeout answer can still arrive on it."""


class ProbeResult(enum.Enum):
    """Result of opening a connection to check whether a searcher is up."""

    OPENED = "opened"
    REFUSED = "refused"
    SILENT = "silent"


class Pool:
    """Opens connections to one searcher on demand.

    Attributes:
        address: The searcher's `IP:port`.
        limit: Maximum number of connections.
        opened_count: Number of connections opened since the pool was created.
        unavailable: True after the searcher refused a connection while no
            other was open, or closed the last one without having sent anything
            on it; False again once it has answered a call.
        available_since_s: When the searcher first answered after being
            unavailable, on the loop's clock.
        connected_since_s: Since when there has always been an open connection,
            on the loop's clock; infinite while there is none.
    """

    __slots__ = (
        "_codec",
        "_full_backoff_s",
        "_full_until_s",
        "_idle",
        "_links",
        "_on_unreachable",
        "_opening",
        "_opening_s",
        "_probe_receivers",
        "_probe_task",
        "_waiting",
        "address",
        "available_since_s",
        "connected_since_s",
        "limit",
        "opened_count",
        "unavailable",
    )

    def __init__(
        self,
        codec: api.Codec,
        address: str,
        limit: int,
        on_unreachable: Callable[[], None],
    ) -> None:
        """Creates a pool without connections.

        Args:
            codec: Encodes and decodes the headers of calls.
            address: The searcher's `IP:port`.
            limit: Maximum number of connections.
            on_unreachable: Called if a connection can't be opened and no other
                is open.
        """
        self._codec = codec
        self._on_unreachable = on_unreachable
        self._full_backoff_s = 0.0
        self._full_until_s = 0.0
        self._idle: list[searcher_connection.SearcherConnection] = []
        self._links: set[searcher_connection.SearcherConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._opening_s = 0.0
        self._waiting: collections.deque[pending_call_module.PendingCall] = (
            collections.deque()
        )
        self._probe_receivers: list[Callable[[ProbeResult], None]] = []
        self._probe_task: asyncio.Task[None] | None = None
        self.address = address
        self.limit = limit
        self.opened_count = 0
        self.unavailable = False
        self.available_since_s = -math.inf
        self.connected_since_s = math.inf

    def submit(
        self, call: api.Call, receiver: api.Receiver
    ) -> pending_call_module.PendingCall:
        """Sends a call as soon as a connection is available.

        Args:
            call: The call.
            receiver: Called once with the outcome, never before `submit`
                returns.

        Returns:
            The submitted call.
        """
        pending_call = pending_call_module.PendingCall(call, receiver)
        link = self._pop_idle()
        if link is not None:
            self._send(link, pending_call)
        elif len(self._waiting) >= MAX_WAITING:
            loop = asyncio.get_running_loop()
            lost = api.LostCall(api.LossReason.NO_ROOM, sent=False)
            loop.call_soon(pending_call.deliver, lost)
        else:
            self._waiting.append(pending_call)
            self._open_more()
        return pending_call

    def is_stalled(self) -> bool:
        """Returns True if opening the first connection is taking too long."""
        if self._links or not self._opening:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - self._opening_s > STALLED_S

    def count_open(self) -> int:
        """Returns the number of connections that are open or being opened."""
        return len(self._links) + len(self._opening)

    def open_ahead(self, count: int) -> None:
        """Opens connections ahead of need, unless the searcher is full.

        Args:
            count: How many should be open, within the limit.
        """
        if self._is_backing_off():
            return
        while self.count_open() < min(count, self.limit):
            self._open()

    def set_limit(self, limit: int) -> None:
        """Changes the limit and closes idle connections beyond it."""
        self.limit = limit
        for link in list(self._idle):
            if len(self._links) <= limit:
                break
            link.abort()

    def probe(self, receiver: Callable[[ProbeResult], None]) -> None:
        """Checks whether the searcher is up by opening a new connection.

        Args:
            receiver: Called once with the result. A connection that could be
                opened is then used for calls.
        """
        self._probe_receivers.append(receiver)
        if self._probe_task is None:
            self._probe_task = self._open(PROBE_S)

    def close_stale(self, before_s: float) -> None:
        """Closes idle connections that have received nothing for too long.

        A middlebox may have dropped their state: data written to them never
        arrives, while new connections work.

        Args:
            before_s: Connections that last received data before this time are
                closed, on the loop's clock.
        """
        for link in list(self._idle):
            if link.last_received_s < before_s:
                link.abort()

    def close(self) -> None:
        """Closes idle connections; busy ones close after their call."""
        self.limit = 0
        for link in list(self._idle):
            link.abort()
        for task in list(self._opening):
            task.cancel()
        self._fail_waiting(api.LossReason.NO_CONNECTION)

    def _pop_idle(self) -> searcher_connection.SearcherConnection | None:
        """Removes and returns the usable idle connection that was used last."""
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            link = self._idle.pop()
            if link.is_usable(now_s):
                return link
            link.abort()
        return None

    def _send(
        self,
        link: searcher_connection.SearcherConnection,
        pending_call: pending_call_module.PendingCall,
    ) -> None:
        """Writes a call and sets when its connection is aborted."""
        receiver = pending_call.receiver
        if receiver is None:
            return
        message = pending_call.call.message
        if not message.hold(len(message.body)):
            self._idle.append(link)
            lost = api.LostCall(api.LossReason.NO_ROOM, sent=False)
            loop = asyncio.get_running_loop()
            loop.call_soon(pending_call.deliver, lost)
            return
        pending_call.link = link
        link.send(pending_call.call, receiver)
        link.abort_after(pending_call.call.left_s + ANSWER_GRACE_S)

    def _serve_waiting(self) -> None:
        """Assigns idle connections to the waiting calls."""
        while self._waiting:
            first = self._waiting[0]
            if first.receiver is None:
                self._waiting.popleft()
                continue
            if not first.call.is_permitted():
                self._waiting.popleft()
                lost = api.LostCall(api.LossReason.NOT_PERMITTED, sent=False)
                asyncio.get_running_loop().call_soon(first.deliver, lost)
                continue
            link = self._pop_idle()
            if link is None:
                break
            self._send(link, self._waiting.popleft())
        self._open_more()

    def _open_more(self) -> None:
        """Opens connections for the waiting calls, within the limit."""
        while (
            len(self._opening) < len(self._waiting)
            and self.count_open() < self.limit
            and not (self._is_backing_off() and self.count_open())
        ):
            self._open()
        if self._waiting and not self.count_open():
            self._fail_waiting(api.LossReason.NO_ROOM)

    def _open(self, timeout_s: float = CONNECT_S) -> asyncio.Task[None]:
        """Opens one connection in the background.

        Args:
            timeout_s: Timeout, in seconds.
        """
        if not self._opening:
            self._opening_s = asyncio.get_running_loop().time()
        task = asyncio.ensure_future(self._connect(timeout_s))
        self._opening.add(task)
        task.add_done_callback(self._handle_opened)
        return task

    async def _connect(self, timeout_s: float) -> None:
        """Opens one connection.

        Args:
            timeout_s: Timeout, in seconds.

        Raises:
            OSError: The connection can't be opened.
            TimeoutError: Opening it takes longer than the timeout.
        """
        host, port = web_connection.split_address(self.address)
        loop = asyncio.get_running_loop()
        async with time_limit.end_after(timeout_s):
            _, link = await loop.create_connection(self._make_link, host, port)
        self.opened_count += 1
        if link.closed:
            return
        if not self._links:
            self.connected_since_s = loop.time()
        self._links.add(link)
        self._idle.append(link)

    def _make_link(self) -> searcher_connection.SearcherConnection:
        """Creates the protocol of a new connection."""
        return searcher_connection.SearcherConnection(
            self._codec, self._handle_idle, self._handle_closed
        )

    def _handle_opened(self, task: asyncio.Task[None]) -> None:
        """Handles the result of an attempt to open a connection."""
        self._opening.discard(task)
        failure = None if task.cancelled() else task.exception()
        failed = task.cancelled() or failure is not None
        if isinstance(failure, ConnectionError) and not self._links:
            self.unavailable = True
        if task is self._probe_task:
            self._probe_task = None
            self._report_probe(failure, failed)
        if failure is not None and not self._links:
            self._on_unreachable()
        if failed and not self._links and not self._opening:
            self._fail_waiting(api.LossReason.NO_CONNECTION)
        elif not failed:
            self._serve_waiting()

    def _report_probe(
        self, failure: BaseException | None, failed: bool
    ) -> None:
        """Reports the result of a probe to its receivers."""
        result = ProbeResult.OPENED
        if isinstance(failure, ConnectionError):
            result = ProbeResult.REFUSED
        elif failed:
            result = ProbeResult.SILENT
        receivers, self._probe_receivers = self._probe_receivers, []
        for receiver in receivers:
            receiver(result)

    def _is_backing_off(self) -> bool:
        """Returns True during the backoff for a full searcher."""
        return asyncio.get_running_loop().time() < self._full_until_s

    def _handle_idle(
        self, link: searcher_connection.SearcherConnection
    ) -> None:
        """Reuses a connection whose call has ended."""
        self._full_backoff_s = self._full_until_s = 0.0
        if self.unavailable:
            self.unavailable = False
            self.available_since_s = asyncio.get_running_loop().time()
        if self.limit == 0 or len(self._links) > self.limit:
            link.abort()
            return
        self._idle.append(link)
        self._serve_waiting()

    def _handle_closed(
        self, link: searcher_connection.SearcherConnection, refused: bool
    ) -> None:
        """Removes a connection that has closed."""
        if refused:
            backoff_s = max(MIN_FULL_BACKOFF_S, 2 * self._full_backoff_s)
            self._full_backoff_s = min(MAX_FULL_BACKOFF_S, backoff_s)
            now_s = asyncio.get_running_loop().time()
            self._full_until_s = now_s + self._full_backoff_s
        self._links.discard(link)
        if not self._links:
            self.connected_since_s = math.inf
            self.unavailable = self.unavailable or refused
        if link in self._idle:
            self._idle.remove(link)
        if self._waiting:
            self._open_more()

    def _fail_waiting(self, loss: api.LossReason) -> None:
        """Fails the waiting calls, of which no byte was sent."""
        waiting = list(self._waiting)
        self._waiting.clear()
        loop = asyncio.get_running_loop()
        for pending_call in waiting:
            loop.call_soon(pending_call.deliver, api.LostCall(loss, sent=False))
