"""Conversion of decisions on client accounts to messages and back."""

from __future__ import annotations

import math

import expression
import msgspec

from azureramp import errors
from azureramp.policy import account_buckets
from azureramp.ports.vms import account_messages as messages

MAX_MS = 3_600_000
"""Upper limit of the times in messages, in milliseconds."""


def encode_decision(
    decision: account_buckets.Decision,
) -> messages.Settlement:
    """Encodes a decision."""
    return messages.Settlement(
        decision.state.value,
        decision.settled,
        _to_ms(decision.room_s),
        _to_ms(decision.return_s),
        _to_ms(decision.spacing_s),
        decision.owner,
    )


def decode_decisions(
    body: bytes, count: int
) -> expression.Result[list[account_buckets.Decision], errors.Failure]:
    """Decodes the answer to a report.

    Args:
        body: The answer.
        count: The number of accounts that were reported.

    Returns:
        The decisions; `CONNECTION_LOST` if the answer is malformed.
    """
    try:
        answer = messages.decode_report_answer(body)
        decisions = [_decode_decision(each) for each in answer.settlements]
        if len(decisions) == count:
            return expression.Ok(decisions)
        detail = f"{len(decisions)} of {count} decisions"
    except (msgspec.DecodeError, ValueError) as error:
        detail = str(error)
    return expression.Error(errors.Failure(errors.Kind.CONNECTION_LOST, detail))


def _decode_decision(
    settlement: messages.Settlement,
) -> account_buckets.Decision:
    """Decodes a decision.

    Raises:
        ValueError: Its state is unknown.
    """
    return account_buckets.Decision(
        account_buckets.State(settlement.state),
        settlement.settled,
        settlement.room_ms / 1000,
        settlement.return_ms / 1000,
        settlement.spacing_ms / 1000,
        settlement.owner,
    )


def _to_ms(time_s: float) -> int:
    """Converts a time to whole milliseconds, rounded up."""
    return math.ceil(min(time_s * 1000, MAX_MS))
