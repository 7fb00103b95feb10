"""The interface of calls that carry a caller's request to a searcher."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import h11

Fields = Sequence[tuple[bytes, bytes]]
"""Headers as they stand in a message, names in lower case."""


@dataclasses.dataclass(slots=True)
class Message:
    """What a caller sent, ready to be forwarded any number of times.

    Attributes:
        id: The id that the caller gave this try.
        method: The HTTP method.
        target: The path with its query, as sent.
        fields: The headers that are forwarded; none that concerns only the
            caller's own connection, and none that the tier sets itself.
        body: The body.
        head: Its request line and headers as h11 checked them; None until the
            first call is encoded.
    """

    id: bytes
    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    head: h11.Request | None = dataclasses.field(
        default=None, compare=False, repr=False
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One call of one searcher.

    Attributes:
        message: What is forwarded.
        searcher: The id of the searcher that is meant.
        left_s: How long the searcher may work on it, in seconds.
    """

    message: Message
    searcher: str
    left_s: float


class Ran(enum.Enum):
    """Whether the searcher ran a call."""

    NO = "no"
    YES = "yes"
    MAYBE = "maybe"


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What a searcher says of its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait in it.
        slots: How many it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A searcher's whole answer to a call.

    Attributes:
        status: The HTTP status.
        fields: Its headers as they came.
        body: The whole body.
        signature: The searcher's signature of the answer; empty if none.
        ran: Whether it ran the call, by its own word.
        misdirected: True if another searcher than the one meant answered.
        load: Its load, if it told.
        cold_s: How much longer it is cold, in seconds, if it told.
    """

    status: int
    fields: Fields
    body: bytes
    signature: bytes
    ran: Ran
    misdirected: bool
    load: Load | None
    cold_s: float | None

    def is_success(self) -> bool:
        """Tells whether it is a searcher's own successful answer."""
        return 200 <= self.status < 300 and bool(self.signature)


class Loss(enum.Enum):
    """Why a call has no answer."""

    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    INVALID = "invalid"
    NO_ROOM = "no_room"


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """A call without an answer.

    Attributes:
        loss: Why.
        sent: True if any byte of it may have reached the searcher.
    """

    loss: Loss
    sent: bool


Outcome = Reply | Lost
Receiver = Callable[[Outcome], None]


class Codec(Protocol):
    """Names and reads the headers that the tier and searchers exchange."""

    def encode_message(self, message: Message) -> Fields:
        """Returns the headers that all calls of a message have in common."""
        ...

    def encode_call(self, call: Call) -> Fields:
        """Returns the headers that a call has besides."""
        ...

    def read_id(self, fields: Fields) -> bytes:
        """Returns the request id in a searcher's answer; empty if none."""
        ...

    def decode_reply(self, status: int, fields: Fields, body: bytes) -> Reply:
        """Reads a searcher's answer."""
        ...


class Ticket(Protocol):
    """A call that was submitted."""

    def is_sent(self) -> bool:
        """Tells whether the call was written to a connection."""
        ...

    def abandon(self, linger_s: float) -> None:
        """Ends a call whose answer nobody waits for any more.

        A call that was not written is dropped, and its receiver not called.
        One that was keeps its connection for the time given, since an answer
        that still comes saves a new connection; then it is cut.

        Args:
            linger_s: How long the answer may still come, in seconds.
        """
        ...
