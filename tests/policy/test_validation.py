"""Validation of declared resources."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
import pytest

from azureramp import resources, texts
from azureramp.policy import rules, validation

SEARCHER = resources.Searcher(name="s-1", address="10.0.0.1:80")
SERVER = resources.BackendServer(
    name="server-1", service="claims", zone="a", searchers=(SEARCHER,)
)
SHARDS = tuple(
    resources.Shard(
        name=f"n{low}", low=low, high=low + 10, size=1, searchers=("s-1",)
    )
    for low in (0, 10, 20)
)
MAP = resources.ShardMap(
    name="arrears.1", index="arrears", version=1, shards=SHARDS
)
CALLER = resources.Caller(
    name="desk", token_sha256="0" * 64, services=("claims",)
)
SERVICE = resources.Service(name="claims", indexes=("arrears",))
POLICY = resources.Policy(name="default")


def make_configuration() -> resources.Configuration:
    configuration = resources.Configuration()
    for resource in (
        resources.Zone(name="a"),
        SERVICE,
        SERVER,
        MAP,
        resources.Caller(
            name="other", token_sha256="1" * 64, services=("claims",)
        ),
    ):
        kind = resources.get_kind(resource)
        configuration.entries[(kind, resource.name)] = resources.Versioned(
            resource, kind, resource.name, 1
        )
    return configuration


def change(resource: Any, **fields: Any) -> Any:
    return msgspec.structs.replace(resource, **fields)


def change_searcher(**fields: Any) -> Any:
    return change(SERVER, searchers=(change(SEARCHER, **fields),))


def change_shard(number: int, **fields: Any) -> Any:
    shards = list(SHARDS)
    shards[number] = change(shards[number], **fields)
    return change(MAP, shards=tuple(shards))


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """An invalid resource, with the field and the rule that it violates."""

    resource: Any
    field: str
    rule: str


CASES = [
    Case(change(SERVICE, name=""), "name", "empty"),
    Case(change(SERVICE, name="x" * 129), "name", "too_long"),
    Case(change(SERVICE, name="Kova\u0301cs"), "name", "not_nfc"),
    Case(change(SERVICE, name="a/b"), "name", "character"),
    Case(change(SERVICE, name="a\nb"), "name", "character"),
    Case(change(SERVICE, name=" a"), "name", "character"),
    Case(change(SERVICE, indexes=()), "indexes", "empty"),
    Case(change(SERVICE, indexes=("a", "a")), "indexes[1]", "duplicate"),
    Case(change(CALLER, token_sha256="F" * 64), "token_sha256", "token_hash"),
    Case(change(CALLER, token_sha256="1" * 64), "token_sha256", "duplicate"),
    Case(
        change(CALLER, services=("none",)), "services[0]", "unknown_reference"
    ),
    Case(change(CALLER, weight=0.0), "weight", "bounds"),
    Case(change(CALLER, weight=float("nan")), "weight", "bounds"),
    Case(change(SERVER, service="none"), "service", "unknown_reference"),
    Case(change(SERVER, zone="none"), "zone", "unknown_reference"),
    Case(change(SERVER, searchers=()), "searchers", "empty"),
    Case(
        change(SERVER, searchers=(change(SEARCHER, name="s-2"),)),
        "searchers",
        "still_referenced",
    ),
    Case(change(SERVER, name="server-2"), "searchers[0].address", "duplicate"),
    Case(change_searcher(address="host:80"), "searchers[0].address", "address"),
    Case(
        change_searcher(address="10.0.0.1:0"),
        "searchers[0].address",
        "address",
    ),
    Case(change_searcher(slots=0), "searchers[0].slots", "bounds"),
    Case(change_searcher(connections=1), "searchers[0].connections", "bounds"),
    Case(change_searcher(cold_limit=3), "searchers[0].cold_limit", "bounds"),
    Case(change(MAP, version=2), "name", "map_name"),
    Case(change(MAP, shards=()), "shards", "empty"),
    Case(change_shard(1, low=11), "shards[1].low", "range_gap"),
    Case(change_shard(1, low=9), "shards[1].low", "range_overlap"),
    Case(change_shard(1, high=10), "shards[1].high", "range_empty"),
    Case(change_shard(1, name="n0"), "shards[1]", "duplicate"),
    Case(change_shard(1, size=-1), "shards[1].size", "bounds"),
    Case(change_shard(1, searchers=()), "shards[1].searchers", "empty"),
    Case(
        change_shard(1, searchers=("none",)),
        "shards[1].searchers[0]",
        "unknown_reference",
    ),
    Case(change(POLICY, name="other"), "name", "policy_name"),
    Case(change(POLICY, hedge_budget=1.5), "hedge_budget", "bounds"),
    Case(change(POLICY, queue_ms=0), "queue_ms", "bounds"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.rule)
def test_a_problem_names_the_field_and_the_rule(case: Case) -> None:
    problems = validation.check_resource(case.resource, make_configuration())

    assert (case.field, case.rule) in [
        (problem.field, problem.rule.value) for problem in problems
    ]


@pytest.mark.parametrize("resource", [SERVER, MAP, CALLER, SERVICE, POLICY])
def test_valid_resources_have_no_problems(resource: Any) -> None:
    assert validation.check_resource(resource, make_configuration()) == []


@pytest.mark.parametrize(
    ("kind", "name", "users"),
    [
        ("availability_zone", "a", ["backend_server/server-1"]),
        ("service", "claims", ["backend_server/server-1", "caller/other"]),
        ("backend_server", "server-1", ["shard_map/arrears.1"]),
        ("shard_map", "arrears.1", []),
    ],
)
def test_a_referenced_resource_is_not_deleted(
    kind: str, name: str, users: list[str]
) -> None:
    problems = validation.check_deletion(kind, name, make_configuration())

    assert [problem.value for problem in problems] == users


@pytest.mark.parametrize("rule", rules.Rule)
def test_each_rule_has_a_text_in_both_languages(rule: rules.Rule) -> None:
    assert texts.RULES[rule].en
    assert texts.RULES[rule].hu
