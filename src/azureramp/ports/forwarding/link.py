"""One connection to a searcher, for one call at a time, by h11."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from azureramp.ports.forwarding import api
from azureramp.ports.web import connection as web_connection

MAX_BODY_BYTES = 8_000_000
"""Largest answer that is taken; a searcher's page is a thousandth of it."""

KEEP_SHARE = 0.8
"""Share of the searcher's idle timeout for which a connection is kept. The
searcher's clock starts up to a round trip earlier than this side's, and a call
written to a connection that is just closing is lost."""


class Link(asyncio.Protocol):
    """A connection that carries calls one after another.

    A searcher's answer is used only if it is whole and bears the call's id.
    Whatever else arrives ends the connection: bytes that nobody asked for
    would otherwise be read as the answer to the next caller's request.

    Attributes:
        proven_s: When the searcher last gave a sign of life on it, on the
            loop's clock.
        busy: True while a call waits for its answer on it.
        closed: True once it can't be used again.
        calls: How many calls it has carried.
    """

    __slots__ = (
        "_body",
        "_call",
        "_codec",
        "_cut_s",
        "_head",
        "_heard",
        "_http",
        "_keep_s",
        "_keep_until_s",
        "_loop",
        "_on_closed",
        "_on_idle",
        "_receiver",
        "_strays",
        "_timer",
        "_transport",
        "busy",
        "calls",
        "closed",
        "proven_s",
    )

    def __init__(
        self,
        codec: api.Codec,
        on_idle: Callable[[Link], None],
        on_closed: Callable[[Link, bool], None],
    ) -> None:
        """Makes a link that is not connected yet.

        Args:
            codec: Reads and names the headers.
            on_idle: Called once another call may be sent.
            on_closed: Called once, at the end; True if the searcher ended it
                before it had answered anything on it.
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
        self._heard = False
        self._body = bytearray()
        self._keep_until_s = float("inf")
        self._keep_s = float("inf")
        self._strays = 0
        self._cut_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.proven_s = 0.0
        self.busy = False
        self.closed = False
        self.calls = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open transport."""
        self._transport = transport
        self.proven_s = self._loop.time()
        web_connection.set_transport_options(transport)

    def is_usable(self, now_s: float) -> bool:
        """Tells whether a call may be written now."""
        if self.closed or self.busy:
            return False
        return now_s < self._keep_until_s

    def send(self, call: api.Call, receiver: api.Receiver) -> None:
        """Writes a call.

        Args:
            call: The call.
            receiver: Called once with its outcome.
        """
        self._call = call
        self._receiver = receiver
        self.busy = True
        self.calls += 1
        self._strays = 0
        self._transport.write(self._encode(call))

    def cut_after(self, seconds: float) -> None:
        """Cuts the connection if its present call still waits then.

        A timer for each call would cost more than the call's own writing, so
        one timer serves many: it looks again where a later call moved the
        time, and is set anew only where the time comes closer.
        """
        self._cut_s = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= self._cut_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(self._cut_s, self._cut_when_due)

    def _cut_when_due(self) -> None:
        """Cuts the connection if its call's time is over."""
        self._timer = None
        if self.closed or not self.busy:
            return
        if self._loop.time() < self._cut_s:
            self._timer = self._loop.call_at(self._cut_s, self._cut_when_due)
            return
        self.abort()

    def abort(self) -> None:
        """Closes at once; a call that waits is lost."""
        self._end(api.Loss.BROKEN)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer."""
        if self.closed:
            return
        if not self.busy:
            self.abort()
            return
        self.proven_s = self._loop.time()
        self._heard = True
        self._feed(data)

    def eof_received(self) -> bool:
        """Takes the end of the searcher's stream.

        It ends an answer that states no length, and cuts any other.
        """
        if self.busy:
            self._feed(b"")
        if not self.closed:
            self._end(api.Loss.BROKEN, refused=not self._heard)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the connection's end.

        A reset may have cut an answer that states no length, so what has
        come of it is not used.
        """
        if not self.closed:
            self._end(api.Loss.BROKEN, refused=not self._heard)

    def _encode(self, call: api.Call) -> bytes:
        """Encodes a call by h11.

        Calls of one message differ in a few headers only. h11 checks the
        common ones once for each message, and what differs is put in before
        the empty line that ends the head.
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
        """Gives bytes to h11 and takes the events."""
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
                    case h11.Data() as event:
                        self._body += event.data
                        if len(self._body) > MAX_BODY_BYTES:
                            self._invalidate()
                    case h11.EndOfMessage():
                        self._finish_answer()
                    case _:
                        self._end(api.Loss.BROKEN)
        except h11.RemoteProtocolError:
            self._invalidate()

    def _finish_answer(self) -> None:
        """Takes a whole answer."""
        head, call = self._head, self._call
        assert head is not None
        assert call is not None
        # h11's own sequence of headers makes a tuple anew at each step.
        fields = list(head.headers)
        if self._codec.read_id(fields) != call.message.id:
            self._skip_stray(call)
            return
        reply = self._codec.decode_reply(
            head.status_code, fields, bytes(self._body)
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
        """Passes over an answer to another call and goes on reading.

        A faulty searcher may answer an earlier call twice; the second answer
        comes where this call's is due, and this call's own follows it. One is
        passed over, and the connection ends after this call. More than one
        says that nothing on it can be trusted.
        """
        self._strays += 1
        if self._strays > 1 or self._call_may_mix(call):
            self._invalidate()
            return
        surplus = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._encode(call)
        self._head = None
        self._body.clear()
        if surplus:
            self._feed(surplus)

    def _call_may_mix(self, call: api.Call) -> bool:
        """Tells whether h11 can't follow up on the stray answer."""
        return self._http.their_state is not h11.DONE or not call.message.id

    def _may_reuse(self) -> bool:
        """Tells whether the next call may use this connection.

        Not if bytes came past the answer, if the searcher answered before it
        had taken the whole request, or after a stray answer.
        """
        return (
            self._strays == 0
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def _read_keep_alive(self, fields: api.Fields) -> None:
        """Takes how long the searcher keeps an idle connection."""
        for name, value in fields:
            if name == b"keep-alive":
                seconds = parse_keep_alive(value)
                if seconds is not None:
                    self._keep_s = seconds * KEEP_SHARE
        self._keep_until_s = self._loop.time() + self._keep_s

    def _reset_call(self) -> None:
        """Makes ready for another call."""
        self._call = None
        self._receiver = None
        self._head = None
        self._body = bytearray()
        self.busy = False

    def _invalidate(self) -> None:
        """Ends the connection since what came on it is no answer."""
        self._end(api.Loss.INVALID)
        self._transport.abort()

    def _close(self) -> None:
        """Ends the connection between two calls."""
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()
        self._on_closed(self, False)

    def _end(self, loss: api.Loss, refused: bool = False) -> None:
        """Ends the connection; a call that waits gets its outcome."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        receiver = self._receiver
        self._reset_call()
        self._on_closed(self, refused)
        if receiver is not None:
            receiver(api.Lost(loss, sent=True))


def parse_keep_alive(value: bytes) -> float | None:
    """Reads the timeout of a Keep-Alive header.

    Args:
        value: The header's value, such as `timeout=5, max=100`.

    Returns:
        The timeout in seconds; None if it states none.
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        number = number.strip()
        if name.strip().lower() == b"timeout" and number.isdigit():
            return float(number[:6])
    return None
