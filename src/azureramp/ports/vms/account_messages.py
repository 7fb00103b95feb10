"""Messages between VMs about the client accounts' limits."""

from __future__ import annotations

import msgspec

REPORTS_PATH = "/v1/accounts/reports"
"""Path at which the VM that decides for accounts accepts reports."""

RELEASES_PATH = "/v1/accounts/releases"
"""Path at which a VM accepts requests to give up accounts."""

LISTS_PATH = "/v1/accounts/lists"
"""Path at which a VM tells which list of advertised VMs it has."""

PATHS = frozenset((REPORTS_PATH, RELEASES_PATH, LISTS_PATH))

CONTENT_TYPE = "application/msgpack"


class Use(msgspec.Struct, frozen=True, array_like=True):
    """A process's use of one account, in running totals.

    Attributes:
        account: The account's name.
        asked: The uses and the requests that wait for a token.
        settled: The total of which the process knows that it is settled.
    """

    account: str
    asked: int
    settled: int


class Report(msgspec.Struct, frozen=True):
    """A process's uses of accounts that the receiver decides for.

    Attributes:
        process: The process's name, which changes at each start.
        uses: The uses.
    """

    process: str
    uses: tuple[Use, ...]


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """The decision on one account; see `account_buckets.Decision`.

    Attributes:
        state: The state's value.
        settled: The running total that is settled.
        room_ms: Time until there is room, in milliseconds.
        return_ms: Time after which a caller should return, in milliseconds.
        spacing_ms: Time between the returns of callers, in milliseconds.
        owner: The VM that the answering one takes for the owner; empty if that
            is itself.
    """

    state: str
    settled: int
    room_ms: int
    return_ms: int
    spacing_ms: int
    owner: str = ""


class ReportAnswer(msgspec.Struct, frozen=True):
    """The decisions on a report, in the order of its uses."""

    settlements: tuple[Settlement, ...]


class ReleaseRequest(msgspec.Struct, frozen=True):
    """A request to give up accounts.

    Attributes:
        vm: The VM that takes itself for their owner.
        accounts: The accounts' names.
    """

    vm: str
    accounts: tuple[str, ...]


class ReleasedBucket(msgspec.Struct, frozen=True, array_like=True):
    """One account that was given up; see `account_lending.Released`."""

    level: float | None
    holder: str


class ReleaseAnswer(msgspec.Struct, frozen=True):
    """The accounts that were given up, in the order of the request."""

    buckets: tuple[ReleasedBucket, ...]


class ListAnswer(msgspec.Struct, frozen=True):
    """The list of advertised VMs that a VM has.

    Attributes:
        list_id: Identifies the list.
    """

    list_id: int


def encode(
    message: ListAnswer
    | Report
    | ReportAnswer
    | ReleaseRequest
    | ReleaseAnswer,
) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


_report_decoder = msgspec.msgpack.Decoder(Report)
_report_answer_decoder = msgspec.msgpack.Decoder(ReportAnswer)
_list_answer_decoder = msgspec.msgpack.Decoder(ListAnswer)
_release_decoder = msgspec.msgpack.Decoder(ReleaseRequest)
_release_answer_decoder = msgspec.msgpack.Decoder(ReleaseAnswer)


def decode_report(data: bytes) -> Report:
    """Decodes a report.

    Raises:
        DecodeError: The data is malformed.
    """
    return _report_decoder.decode(data)


def decode_report_answer(data: bytes) -> ReportAnswer:
    """Decodes the answer to a report.

    Raises:
        DecodeError: The data is malformed.
    """
    return _report_answer_decoder.decode(data)


def decode_release(data: bytes) -> ReleaseRequest:
    """Decodes a request to give up accounts.

    Raises:
        DecodeError: The data is malformed.
    """
    return _release_decoder.decode(data)


def decode_release_answer(data: bytes) -> ReleaseAnswer:
    """Decodes the answer to a request to give up accounts.

    Raises:
        DecodeError: The data is malformed.
    """
    return _release_answer_decoder.decode(data)


def decode_list_answer(data: bytes) -> ListAnswer:
    """Decodes the answer to a question for a VM's list.

    Raises:
        DecodeError: The data is malformed.
    """
    return _list_answer_decoder.decode(data)
