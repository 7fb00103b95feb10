"""Tests of opening connections."""

from __future__ import annotations

import asyncio

from azureramp.ports.web import connection


def test_timeout_of_a_connect_is_named_in_its_detail() -> None:
    """Guards against a failure that does not say why it failed."""
    opened = asyncio.run(connection.connect("127.0.0.1:9", 0.0))
    assert opened.error.detail == "connect to 127.0.0.1:9: timeout"
