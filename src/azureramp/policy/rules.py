"""The closed list of rules that resources must keep."""

from __future__ import annotations

import dataclasses
import enum


class Rule(enum.Enum):
    """What a field must be; the value is the stable code."""

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
    """One rule that one field breaks.

    Attributes:
        field: The field's path, such as `shards[1].low`.
        rule: The rule.
        value: The value that breaks it, or what it should be.
    """

    field: str
    rule: Rule
    value: str = ""
