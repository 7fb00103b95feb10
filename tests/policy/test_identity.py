"""Authentication and authorization of callers."""

from __future__ import annotations

import pytest

from azureramp import catalog, errors, resources
from azureramp.policy import identity, topology
from tests.policy import query_parts


def make_caller(
    name: str, token: str, revoked: bool = False
) -> resources.Caller:
    return resources.Caller(
        name=name,
        token_sha256=identity.hash_token(token).upper(),
        services=("claims",),
        revoked=revoked,
    )


def make_table(*declared: resources.AnyResource) -> topology.Topology:
    """Builds the lookup tables of the given resources."""
    configuration = resources.Configuration()
    kinds = {kind: name for name, kind in resources.KINDS.items()}
    for resource in declared:
        kind = kinds[type(resource)]
        configuration.entries[kind, resource.name] = resources.Versioned(
            resource, kind, resource.name, 1
        )
    return topology.build_topology(configuration)


TABLE = make_table(
    make_caller("clerk", "good"),
    make_caller("old", "gone", revoked=True),
    make_caller("one", "shared"),
    make_caller("two", "shared", revoked=True),
    make_caller("long", "x" * 513),
    make_caller("odd", "árvíztűrő"),
    resources.Service(name="claims", indexes=("cover",), shards=("0",)),
    resources.Service(name="ledger", indexes=("ledger",)),
)


@pytest.mark.parametrize(
    ("authorization", "name"),
    [
        ("Bearer good", "clerk"),
        ("bearer good", "clerk"),
        ("Bearer árvíztűrő", "odd"),
        ("", None),
        ("Bearer ", None),
        ("Bearer", None),
        ("good", None),
        ("Basic good", None),
        ("Bearer Good", None),
        ("Bearer good ", None),
        ("Bearer gone", None),
        ("Bearer shared", None),
        ("Bearer " + "x" * 513, None),
        ("Bearer \udcff", None),
    ],
)
def test_only_the_exact_token_of_one_unrevoked_caller_is_accepted(
    authorization: str, name: str | None
) -> None:
    found = identity.find_caller(TABLE.callers, authorization)

    if name is None:
        assert found.error == errors.Failure(errors.Kind.UNAUTHENTICATED)
    else:
        assert found.ok.name == name


@pytest.mark.parametrize(
    ("service", "index", "allowed"),
    [
        ("claims", "cover", True),
        ("claims", "ledger", False),
        ("ledger", "ledger", False),
        ("unknown", "cover", False),
        ("claims", "unknown", False),
    ],
)
def test_a_caller_may_query_only_indexes_of_its_services(
    service: str, index: str, allowed: bool
) -> None:
    caller = make_caller("clerk", "good")

    checked = identity.check_service(TABLE, caller, service, index)

    assert checked.is_ok() == allowed
    if not allowed:
        assert checked.error == errors.Failure(errors.Kind.FORBIDDEN)


def test_a_service_may_query_only_its_shards() -> None:
    shards = query_parts.make_map([1, 1]).shards

    some = [identity.may_query(TABLE.services["claims"], s) for s in shards]
    every = [identity.may_query(TABLE.services["ledger"], s) for s in shards]

    assert some == [True, False]
    assert every == [True, True]


def make_account(name: str, *keys: str) -> catalog.Account:
    return catalog.Account(name, tuple(identity.hash_token(k) for k in keys))


@pytest.mark.parametrize(
    ("accounts", "holders", "problems"),
    [
        ([("a", "x", "y"), ("b", "z")], {"x": "a", "y": "a", "z": "b"}, 0),
        ([("a", "x", "x")], {"x": "a"}, 0),
        ([("a", "x", "y"), ("b", "x", "z")], {"y": "a", "z": "b"}, 1),
        ([("a", "x"), ("b", "x"), ("c", "x")], {}, 2),
        ([("a", "x"), ("a", "y")], {"y": "a"}, 1),
        ([("a", "x"), ("b", "x"), ("a", "y")], {"x": "b", "y": "a"}, 1),
        ([("a",), ("b", "x")], {"x": "b"}, 1),
        ([], {}, 0),
    ],
)
def test_keys_identify_one_account(
    accounts: list[tuple[str, ...]], holders: dict[str, str], problems: int
) -> None:
    indexed = identity.index_accounts(
        make_account(name, *keys) for name, *keys in accounts
    )
    found = {
        key: identity.find_account(indexed, key) for key in ("x", "y", "z")
    }
    assert {key: a.name for key, a in found.items() if a} == holders
    assert len(indexed.problems) == problems
    assert identity.find_account(indexed, "") is None
    shown = f"{indexed!r}"
    assert not any(identity.hash_token(key) in shown for key in holders)
