"""The complete list of error kinds and how each is answered.

Every refusal or failure that a process reports is one `Kind`. `ANSWERS` gives
its HTTP status, whether the request ran, and whether and when a retry can
succeed. Human-readable texts are in `texts`; the code is always shown with
them.
"""

from __future__ import annotations

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether a failed request was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Retry(enum.Enum):
    """What the caller should do next."""

    NEVER = "never"
    SAME = "same"
    OTHER_ADDRESS = "other_address"
    READ_STATE = "read_state"


class Kind(enum.Enum):
    """Every way in which a request can fail; the value is the stable code."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    KEYS_OUTDATED = "keys_outdated"
    ACCOUNT_LIMIT = "account_limit"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    INVALID_RESOURCE = "invalid_resource"
    CONFLICT = "conflict"
    NOT_IN_FORCE = "not_in_force"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    COVERAGE_TOO_LOW = "coverage_too_low"
    SHARDS_UNREACHABLE = "shards_unreachable"
    SHARDS_MISSING = "shards_missing"
    NO_SNAPSHOT = "no_snapshot"
    QUARANTINED = "quarantined"
    SHED = "shed"
    COLD = "cold"
    NOT_OWNER = "not_owner"
    ZONE_OUT = "zone_out"
    LEAVING = "leaving"
    STALE_CONFIGURATION = "stale_configuration"
    NO_CONFIGURATION = "no_configuration"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    STORE_HISTORY_GONE = "store_history_gone"
    STORE_ANSWER_UNUSABLE = "store_answer_unusable"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONNECTION_LOST = "connection_lost"
    CROSSED_REPLY = "crossed_reply"
    VERSION_GONE = "version_gone"
    BACKEND_CRASHED = "backend_crashed"
    BACKEND_FAILED = "backend_failed"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """How one error kind is answered.

    Attributes:
        status: The HTTP status.
        ran: Whether the request was executed.
        retry: What the caller should do next.
        retry_after_ms: Default delay before a retry can succeed, in
            milliseconds; 0 if an immediate retry is fine or any retry is
            useless.
    """

    status: int
    ran: Execution
    retry: Retry
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """A failure that is reported to the caller.

    Attributes:
        kind: The error kind.
        detail: Details for logs and operators; never contains callers' data.
        retry_after_ms: Delay before a retry can succeed, in milliseconds; None
            for the default in `ANSWERS`.
    """

    kind: Kind
    detail: str = ""
    retry_after_ms: int | None = None

    def get_retry_after_ms(self) -> int:
        """Returns the delay before a retry can succeed, in milliseconds."""
        if self.retry_after_ms is not None:
            return self.retry_after_ms
        return ANSWERS[self.kind].retry_after_ms

    def get_answer(self) -> Answer:
        """Returns how this failure's kind is answered."""
        return ANSWERS[self.kind]


ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(400, Execution.NOT_RUN, Retry.NEVER),
    Kind.TOO_LARGE: Answer(413, Execution.NOT_RUN, Retry.NEVER),
    Kind.UNAUTHENTICATED: Answer(401, Execution.NOT_RUN, Retry.NEVER),
    Kind.KEYS_OUTDATED: Answer(
        503, Execution.NOT_RUN, Retry.OTHER_ADDRESS, 1000
    ),
    Kind.ACCOUNT_LIMIT: Answer(429, Execution.NOT_RUN, Retry.SAME, 1000),
    Kind.FORBIDDEN: Answer(403, Execution.NOT_RUN, Retry.NEVER),
    Kind.NOT_FOUND: Answer(404, Execution.NOT_RUN, Retry.NEVER),
    Kind.METHOD_NOT_ALLOWED: Answer(405, Execution.NOT_RUN, Retry.NEVER),
    Kind.INVALID_RESOURCE: Answer(422, Execution.NOT_RUN, Retry.NEVER),
    Kind.CONFLICT: Answer(409, Execution.NOT_RUN, Retry.READ_STATE),
    Kind.NOT_IN_FORCE: Answer(503, Execution.UNKNOWN, Retry.READ_STATE, 1000),
    Kind.OVERLOADED: Answer(503, Execution.NOT_RUN, Retry.SAME, 1000),
    Kind.DEADLINE_TOO_SHORT: Answer(503, Execution.NOT_RUN, Retry.SAME, 1000),
    Kind.DEADLINE_PASSED: Answer(504, Execution.UNKNOWN, Retry.SAME),
    Kind.SHARDS_UNREACHABLE: Answer(503, Execution.NOT_RUN, Retry.SAME, 300),
    Kind.SHARDS_MISSING: Answer(502, Execution.UNKNOWN, Retry.SAME),
    Kind.STORE_HISTORY_GONE: Answer(503, Execution.NOT_RUN, Retry.SAME),
    Kind.STORE_ANSWER_UNUSABLE: Answer(
        503, Execution.NOT_RUN, Retry.SAME, 2000
    ),
    Kind.COVERAGE_TOO_LOW: Answer(503, Execution.RAN, Retry.SAME, 1000),
    Kind.NO_SNAPSHOT: Answer(503, Execution.NOT_RUN, Retry.SAME, 1000),
    Kind.QUARANTINED: Answer(503, Execution.NOT_RUN, Retry.SAME, 60000),
    Kind.SHED: Answer(503, Execution.NOT_RUN, Retry.SAME, 500),
    Kind.COLD: Answer(503, Execution.NOT_RUN, Retry.SAME, 1000),
    Kind.NOT_OWNER: Answer(503, Execution.NOT_RUN, Retry.SAME, 200),
    Kind.ZONE_OUT: Answer(503, Execution.NOT_RUN, Retry.OTHER_ADDRESS),
    Kind.LEAVING: Answer(503, Execution.NOT_RUN, Retry.OTHER_ADDRESS),
    Kind.STALE_CONFIGURATION: Answer(
        503, Execution.NOT_RUN, Retry.OTHER_ADDRESS
    ),
    Kind.NO_CONFIGURATION: Answer(
        503, Execution.NOT_RUN, Retry.OTHER_ADDRESS, 500
    ),
    Kind.STORE_UNAVAILABLE: Answer(503, Execution.NOT_RUN, Retry.SAME, 2000),
    Kind.STORE_OUTCOME_UNKNOWN: Answer(
        503, Execution.UNKNOWN, Retry.READ_STATE, 2000
    ),
    Kind.KEY_REUSED: Answer(422, Execution.NOT_RUN, Retry.NEVER),
    Kind.IN_PROGRESS: Answer(409, Execution.UNKNOWN, Retry.SAME, 500),
    Kind.OUTCOME_UNKNOWN: Answer(502, Execution.UNKNOWN, Retry.READ_STATE),
    Kind.CONNECTION_LOST: Answer(502, Execution.UNKNOWN, Retry.SAME),
    Kind.CROSSED_REPLY: Answer(502, Execution.UNKNOWN, Retry.SAME),
    Kind.VERSION_GONE: Answer(503, Execution.NOT_RUN, Retry.SAME, 200),
    Kind.BACKEND_CRASHED: Answer(502, Execution.UNKNOWN, Retry.SAME),
    Kind.BACKEND_FAILED: Answer(502, Execution.UNKNOWN, Retry.SAME),
    Kind.CANCELLED: Answer(499, Execution.UNKNOWN, Retry.SAME),
    Kind.INTERNAL: Answer(500, Execution.UNKNOWN, Retry.SAME, 1000),
}
