"""A connection to a searcher that carries one call at a time, using h11."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from azureramp.ports.forwarding import api
from azureramp.ports.web import connection as web_connection

MAX_BODY_BYTES = 8_000_000
"""Maximum size of an answer's body, in bytes. A searcher's page of results is a
thousandth of it."""

KEEP_ALIVE_SHARE = 0.8
"""Share of the searcher's idle timeout for which a connection is reused. The
searcher's timer starts up to a round trip before this side's, and a call
written to a connection that is just closing is lost."""


class SearcherConnection(asyncio.Protocol):
    """A connection that carries calls one after another.

    A searcher's answer is used only if it is complete and carries the call's
    id. Any other data closes the connection: unrequested bytes would otherwise
    be read as the answer to the next caller's request.

    Attributes:
        last_received_s: When data last arrived on it, or when it was opened, on
            the loop's clock.
        busy: True while a call waits for its answer on it.
        closed: True once it can't be used any more.
        calls: Number of calls that it has carried.
    """

    __slots__ = (
        "_abort_at_s",
        "_body",
        "_call",
        "_codec",
        "_head",
        "_http",
        "_keep_alive_s",
        "_loop",
        "_on_closed",
        "_on_idle",
        "_received_any",
        "_received_bytes",
        "_receiver",
        "_reusable_until_s",
        "_stray_answers",
        "_timer",
        "_transport",
        "_unsent_bytes",
        "busy",
        "calls",
        "closed",
        "last_received_s",
    )

    def __init__(
        self,
        codec: api.Codec,
        on_idle: Callable[[SearcherConnection], None],
        on_closed: Callable[[SearcherConnection, bool], None],
    ) -> None:
        """Creates a protocol that is not connected yet.

        Args:
            codec: Encodes and decodes the headers.
            on_idle: Called each time another call may be sent.
            on_closed: Called once when the connection ends; with True if the
                searcher closed it before sending anything on it.
        """
        self._codec = codec
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.CLIENT)
        self._transport: Any = None
        self._call: api.Call | None = None
        self._receiver: api.Receiver | None = None
        self._head: h11.Response | None = None
        self._received_any = False
        self._received_bytes = 0
        self._body: list[bytes] = []
        self._reusable_until_s = float("inf")
        self._keep_alive_s = float("inf")
        self._stray_answers = 0
        self._unsent_bytes = 0
        self._abort_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.last_received_s = 0.0
        self.busy = False
        self.closed = False
        self.calls = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the open transport."""
        self._transport = transport
        self.last_received_s = self._loop.time()
        web_connection.set_transport_options(transport)

    def is_usable(self, now_s: float) -> bool:
        """Returns True if a call may be written now."""
        if self.closed or self.busy:
            return False
        return now_s < self._reusable_until_s

    def send(self, call: api.Call, receiver: api.Receiver) -> None:
        """Writes a call.

        Args:
            call: The call; its message holds its body once more.
            receiver: Called once with its outcome.
        """
        self._call = call
        self._receiver = receiver
        self.busy = True
        self.calls += 1
        self._stray_answers = 0
        self._transport.write(self._encode(call))
        # The caller has accounted for the whole body.
        self._unsent_bytes = min(
            len(call.message.body), self._transport.get_write_buffer_size()
        )
        call.message.release(len(call.message.body) - self._unsent_bytes)

    def abort_after(self, seconds: float) -> None:
        """Aborts the connection unless its call ends within a delay.

        One timer per call would cost more than writing the call itself, so
        calls share a timer. If a later call has postponed the abort, the timer
        fires early and is set again; it is replaced only if the new time is
        earlier.

        Args:
            seconds: The delay, in seconds.
        """
        self._abort_at_s = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= self._abort_at_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(self._abort_at_s, self._abort_when_due)

    def _abort_when_due(self) -> None:
        """Aborts the connection if its call's time has run out."""
        self._timer = None
        if self.closed or not self.busy:
            return
        if self._loop.time() < self._abort_at_s:
            self._timer = self._loop.call_at(
                self._abort_at_s, self._abort_when_due
            )
            return
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once; a pending call is lost."""
        self._end(api.LossReason.BROKEN)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handles received bytes, which belong to the pending call's answer."""
        if self.closed:
            return
        if not self.busy:
            self.abort()
            return
        self.last_received_s = self._loop.time()
        self._received_any = True
        self._feed(data)

    def eof_received(self) -> bool:
        """Handles the end of the searcher's stream.

        An answer without a length is complete; any other is truncated.
        """
        if self.busy:
            self._feed(b"")
        if not self.closed:
            self._end(api.LossReason.BROKEN, refused=not self._received_any)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection.

        A reset may have truncated an answer without a length, so the part that
        was received is not used.
        """
        if not self.closed:
            self._end(api.LossReason.BROKEN, refused=not self._received_any)

    def _encode(self, call: api.Call) -> bytes:
        """Encodes a call with h11.

        Calls of one message differ in only a few headers. h11 checks the common
        headers once per message; the others are inserted before the empty line
        that ends the head.
        """
        message = call.message
        if message.head is None:
            message.head = h11.Request(
                method=message.method,
                target=message.target,
                headers=list(self._codec.encode_message(message)),
            )
        common = self._http.send(message.head) or b""
        own = b"".join(
            name + b": " + value + b"\r\n"
            for name, value in self._codec.encode_call(call)
        )
        data = common[:-2] + own + b"\r\n"
        if message.body:
            data += self._http.send(h11.Data(data=message.body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    def _feed(self, data: bytes) -> None:
        """Passes received bytes to h11 and handles the resulting events."""
        try:
            self._http.receive_data(data)
            while self.busy and not self.closed:
                match self._http.next_event():
                    case h11.NEED_DATA | h11.PAUSED:
                        return
                    case h11.InformationalResponse():
                        pass
                    case h11.Response() as head:
                        self._head = head
                        self._body.clear()
                        self._received_bytes = 0
                    case h11.Data() as event:
                        self._keep(event.data)
                        self._received_bytes += len(event.data)
                        if self._received_bytes > MAX_BODY_BYTES:
                            self._abort_invalid()
                    case h11.EndOfMessage():
                        self._finish_answer()
                    case _:
                        self._end(api.LossReason.BROKEN)
        except h11.RemoteProtocolError:
            self._abort_invalid()

    def _keep(self, data: bytes | bytearray) -> None:
        """Keeps a part of an answer while its request is in progress.

        Without room for it the request is ended; the searcher isn't at fault.
        The rest of the answer is read, so that the connection can be reused.
        """
        assert self._call is not None
        message = self._call.message
        if message.hold(len(data)):
            self._body.append(bytes(data))
        elif message.holding is not None:
            message.holding.end()

    def _finish_answer(self) -> None:
        """Handles a complete answer."""
        head, call = self._head, self._call
        assert head is not None
        assert call is not None
        # h11's own sequence of headers creates a new tuple at each iteration.
        fields = list(head.headers)
        if self._codec.read_id(fields) != call.message.id:
            self._skip_stray(call)
            return
        reply = self._codec.decode_reply(
            head.status_code, fields, b"".join(self._body)
        )
        receiver = self._receiver
        self._read_keep_alive(fields)
        self._reset_call()
        if self._may_reuse():
            self._http.start_next_cycle()
            self._on_idle(self)
        else:
            self._close()
        if receiver is not None:
            receiver(reply)

    def _skip_stray(self, call: api.Call) -> None:
        """Skips an answer to another call and continues reading.

        A faulty searcher may answer an earlier call twice; the second answer
        then arrives before the answer to this call. One such answer is skipped,
        and the connection closes after this call. After a second one, nothing
        on the connection can be trusted.
        """
        self._stray_answers += 1
        if self._stray_answers > 1 or self._cannot_continue(call):
            self._abort_invalid()
            return
        surplus = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._encode(call)
        self._head = None
        self._body.clear()
        if surplus:
            self._feed(surplus)

    def _cannot_continue(self, call: api.Call) -> bool:
        """Returns True if the stray answer must end the connection."""
        return self._http.their_state is not h11.DONE or not call.message.id

    def _may_reuse(self) -> bool:
        """Returns True if the next call may use this connection.

        It may not if more bytes followed the answer, if the searcher answered
        before it had read the whole request, or after a stray answer.
        """
        return (
            self._stray_answers == 0
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def _read_keep_alive(self, fields: api.Headers) -> None:
        """Reads how long the searcher keeps an idle connection open."""
        for name, value in fields:
            if name == b"keep-alive":
                seconds = parse_keep_alive(value)
                if seconds is not None:
                    self._keep_alive_s = seconds * KEEP_ALIVE_SHARE
        self._reusable_until_s = self._loop.time() + self._keep_alive_s

    def _reset_call(self) -> None:
        """Clears the state of the current call."""
        if self._call is not None:
            self._call.message.release(self._unsent_bytes)
        self._call = None
        self._receiver = None
        self._head = None
        self._body = []
        self.busy = False

    def _abort_invalid(self) -> None:
        """Closes the connection because it received an invalid answer."""
        self._end(api.LossReason.INVALID)
        self._transport.abort()

    def _close(self) -> None:
        """Closes the connection between two calls."""
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()
        self._on_closed(self, False)

    def _end(self, loss: api.LossReason, refused: bool = False) -> None:
        """Ends the connection and reports the loss of a pending call."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        receiver = self._receiver
        self._reset_call()
        self._on_closed(self, refused)
        if receiver is not None:
            receiver(api.LostCall(loss, sent=True))


def parse_keep_alive(value: bytes) -> float | None:
    """Parses the timeout of a Keep-Alive header.

    Args:
        value: The header's value, such as `timeout=5, max=100`.

    Returns:
        The timeout in seconds; None if the header states none.
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        number = number.strip()
        if name.strip().lower() == b"timeout" and number.isdigit():
            return float(number[:6])
    return None
