"""Stated coverage equals actual coverage for any sequence of part results."""

from __future__ import annotations

import fractions
import itertools

import msgspec
import pytest
from hypothesis import settings
from hypothesis import stateful as st_state
from hypothesis import strategies as st

from azureramp import messages, responses
from azureramp.policy import assembly, coverage
from tests.policy import query_parts

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)

SIZES = st.lists(st.integers(0, 10**12), min_size=1, max_size=8)


class PartsMachine(st_state.RuleBasedStateMachine):
    """Results in any order, duplicate, lost, misrouted, truncated or failed."""

    @st_state.initialize(sizes=SIZES)
    def pin(self, sizes: list[int]) -> None:
        self.shard_map = query_parts.make_map(sizes, version=7)
        self.state = assembly.Assembly(self.shard_map, lambda shard: True)
        self.parts = itertools.count(1)
        self.held: set[str] = set()
        self.ended: list[assembly.Attempt] = []

    def pick_running(self, data: st.DataObject) -> assembly.Attempt | None:
        running = self.state.get_running_attempts()
        return data.draw(st.sampled_from(running)) if running else None

    @st_state.rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        shard = data.draw(st.sampled_from(self.shard_map.shards))
        if shard.name not in self.held:
            attempt = query_parts.make_attempt(next(self.parts), shard)
            self.state.add(attempt)

    @st_state.rule(data=st.data())
    def arrive(self, data: st.DataObject) -> None:
        attempt = self.pick_running(data)
        if attempt is None:
            return
        done = query_parts.make_done(attempt.part, attempt.shard, 7)
        handled = self.state.handle_result(done)
        if attempt.shard.name not in self.held:
            assert isinstance(handled, assembly.Merged)
        self.held.add(attempt.shard.name)
        self.ended.append(attempt)

    @st_state.rule(data=st.data())
    def arrive_again(self, data: st.DataObject) -> None:
        if self.ended:
            attempt = data.draw(st.sampled_from(self.ended))
            done = query_parts.make_done(attempt.part, attempt.shard, 7)
            assert isinstance(
                self.state.handle_result(done), assembly.UnmatchedResult
            )

    @st_state.rule(
        data=st.data(),
        wrong=st.sampled_from(["version", "range", "truncated", "object"]),
    )
    def arrive_wrong(self, data: st.DataObject, wrong: str) -> None:
        attempt = self.pick_running(data)
        if attempt is None:
            return
        part, shard = attempt.part, attempt.shard
        done = {
            "version": query_parts.make_done(part, shard, 8),
            "range": query_parts.make_done(part, shard, 7, high=10**6),
            "truncated": query_parts.make_done(part, shard, 7, b"[[1,2],["),
            "object": query_parts.make_done(part, shard, 7, b'{"a":1}'),
        }[wrong]
        handled = self.state.handle_result(done)
        assert isinstance(handled, assembly.Failed)
        assert handled.ran
        self.ended.append(attempt)

    @st_state.rule(data=st.data())
    def arrive_crossed(self, data: st.DataObject) -> None:
        """Delivers a reply that carries the range of another shard."""
        attempt = self.pick_running(data)
        other = data.draw(st.sampled_from(self.shard_map.shards))
        if attempt is None or other.name == attempt.shard.name:
            return
        self.state.handle_result(query_parts.make_done(attempt.part, other, 7))
        self.ended.append(attempt)

    @st_state.rule(data=st.data())
    def fail(self, data: st.DataObject) -> None:
        attempt = self.pick_running(data)
        if attempt is not None:
            failed = messages.PartFailed(attempt.part, "no_such_kind", True)
            self.state.handle_result(failed)
            self.ended.append(attempt)

    @st_state.rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        attempt = self.pick_running(data)
        if attempt is not None:
            assert self.state.remove(attempt)
            self.ended.append(attempt)

    @st_state.invariant()
    def coverage_is_exact(self) -> None:
        if not hasattr(self, "state"):
            return
        ledger = self.state.ledger
        shards = self.shard_map.shards
        total = sum(shard.size for shard in shards)
        held = sum(s.size for s in shards if s.name in self.held)
        stated = ledger.get_coverage()
        if total:
            assert (
                0
                <= fractions.Fraction(held, total) - fractions.Fraction(stated)
                <= fractions.Fraction(1, 2**50)
            )
        assert (stated == 1.0) == (len(self.held) == len(shards))
        assert ledger.is_complete() == (len(self.held) == len(shards))

    @st_state.invariant()
    def missing_is_the_exact_rest(self) -> None:
        if not hasattr(self, "state"):
            return
        missing = self.state.ledger.get_missing()
        keys = [
            low for part in missing for low in range(part.low, part.high, 100)
        ]
        assert keys == [
            shard.low
            for shard in self.shard_map.shards
            if shard.name not in self.held
        ]
        for left, right in itertools.pairwise(missing):
            assert left.high < right.low

    @st_state.invariant()
    def items_are_those_of_the_held_shards(self) -> None:
        if not hasattr(self, "state"):
            return
        assert msgspec.json.decode(self.state.ledger.merge()) == [
            [shard.low, shard.high]
            for shard in self.shard_map.shards
            if shard.name in self.held
        ]


TestParts = PartsMachine.TestCase
TestParts.settings = SETTINGS


@pytest.mark.parametrize(
    ("share", "complete", "stated"),
    [
        (fractions.Fraction(1), True, 1.0),
        (fractions.Fraction(1), False, 1.0 - 2**-53),
        (fractions.Fraction(10**18 - 1, 10**18), False, 1.0 - 2**-53),
        (fractions.Fraction(1, 3), False, 1 / 3),
        (fractions.Fraction(0), False, 0.0),
    ],
)
def test_a_share_is_rounded_down_and_is_1_only_if_complete(
    share: fractions.Fraction, complete: bool, stated: float
) -> None:
    rounded = coverage.round_down(share, complete)

    assert rounded == stated
    assert fractions.Fraction(rounded) <= share


def test_a_missing_shard_without_documents_is_still_missing() -> None:
    shard_map = query_parts.make_map([10, 0])
    ledger = coverage.ResultLedger(shard_map)
    first = shard_map.shards[0]

    ledger.add(first, query_parts.make_done(1, first), b"")

    assert ledger.get_coverage() < 1.0
    assert ledger.get_missing() == (responses.KeyRange(100, 200),)
