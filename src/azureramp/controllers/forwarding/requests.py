"""A caller's request and the answers to it, independent of the wire format."""

from __future__ import annotations

import dataclasses

from azureramp import errors
from azureramp.ports.forwarding import api


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """A request as received.

    Attributes:
        id: The id that the caller gave this attempt.
        host: The host that it names, in lower case and without a port.
        path: The path as sent, without the query.
        deadline_s: How long the caller waits, in seconds; None if not stated.
        began_s: When its first byte was read, on the loop's clock.
        round_trip_s: The round trip to the caller, in seconds; 0 if unknown.
        connection_setup_s: The time that the caller spent on opening its
            connection, in seconds.
        message: The message to forward.
        key: The key that identifies its client account; empty if none was
            sent.
    """

    id: str
    host: str
    path: str
    deadline_s: float | None
    began_s: float
    round_trip_s: float
    connection_setup_s: float
    message: api.Message
    key: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(slots=True, frozen=True)
class MalformedRequest:
    """A request that lacks something that every request must have.

    Attributes:
        reason: What is wrong with it.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherAnswer:
    """One searcher's answer, unchanged."""

    reply: api.Reply


@dataclasses.dataclass(slots=True, frozen=True)
class MergedAnswer:
    """The merged answer of several shards.

    Attributes:
        request_id: The request's id.
        signatures: The signatures of the parts that it includes.
        missing: Number of shards that it doesn't include.
        body: The greatest records of the included parts, in descending order.
    """

    request_id: str
    signatures: tuple[bytes, ...]
    missing: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """The answer to a request for which no searcher's answer is returned.

    Attributes:
        failure: The reason; the table of error kinds says whether the request
            ran.
        request_id: The request's id; empty if it has none.
        closes_connection: True if the caller's connection closes after the
            answer.
    """

    failure: errors.Failure
    request_id: str = ""
    closes_connection: bool = False


Answer = SearcherAnswer | MergedAnswer | Refusal
