"""The interface to the driver of a roll-out."""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import errors, rollout_types

REPORTS_PATH = "/v1/rollouts/reports"
"""Path at which a driver accepts reports."""

CONTENT_TYPE = "application/msgpack"


class Count(msgspec.Struct, frozen=True):
    """Numbers of finished calls, as running totals since the order.

    Attributes:
        route: The route's name.
        searcher: The searcher of the new version; empty for all searchers of
            the old version.
        answers: Calls that finished.
        bad: Of these, calls that failed or took several times as long as
            usual.
        usual_ms: Usual duration of calls to the old version, in milliseconds;
            0 if unknown.
    """

    route: str
    searcher: str
    answers: int
    bad: int
    usual_ms: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """A process's report on a roll-out, in running totals since the order.

    Attributes:
        process: The process's name, which changes at each start.
        vm: Its VM.
        service: The service.
        order: The order's revision.
        requests: Calls to the service, of any version.
        spent: Of these, calls to the new version.
        counts: Numbers of finished calls.
        has_moved: True if all the process's requests now use the new version
            and none of its calls to old searchers is still running.
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
    """The driver's answer to a report.

    Attributes:
        order: The order's revision.
        phase: The phase of the roll-out.
        limit: Total number of calls to the new version since the order that
            the process may make in the canary phase.
        good_ms: Validity of the grant, counted from the sending of the report,
            in milliseconds.
    """

    order: int
    phase: rollout_types.Phase
    limit: int
    good_ms: int


class DriverClient(Protocol):
    """Client of the VMs that drive roll-outs.

    Errors: `NOT_OWNER` if the VM doesn't drive this roll-out or may not decide
    now; `CONNECTION_LOST` if it is unreachable.
    """

    async def report(
        self, address: str, report: Report
    ) -> expression.Result[Grant, errors.Failure]:
        """Sends a report to a driver.

        Args:
            address: The VM's peer address, `IP:port`.
            report: The report.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...


def encode(message: Report | Grant) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


_report_decoder = msgspec.msgpack.Decoder(Report)
_grant_decoder = msgspec.msgpack.Decoder(Grant)


def decode_report(data: bytes) -> Report:
    """Decodes a report.

    Raises:
        DecodeError: The data is malformed.
    """
    return _report_decoder.decode(data)


def decode_grant(data: bytes) -> Grant:
    """Decodes a grant.

    Raises:
        DecodeError: The data is malformed.
    """
    return _grant_decoder.decode(data)
