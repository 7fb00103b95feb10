"""Tests of the daemon's settings."""

from __future__ import annotations

import pytest

from azureramp import settings

VALUES: dict[str, str | None] = {
    "vm": "edinburgh-1",
    "zone": "edinburgh-a",
    "http_address": "127.0.0.1:8700",
    "peer_address": "127.0.0.1:8701",
    "store_address": "127.0.0.1:8600",
    "vmlist_address": "127.0.0.1:8600",
    "peer_key": "secret",
    "operator_token_sha256": "ab" * 32,
}


def test_defaults_are_valid() -> None:
    parsed = settings.parse(VALUES)

    assert parsed.ok.watchers == 2
    assert parsed.ok.zone == "edinburgh-a"


def test_name_is_normalized() -> None:
    parsed = settings.parse({**VALUES, "zone": "Gyo\u030br"})

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
def test_invalid_value_is_described_in_one_complete_line(
    field: str, value: str | None, allowed: str
) -> None:
    line = str(settings.parse({**VALUES, field: value}).error)

    assert "\n" not in line
    assert f"--{field.replace('_', '-')}" in line
    assert f"AZURERAMP_{field.upper()}" in line
    assert allowed in line
    assert value is None or repr(value) in line
