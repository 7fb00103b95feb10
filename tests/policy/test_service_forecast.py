"""Forecasts of what can't be served, and where they are made at all."""

from __future__ import annotations

import dataclasses
import math

import pytest

from azureramp import catalog, errors
from azureramp.policy import (
    competition,
    searcher_stats,
    service_forecast,
)

NOW_S = 100.0
FREE = searcher_stats.SearcherStats(2, True, updated_s=NOW_S)
FULL = dataclasses.replace(
    FREE, reported_load=14.0, reported_s=NOW_S, relative_time=11.0
)
STALE = dataclasses.replace(FULL, updated_s=90.0, reported_s=90.0)


@pytest.mark.parametrize(
    ("shards", "usual_s", "left_s", "kind"),
    [
        ([[FREE]] * 20, 0.01, 0.4, None),
        ([[FREE]] * 18 + [[]] * 2, 0.01, 0.4, None),
        ([[FREE]] * 17 + [[]] * 3, 0.01, 0.4, errors.Kind.SHARDS_UNREACHABLE),
        ([[FULL, FULL]] * 20, 0.01, 0.4, errors.Kind.DEADLINE_TOO_SHORT),
        ([[FULL, FULL]] * 20, 0.01, 0.8, None),
        ([[FULL, FREE]] * 20, 0.01, 0.4, None),
        ([[FULL, STALE]] * 20, 0.01, 0.4, None),
        ([[FULL, FULL]] * 20, 0.0, 0.4, None),
        ([[FULL]] * 2 + [[FREE]] * 18, 0.01, 0.4, None),
        (
            [[FULL]] * 3 + [[FREE]] * 17,
            0.01,
            0.4,
            errors.Kind.DEADLINE_TOO_SHORT,
        ),
    ],
)
def test_only_what_certainly_fails_is_refused(
    shards: list[list[searcher_stats.SearcherStats]],
    usual_s: float,
    left_s: float,
    kind: errors.Kind | None,
) -> None:
    """All searchers of some shards are gone, or their queues are too long.

    Guards against a refusal on a guess: old, missing or partial knowledge
    counts as 'may be served'. 18 of 20 shards are needed.
    """
    forecast = service_forecast.make_forecast(shards, 18, usual_s, NOW_S)
    assert service_forecast.check(forecast, left_s) is kind
    if kind is not None:
        assert errors.ANSWERS[kind].ran is errors.Execution.NOT_RUN


def test_a_caller_returns_when_enough_shards_may_answer() -> None:
    """Guards against returns before any answer is possible."""
    delays_s = [0.4, 0.1, math.inf, 0.2]
    assert service_forecast.compute_return_s(delays_s, 2) == 0.2
    assert service_forecast.compute_return_s(delays_s, 3) == 0.4
    unknown_s = service_forecast.compute_return_s(delays_s, 4)
    assert unknown_s == service_forecast.DEFAULT_RETURN_S


def make_route(priority: int, *services: str) -> catalog.Route:
    destination = catalog.FanoutDestination(services, 5, 0.9)
    return catalog.Route(
        f"{services}", "host", "/", destination, True, 1.0, 0.1, 2, priority
    )


@pytest.mark.parametrize(
    ("routes", "has_accounts", "competing"),
    [
        ([make_route(1, "a", "b")], False, {}),
        ([make_route(1, "a", "b"), make_route(1, "b", "c")], False, {}),
        ([make_route(1, "a"), make_route(2, "b")], False, {}),
        (
            [make_route(1, "b", "a"), make_route(2, "b", "a")],
            False,
            {"ba": "a"},
        ),
        (
            [make_route(1, "a", "b"), make_route(2, "b", "c")],
            False,
            {"ab": "a", "bc": "a"},
        ),
        ([make_route(1, "a")], True, {"a": "a"}),
    ],
)
def test_admission_is_on_where_requests_compete(
    routes: list[catalog.Route], has_accounts: bool, competing: dict[str, str]
) -> None:
    """On with accounts, or with several priorities at the same searchers."""
    by_scope = {
        scope: competition.find_competing_sets(routes, has_accounts, scope)
        for scope in competition.Scope
    }
    found = by_scope[competition.Scope.PRIORITIES]
    assert {"".join(key): name for key, name in found.items()} == competing
    assert by_scope[competition.Scope.OFF] == {}
    by_accounts = by_scope[competition.Scope.ACCOUNTS]
    assert by_accounts == (found if has_accounts else {})
