"""One call made for a part, and its description in the request's log line."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from azureramp.controllers.forwarding import board as board_module
from azureramp.ports.forwarding import api


@dataclasses.dataclass(slots=True)
class Attempt:
    """One call of a part.

    Attributes:
        target: The searcher that was called.
        sent_s: When the call was submitted to the searcher's pool.
        known: What this VM had received of the store's changes by then.
        pending_call: The submitted call; None until it is submitted.
        overdue: True once the call is counted as overdue.
        ended: True once its outcome is known.
        ended_s: When the outcome became known.
        outcome: A short description of the outcome; empty until it is known.
        reported: True once the outcome was counted for its searcher's version.
    """

    target: board_module.Target
    sent_s: float
    known: board_module.ReceivedUpdates
    pending_call: api.PendingCall | None = None
    overdue: bool = False
    ended: bool = False
    ended_s: float = 0.0
    outcome: str = ""
    reported: bool = False


def describe(
    service: str, attempts: Sequence[Attempt], began_s: float
) -> list[str]:
    """Describes a part's calls, unless it made only one and that succeeded.

    Args:
        service: The service that was called.
        attempts: The calls in the order in which they were made.
        began_s: When the request began, on the loop's clock.

    Returns:
        One text per call, with times in milliseconds since the request began.
    """
    if not attempts:
        return [f"{service} none: no searcher may get it"]
    if len(attempts) == 1 and attempts[0].outcome == "200":
        return []
    lines: list[str] = []
    for attempt in attempts:
        sent_ms = round((attempt.sent_s - began_s) * 1000)
        end = attempt.outcome or "no answer yet"
        if attempt.ended:
            end = f"{round((attempt.ended_s - began_s) * 1000)} {end}"
        name = attempt.target.searcher.id
        lines.append(f"{service} {name} {sent_ms}: {end}")
    return lines


def describe_outcome(outcome: api.Outcome) -> str:
    """Returns a short description of a call's outcome."""
    match outcome:
        case api.Reply(misdirected=True):
            return "another searcher answered"
        case api.Reply(status=status, ran=api.Execution.NO):
            return f"{status} not run"
        case api.Reply(status=status, signature=b""):
            return f"{status} unsigned"
        case api.Reply(status=status):
            return str(status)
        case api.LostCall(loss=loss, sent=sent):
            return f"{loss.value}{'' if sent else ', not sent'}"
