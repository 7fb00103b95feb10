"""Tests of decoding the store's entries."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from azureramp import catalog, rollout_types
from azureramp.platform import decoding
from azureramp.policy import identity
from azureramp.ports.store import api

ROUTE = {
    "Name": "r",
    "Hostname": "Search.Example",
    "Prefix": "/a/",
    "RouteType": "idempotent",
    "TimeoutMs": 250,
    "TargetLatencyMs": 44,
    "Priority": 2,
    "Attempts": 2,
}

SEARCHER = {
    "Backend": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 2,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "born": 17,
}


def decode(key: str, body: Any) -> catalog.Update | None:
    value = None if body is None else msgspec.json.encode(body)
    return decoding.decode(api.Entry(key, value, 1))


def decode_route(**fields: Any) -> catalog.Route:
    body = {"Version": 1, "Routes": [ROUTE | fields], "Services": []}
    update = decode("op/config", body)
    assert isinstance(update, catalog.ConfigurationDeclared)
    return update.configuration.routes[0]


def test_fanout_route() -> None:
    route = decode_route(FanoutServices=["a", "b"], TopK=5, MinShardShare=0.75)
    assert route.destination == catalog.FanoutDestination(("a", "b"), 5, 0.75)
    assert route.host == "search.example"
    assert route.timeout_s == 0.25
    assert route.repeatable


def test_split_route() -> None:
    split = [{"Backend": "a", "Weight": 3}, {"Backend": "b", "Weight": 1}]
    route = decode_route(TrafficSplit=split)
    expected = (
        catalog.WeightedService("a", 3),
        catalog.WeightedService("b", 1),
    )
    assert route.destination == catalog.SplitDestination(expected)


@pytest.mark.parametrize("kind", ["non_idempotent", "something_new"])
def test_routes_of_any_other_type_are_not_repeatable(kind: str) -> None:
    assert not decode_route(Backend="a", RouteType=kind).repeatable


def test_invalid_configuration_is_unreadable() -> None:
    update = decode("op/config", {"Version": "x"})
    assert isinstance(update, catalog.InvalidEntry)


def test_searcher() -> None:
    update = decode("servers/i-1", SEARCHER)
    assert update == catalog.SearcherAnnounced(
        catalog.Searcher(
            id="i-1",
            service="s",
            address="10.0.0.1:80",
            zone="z",
            slots=2,
            state=catalog.SearcherState.READY,
            cold_remaining_s=1.5,
            started_ms=17,
        )
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"State": "asleep"},
        {"Address": "nowhere"},
        {"Address": 5},
        {"Backend": ""},
        {"Slots": "two"},
        {"Zone": None},
    ],
)
def test_invalid_searcher_entry_removes_the_searcher(
    fields: dict[str, Any],
) -> None:
    update = decode("servers/i-1", SEARCHER | fields)
    assert update == catalog.SearcherRemoved("i-1")


def test_deletions_and_evacuations() -> None:
    assert decode("servers/i-1", None) == catalog.SearcherRemoved("i-1")
    assert decode("op/evacuate/z", {}) == catalog.ZoneEvacuationChanged(
        "z", True
    )
    assert decode("op/evacuate/z", None) == catalog.ZoneEvacuationChanged(
        "z", False
    )
    assert decode("azureramp/members/v", None) == catalog.MemberRemoved("v")
    assert decode("status/else", {}) is None


def test_version_of_a_searcher() -> None:
    update = decode("servers/i-1", SEARCHER | {"Version": "v2"})
    assert isinstance(update, catalog.SearcherAnnounced)
    assert update.searcher.version == "v2"


def test_rollout_order_and_its_withdrawal() -> None:
    body = {"Backend": "s", "TargetVersion": "v2", "DurationS": 12}
    assert decode("op/rollout/s", body) == catalog.RolloutOrdered(
        rollout_types.Order("s", "v2", 12.0, 1)
    )
    assert decode("op/rollout/s", None) == catalog.RolloutWithdrawn("s")


@pytest.mark.parametrize("body", [{}, {"TargetVersion": ""}, [1], "x"])
def test_invalid_rollout_order_is_unreadable(body: Any) -> None:
    assert isinstance(decode("op/rollout/s", body), catalog.InvalidEntry)


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (rollout_types.Phase.TRIAL, "running"),
        (rollout_types.Phase.MOVING, "running"),
        (rollout_types.Phase.COMPLETED, "completed"),
        (rollout_types.Phase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_rollout_record_round_trip_and_reported_status(
    phase: rollout_types.Phase, state: str
) -> None:
    record = rollout_types.Record(
        order=rollout_types.Order("s", "v2", 12.0, 9),
        phase=phase,
        old=("v1",),
        barred=("v0",),
        driver="vm#1",
        driver_address="10.0.0.1:80",
        age_s=1.5,
        written_ms=17,
        requests=100,
        reserved=20,
        usual={"route": 0.02},
        reason="it begins",
    )
    key, status_key = decoding.make_rollout_keys("s")
    value, status = decoding.encode_rollout(record)
    decoded = decoding.decode(api.Entry(key, value, 5))
    assert decoded == catalog.RolloutRecorded(record, 5)
    assert status_key == "status/rollout/s"
    assert msgspec.json.decode(status) == {
        "State": state,
        "TargetVersion": "v2",
    }


def test_a_vm_entry_without_a_link_is_still_read() -> None:
    """Guards against VMs of an older version that drop out of the roster."""
    entry = {
        "vm": "v",
        "zone": "z",
        "address": "a:1",
        "peer_address": "a:2",
        "cores": 2.0,
        "leaving": False,
    }
    update = decode("azureramp/members/v", entry)
    assert isinstance(update, catalog.MemberAnnounced)
    assert update.member.link_mbps == 0.0
    entry["link_mbps"] = 30.5
    update = decode("azureramp/members/v", entry)
    assert isinstance(update, catalog.MemberAnnounced)
    assert update.member.link_mbps == 30.5


def decode_accounts(*tenants: Any) -> catalog.Accounts:
    body = {"Version": 1, "Routes": [ROUTE | {"Backend": "s"}]}
    update = decode("op/config", body | {"Tenants": tenants})
    assert isinstance(update, catalog.ConfigurationDeclared)
    accounts = update.configuration.accounts
    assert accounts is not None
    return accounts


def test_client_account() -> None:
    accounts = decode_accounts(
        {
            "Name": "Dealer 7",
            "ApiKeys": ["k1", "", "k2", "k1"],
            "Priority": 1,
            "RatePerS": 12.5,
            "Burst": 30,
            "Unknown": {},
        },
        {"Name": "plain"},
    )
    hashes = tuple(identity.hash_token(key) for key in ("k1", "k2"))
    assert accounts.by_name["Dealer 7"] == catalog.Account(
        "Dealer 7", hashes, 1, 12.5, 30.0
    )
    assert accounts.by_name["plain"] == catalog.Account("plain", ())


@pytest.mark.parametrize(
    "tenant",
    [
        {"Name": "bad", "ApiKeys": "secret"},
        {"Name": "bad", "ApiKeys": ["secret", 5]},
        {"Name": "bad", "ApiKeys": ["secret"], "RatePerS": "fast"},
        {"Name": "bad", "ApiKeys": ["secret"], "Priority": 1.5},
        {"Name": "bad", "ApiKeys": ["secret"], "RatePerS": -1},
        {"Name": "bad", "ApiKeys": ["secret"], "RatePerS": 5, "Burst": -1},
        {"Name": ["secret"]},
        {"ApiKeys": ["secret"]},
        ["secret"],
        "secret",
        None,
        {"Name": "", "ApiKeys": ["secret"]},
        {"Name": "a\r\nX-Y: z", "ApiKeys": ["secret"]},
        {"Name": " padded ", "ApiKeys": ["secret"]},
        {"Name": "náutica", "ApiKeys": ["secret"]},
        {"Name": "n" * 300, "ApiKeys": ["secret"]},
    ],
)
def test_invalid_account_is_left_out_and_its_keys_are_not_shown(
    tenant: Any,
) -> None:
    """Guards against one account that keeps a configuration out of force."""
    accounts = decode_accounts(tenant, {"Name": "good", "ApiKeys": ["k"]})
    assert list(accounts.by_name) == ["good"]
    assert list(accounts.by_key_hash) == [identity.hash_token("k")]
    (problem,) = accounts.problems
    assert "left out" in problem
    assert "secret" not in problem
    assert len(problem) < 200


@pytest.mark.parametrize("tenants", [{}, "secret", 5, [1, {"Name": "x"}, "x]"]])
def test_reason_of_an_invalid_configuration_shows_no_key(tenants: Any) -> None:
    body = {"Version": "x", "Routes": [ROUTE], "Tenants": tenants}
    update = decode("op/config", body)
    assert isinstance(update, catalog.InvalidEntry)
    assert "secret" not in update.reason


def test_deeply_nested_configuration_is_unreadable() -> None:
    """Guards against an entry that ends the loop which applies entries."""
    value = b'{"Version":1,"Routes":[],"Tenants":' + b"[" * 100_000
    update = decoding.decode(api.Entry("op/config", value, 1))
    assert isinstance(update, catalog.InvalidEntry)


def test_configuration_without_accounts_needs_no_keys() -> None:
    for more in ({}, {"Tenants": None}):
        body = {"Version": 1, "Routes": []} | more
        update = decode("op/config", body)
        assert isinstance(update, catalog.ConfigurationDeclared)
        assert update.configuration.accounts is None
    assert decode_accounts() == catalog.Accounts({}, {})
