"""Tests of the view of searchers that change their owners."""

from __future__ import annotations

from azureramp import messages
from azureramp.controllers import searcher_view

STATE = messages.SearcherState("s", 1, True, 2, 0, 10.0, ("arrears.1",))


def test_state_is_remembered_during_change_of_owner() -> None:
    """Both replicas of a shard change owners shortly after each other.

    For a short time neither the old nor the new owner announces their state.
    A query that treated them as gone would get an incomplete answer although
    both searchers are idle.
    """
    memory = searcher_view.StateMemory()
    memory.fill({"s": STATE}, ["s"], 0.0)
    shortly: dict[str, messages.SearcherState] = {}
    until_s = memory.fill(shortly, ["s"], 100.0)
    later: dict[str, messages.SearcherState] = {}
    memory.fill(later, ["s"], 100.0 + searcher_view.STATE_MEMORY_S)

    assert shortly == {"s": STATE}
    assert until_s == 100.0 + searcher_view.STATE_MEMORY_S
    assert later == {}


def test_searcher_without_owner_is_not_remembered() -> None:
    memory = searcher_view.StateMemory()
    memory.fill({"s": STATE}, ["s"], 0.0)
    states: dict[str, messages.SearcherState] = {}
    memory.fill(states, [], 1.0)

    assert states == {}
