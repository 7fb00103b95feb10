"""The closed list of validation rules for resources."""

from __future__ import annotations

import dataclasses
import enum


class Rule(enum.Enum):
    """A validation rule for a field; the value is its stable code."""

    TYPE = "type"
    EMPTY = "empty"
    TOO_LONG = "too_long"
    NOT_NFC = "not_nfc"
    CHARACTER = "character"
    BOUNDS = "bounds"
    DUPLICATE = "duplicate"
    UNKNOWN_REFERENCE = "unknown_reference"
    STILL_REFERENCED = "still_referenced"
    TOKEN_HASH = "token_hash"
    ADDRESS = "address"
    MAP_NAME = "map_name"
    RANGE_EMPTY = "range_empty"
    RANGE_GAP = "range_gap"
    RANGE_OVERLAP = "range_overlap"
    POLICY_NAME = "policy_name"


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """A rule that a field violates.

    Attributes:
        field: The field's path, such as `shards[1].low`.
        rule: The violated rule.
        value: The invalid value, or the expected one; may be empty.
    """

    field: str
    rule: Rule
    value: str = ""
