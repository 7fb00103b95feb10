"""The interface to the VM that drives a roll-out."""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import errors, rollout_types

REPORTS_PATH = "/v1/rollouts/reports"
"""Where the driver takes reports."""

CONTENT_TYPE = "application/msgpack"


class Count(msgspec.Struct, frozen=True):
    """How calls ended, as a running total since the order.

    Attributes:
        route: The route's name.
        searcher: The searcher of the new version; empty for all of the old.
        answers: How many ended.
        bad: Of these, how many failed or took several times as long as usual.
        usual_ms: How long the old version's calls usually last, in
            milliseconds; 0 if that isn't known.
    """

    route: str
    searcher: str
    answers: int
    bad: int
    usual_ms: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """What a process saw of a roll-out, in running totals since the order.

    Attributes:
        process: The process, which is another one after each start.
        vm: Its VM.
        service: The service.
        order: The order's revision.
        requests: Calls to the service, whatever the version.
        spent: Of these, calls to the new version.
        counts: How they ended.
        has_moved: True if all its requests go to the new version now and no
            call is left at an old searcher.
    """

    process: str
    vm: str
    service: str
    order: int
    requests: int
    spent: int
    counts: tuple[Count, ...]
    has_moved: bool


class Grant(msgspec.Struct, frozen=True):
    """What the driver answers.

    Attributes:
        order: The order's revision.
        phase: How far the roll-out is.
        limit: Calls to the new version that the process may make since the
            order, while the roll-out is on trial.
        good_ms: How long this holds from the sending of the report, in
            milliseconds.
    """

    order: int
    phase: rollout_types.Phase
    limit: int
    good_ms: int


class Drivers(Protocol):
    """The VMs that drive roll-outs.

    Errors: `NOT_OWNER` if the VM doesn't drive this roll-out, or may not
    decide now; `CONNECTION_LOST` if it can't be reached.
    """

    async def report(
        self, address: str, report: Report
    ) -> expression.Result[Grant, errors.Failure]:
        """Reports to the VM at `IP:port`."""
        ...

    async def close(self) -> None:
        """Closes every connection."""
        ...


def encode(message: Report | Grant) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


_report_decoder = msgspec.msgpack.Decoder(Report)
_grant_decoder = msgspec.msgpack.Decoder(Grant)


def decode_report(data: bytes) -> Report:
    """Decodes a report.

    Raises:
        DecodeError: It can't be read.
    """
    return _report_decoder.decode(data)


def decode_grant(data: bytes) -> Grant:
    """Decodes a grant.

    Raises:
        DecodeError: It can't be read.
    """
    return _grant_decoder.decode(data)
