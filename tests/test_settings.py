"""The daemon's settings."""

from __future__ import annotations

import pytest

from azureramp import settings

GIVEN: dict[str, str | None] = {
    "vm": "edinburgh-1",
    "zone": "edinburgh-a",
    "http_address": "127.0.0.1:8700",
    "peer_address": "127.0.0.1:8701",
    "store_address": "127.0.0.1:8600",
    "vmlist_address": "127.0.0.1:8600",
    "peer_key": "secret",
    "operator_token_sha256": "ab" * 32,
}


def test_the_defaults_are_allowed() -> None:
    parsed = settings.parse(GIVEN)

    assert parsed.ok.watchers == 2
    assert parsed.ok.zone == "edinburgh-a"


def test_a_name_is_normalized() -> None:
    parsed = settings.parse({**GIVEN, "zone": "Gyo\u030br"})

    assert parsed.ok.zone == "Győr"


@pytest.mark.parametrize(
    ("field", "value", "allowed"),
    [
        ("vm", None, "a string that is not empty"),
        ("vm", "", "a string that is not empty"),
        ("http_address", "localhost:80", "IP:port"),
        ("http_address", "127.0.0.1", "IP:port"),
        ("http_address", "127.0.0.1:70000", "IP:port"),
        ("http_address", "[127.0.0.1:80", "IP:port"),
        ("operator_token_sha256", "AB" * 32, "64 lower-case"),
        ("heartbeat_ms", "9", "a whole number from 10 to 10000"),
        ("heartbeat_ms", "1e3", "a whole number"),
        ("heartbeat_ms", "-250", "a whole number"),
        ("heartbeat_ms", "٢٥٠", "a whole number"),
        ("lease_ms", "500", "more than twice --heartbeat-ms (250)"),
    ],
)
def test_a_wrong_value_is_one_line_that_names_all(
    field: str, value: str | None, allowed: str
) -> None:
    line = str(settings.parse({**GIVEN, field: value}).error)

    assert "\n" not in line
    assert f"--{field.replace('_', '-')}" in line
    assert f"AZURERAMP_{field.upper()}" in line
    assert allowed in line
    assert value is None or repr(value) in line
