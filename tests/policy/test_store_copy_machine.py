"""State machine of copies that follow the store and each other."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
from hypothesis import stateful

from azureramp.policy import store_copy
from azureramp.ports.store import api as store_api

KEYS = st.sampled_from("ab")
COPIES = st.integers(0, 2)


class CopiesMachine(stateful.RuleBasedStateMachine):
    """Copies that are restarted, read the store, and update each other.

    A copy with the store's entries at some revision must stay equal to the
    store's entries at its own revision.
    """

    def __init__(self) -> None:
        """Starts with an empty store."""
        super().__init__()
        self.revision = 1
        self.history: list[dict[str, int]] = [{}, {}]
        self.events: list[store_api.Entry] = []
        self.copies = [store_copy.StoreCopy() for _ in range(3)]
        for number in range(3):
            self.restart(number)

    @stateful.rule(key=KEYS, deletes=st.booleans())
    def change(self, key: str, deletes: bool) -> None:
        """Writes or deletes a key."""
        entries = dict(self.history[-1])
        if deletes and key not in entries:
            return
        self.revision += 1
        if deletes:
            del entries[key]
        else:
            entries[key] = self.revision
        value = None if deletes else b"x"
        self.history.append(entries)
        self.events.append(store_api.Entry(key, value, self.revision))

    @stateful.rule(number=COPIES)
    def restart(self, number: int) -> None:
        """Replaces a copy by one that has read all entries."""
        copy = self.copies[number] = store_copy.StoreCopy()
        copy.begin_history(self.revision)
        for key, revision in self.history[-1].items():
            copy.apply(store_api.Entry(key, b"x", revision))
        copy.revision = self.revision

    @stateful.rule(number=COPIES)
    def watch(self, number: int) -> None:
        """Updates a copy from the store."""
        copy = self.copies[number]
        for event in self.events:
            if event.revision > copy.revision:
                copy.apply(event)
        copy.revision = self.revision

    @stateful.rule(number=COPIES, relay=COPIES)
    def follow(self, number: int, relay: int) -> None:
        """Updates a copy from another one, if that has the history."""
        copy, source = self.copies[number], self.copies[relay]
        changes = source.list_changes(copy.revision)
        if changes is None:
            return
        for entry in changes:
            copy.apply(entry)
        copy.revision = max(copy.revision, source.revision)

    @stateful.invariant()
    def check(self) -> None:
        """Each copy has exactly the entries of its revision."""
        for copy in self.copies:
            entries = {key: copy.get_revision(key) for key in copy.list_keys()}
            assert entries == self.history[copy.revision]


TestCopiesMachine = CopiesMachine.TestCase
TestCopiesMachine.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)
