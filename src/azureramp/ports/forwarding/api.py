"""The interface for calls that forward a caller's request to a searcher."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import h11

from azureramp.ports.web import memory

Headers = Sequence[tuple[bytes, bytes]]
"""Headers in the order of a message, with names in lower case."""


@dataclasses.dataclass(slots=True)
class Message:
    """A caller's request, ready to be forwarded any number of times.

    Attributes:
        id: The id that the caller gave this attempt.
        method: The HTTP method.
        target: The path with its query, as sent.
        headers: The headers that are forwarded; excludes headers of the
            caller's own connection and those that the tier sets itself.
        body: The body.
        identity_headers: The caller's own headers that state who it is; they
            are forwarded only if `account` is None.
        account: The name of the client account that searchers are told; empty
            for a caller without one, None if no accounts are configured.
        head: The request line and headers after h11 validated them; None until
            the first call is encoded.
        holding: Accounts for the bytes of its calls and their answers; None if
            nothing does.
    """

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    identity_headers: Headers = dataclasses.field(default=(), repr=False)
    account: str | None = None
    head: h11.Request | None = dataclasses.field(
        default=None, compare=False, repr=False
    )
    holding: memory.Holding | None = dataclasses.field(
        default=None, compare=False, repr=False
    )

    def hold(self, size: int) -> bool:
        """Accounts for bytes kept for its calls; False if there is no room."""
        return self.holding is None or self.holding.add(size)

    def release(self, size: int) -> None:
        """Accounts for bytes that are no longer kept for its calls."""
        if self.holding is not None:
            self.holding.remove(size)


def always_permit() -> bool:
    """Permits a call whenever it is sent."""
    return True


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One call to one searcher.

    Attributes:
        message: The message to forward.
        searcher: The id of the searcher that should answer.
        left_s: How long the searcher may work on the call, in seconds.
        is_permitted: Asked again before a call is sent that has waited for a
            connection.
    """

    message: Message
    searcher: str
    left_s: float
    is_permitted: Callable[[], bool] = dataclasses.field(
        default=always_permit, compare=False, repr=False
    )


class Execution(enum.Enum):
    """Whether the searcher ran a call."""

    NO = "no"
    YES = "yes"
    MAYBE = "maybe"


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """The load that a searcher reports.

    Attributes:
        running: Number of requests that it is running.
        waiting: Number of requests that are queued in it.
        slots: Maximum number of requests that it runs at once.
        slowness: How long work takes on its backend server at this moment, as
            a multiple of the usual time; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadableLoad:
    """A load report that can't be read.

    Attributes:
        text: The report as received, shortened.
    """

    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A searcher's complete answer to a call.

    Attributes:
        status: The HTTP status.
        headers: The headers as received.
        body: The complete body.
        signature: The searcher's signature of the answer; empty if none.
        ran: Whether the searcher states that it ran the call.
        misdirected: True if a searcher other than the called one answered.
        load: The reported load; None if not reported.
        cold_s: How much longer the searcher is cold, in seconds; None if not
            reported.
    """

    status: int
    headers: Headers
    body: bytes
    signature: bytes
    ran: Execution
    misdirected: bool
    load: Load | UnreadableLoad | None
    cold_s: float | None

    def is_success(self) -> bool:
        """Returns True if this is a searcher's own successful answer."""
        return 200 <= self.status < 300 and bool(self.signature)


class LossReason(enum.Enum):
    """Why a call has no answer."""

    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    INVALID = "invalid"
    NO_ROOM = "no_room"
    NOT_PERMITTED = "not_permitted"


@dataclasses.dataclass(slots=True, frozen=True)
class LostCall:
    """A call without an answer.

    Attributes:
        loss: The reason.
        sent: True if any byte of the call may have reached the searcher.
    """

    loss: LossReason
    sent: bool


Outcome = Reply | LostCall
Receiver = Callable[[Outcome], None]


class Codec(Protocol):
    """Encodes and decodes the headers exchanged with searchers."""

    def encode_message(self, message: Message) -> Headers:
        """Returns the headers that all calls of a message share."""
        ...

    def encode_call(self, call: Call) -> Headers:
        """Returns the additional headers of one call."""
        ...

    def read_id(self, fields: Headers) -> bytes:
        """Returns the request id in a searcher's answer; empty if none."""
        ...

    def decode_reply(self, status: int, fields: Headers, body: bytes) -> Reply:
        """Decodes a searcher's answer."""
        ...


class PendingCall(Protocol):
    """A submitted call."""

    def is_sent(self) -> bool:
        """Returns True if the call was written to a connection."""
        ...

    def abandon(self, linger_s: float) -> None:
        """Ends a call whose answer is no longer needed.

        A call that was not written is dropped without calling its receiver. One
        that was written keeps its connection for the given time, since an
        answer that still arrives saves opening a new connection; then the
        connection is closed.

        Args:
            linger_s: How long the answer may still arrive, in seconds.
        """
        ...
