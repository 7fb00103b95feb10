"""Tests of judging a request again while it waits."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import Any

import msgspec
import pytest

from azureramp import catalog, errors, metrics
from azureramp.controllers.forwarding import authentication, board, requests
from azureramp.platform import decoding
from azureramp.policy import routing
from azureramp.ports.forwarding import api
from azureramp.ports.store import api as store_api
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment

YARD = {"Name": "yard", "ApiKeys": ["k-yard", "k-old"], "Priority": 0}
DEALER = {"Name": "dealer", "ApiKeys": ["k-dealer"]}
MOVED = {"Name": "dealer", "ApiKeys": ["k-dealer", "k-yard"]}
STALE = errors.Kind.STALE_CONFIGURATION
UNKNOWN = errors.Kind.UNAUTHENTICATED


def put_in_force(
    state: board.Board, accounts: Any, public: bool = False
) -> None:
    """Puts a configuration with one route in force."""
    route = {
        "Name": "r",
        "Hostname": "h",
        "Prefix": "/",
        "RouteType": "idempotent",
        "TimeoutMs": 250,
        "TargetLatencyMs": 44,
        "Priority": 2,
        "Backend": "s",
        "Public": public,
    }
    body = {"Version": 1, "Routes": [route], "Tenants": accounts}
    update = decoding.decode(
        store_api.Entry("op/config", msgspec.json.encode(body), 1)
    )
    assert isinstance(update, catalog.ConfigurationDeclared)
    state.configuration = update.configuration
    state.table = routing.RoutingTable(update.configuration)


def authorize(state: board.Board, key: str) -> authentication.Authorization:
    """Authorizes a request with a key."""
    message = api.Message(b"r1", b"GET", b"/", [], b"")
    request = requests.IncomingRequest(
        "r1", "h", "/", None, 0.0, 0.0, 0.0, message, key
    )
    assert state.configuration is not None
    route = state.configuration.routes[0]
    return authentication.authorize(state, request, route).ok


def make_board() -> board.Board:
    settings = deployment.make_settings("vm-0", "zone-0", 30000)
    return board.Board(
        settings.identity, settings.bounds, metrics.Metrics(), 0.0
    )


@pytest.mark.parametrize(
    ("key", "old", "new", "refusal"),
    [
        ("k-yard", [YARD], [YARD, DEALER], None),
        ("k-yard", [YARD], [YARD | {"ApiKeys": ["k-yard"]}], None),
        ("k-old", [YARD], [YARD | {"ApiKeys": ["k-yard"]}], UNKNOWN),
        ("k-yard", [YARD], [DEALER], UNKNOWN),
        ("k-yard", [YARD], [], UNKNOWN),
        ("k-yard", [YARD], [YARD, MOVED], UNKNOWN),
        ("k-yard", [YARD], [MOVED], STALE),
        ("k-yard", [YARD], None, None),
        ("k-yard", None, [YARD], STALE),
        ("k-yard", None, [DEALER], UNKNOWN),
        ("", None, [YARD], UNKNOWN),
        ("", None, None, None),
    ],
)
def test_waiting_request_is_judged_by_the_newest_accounts(
    key: str, old: Any, new: Any, refusal: errors.Kind | None
) -> None:
    """Guards against a revoked key that is used, and a valid one refused."""

    async def run() -> None:
        state = make_board()
        put_in_force(state, old)
        authorization = authorize(state, key)
        put_in_force(state, new)
        failure = authorization.find_refusal()
        assert (failure.kind if failure else None) is refusal
        assert authorization.is_valid() is (refusal is None)

    virtual.run(run())


@pytest.mark.parametrize(
    ("key", "was_public", "is_public", "refusal"),
    [
        ("", True, True, None),
        ("", True, False, UNKNOWN),
        ("k-yard", True, False, None),
        ("k-yard", False, True, None),
        ("k-new", True, True, STALE),
    ],
)
def test_waiting_request_is_judged_by_the_newest_route(
    key: str, was_public: bool, is_public: bool, refusal: errors.Kind | None
) -> None:
    """Guards against a route that stays public for requests that wait."""

    async def run() -> None:
        state = make_board()
        put_in_force(state, [YARD], was_public)
        authorization = authorize(state, key)
        new = {"Name": "new", "ApiKeys": ["k-new"]}
        put_in_force(state, [YARD, new], is_public)
        failure = authorization.find_refusal()
        assert (failure.kind if failure else None) is refusal

    virtual.run(run())


@pytest.mark.parametrize("expire_s", [2.0, math.inf])
def test_waiting_request_is_not_sent_after_contact_was_lost_for_too_long(
    expire_s: float,
) -> None:
    """Guards against a retry with a key that this VM may no longer accept."""

    async def run() -> None:
        state = make_board()
        state.bounds = dataclasses.replace(state.bounds, keys_expire_s=expire_s)
        state.contact.last_answer_s = asyncio.get_running_loop().time()
        put_in_force(state, [YARD])
        authorization = authorize(state, "k-yard")
        await asyncio.sleep(1.9)
        assert authorization.is_valid()
        await asyncio.sleep(0.2)
        assert authorization.is_valid() is (expire_s == math.inf)

    virtual.run(run())


def test_priority_of_the_account_goes_before_the_routes() -> None:
    async def run() -> None:
        state = make_board()
        put_in_force(state, [YARD, DEALER])
        assert authorize(state, "k-yard").priority == 0
        assert authorize(state, "k-dealer").priority == 2

    virtual.run(run())
