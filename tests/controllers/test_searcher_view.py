"""What a coordinator knows of searchers that change their owners."""

from __future__ import annotations

from azureramp import messages
from azureramp.controllers import searcher_view

STATE = messages.SearcherState("s", 1, True, 2, 0, 10.0, ("arrears.1",))


def test_a_state_outlives_the_change_of_its_owner_for_a_while() -> None:
    """Two VMs are replaced shortly after each other.

    Both replicas of a shard are between their owners for a moment: neither
    the old nor the new one tells their state. A query that took them for
    gone would be answered short, with both searchers idle.
    """
    memory = searcher_view.Memory()
    memory.fill({"s": STATE}, ["s"], 0.0)
    shortly: dict[str, messages.SearcherState] = {}
    until_s = memory.fill(shortly, ["s"], 100.0)
    later: dict[str, messages.SearcherState] = {}
    memory.fill(later, ["s"], 100.0 + searcher_view.REMEMBER_S)

    assert shortly == {"s": STATE}
    assert until_s == 100.0 + searcher_view.REMEMBER_S
    assert later == {}


def test_a_searcher_without_an_owner_is_not_remembered() -> None:
    memory = searcher_view.Memory()
    memory.fill({"s": STATE}, ["s"], 0.0)
    states: dict[str, messages.SearcherState] = {}
    memory.fill(states, [], 1.0)

    assert states == {}
