"""One call of a part, and its description in the request's log line."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from azureramp.controllers.forwarding import board as board_module
from azureramp.ports.forwarding import api


@dataclasses.dataclass(slots=True)
class Attempt:
    """One call of a part.

    Attributes:
        target: The searcher.
        sent_s: When it was submitted.
        ticket: The submitted call.
        overdue: True once it is counted as overdue.
        ended: True once its outcome is known.
        ended_s: When that was.
        outcome: Its outcome in a word; empty while it is not known.
        judged: True once it counts for or against its searcher's version.
    """

    target: board_module.Target
    sent_s: float
    ticket: api.Ticket | None = None
    overdue: bool = False
    ended: bool = False
    ended_s: float = 0.0
    outcome: str = ""
    judged: bool = False


def describe(
    service: str, attempts: Sequence[Attempt], began_s: float
) -> list[str]:
    """Describes the calls of a part, unless the first one ended it well.

    Args:
        service: The service that was asked.
        attempts: The calls in the order of their sending.
        began_s: When the request began.
    """
    if not attempts:
        return [f"{service} none: no searcher may get it"]
    if len(attempts) == 1 and attempts[0].outcome == "200":
        return []
    told: list[str] = []
    for attempt in attempts:
        sent_ms = round((attempt.sent_s - began_s) * 1000)
        end = attempt.outcome or "no answer yet"
        if attempt.ended:
            end = f"{round((attempt.ended_s - began_s) * 1000)} {end}"
        name = attempt.target.searcher.id
        told.append(f"{service} {name} {sent_ms}: {end}")
    return told


def describe_outcome(outcome: api.Outcome) -> str:
    """Returns a call's outcome in a word or two."""
    match outcome:
        case api.Reply(misdirected=True):
            return "another searcher answered"
        case api.Reply(status=status, ran=api.Ran.NO):
            return f"{status} not run"
        case api.Reply(status=status, signature=b""):
            return f"{status} unsigned"
        case api.Reply(status=status):
            return str(status)
        case api.Lost(loss=loss, sent=sent):
            return f"{loss.value}{'' if sent else ', not sent'}"
