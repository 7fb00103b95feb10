"""Handing searchers from one owner to the next."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import blackboard, messages
from azureramp.controllers import outbox as outbox_module
from azureramp.controllers import owned_searcher

RESENDS = 3
"""How often a handoff is sent again, in case it was lost."""

OwnedSearcher = owned_searcher.OwnedSearcher


@dataclasses.dataclass(slots=True, frozen=True)
class Received:
    """A handoff that came from a former owner.

    Attributes:
        sender: The former owner.
        message: The handoff.
        at_s: When it came.
    """

    sender: str
    message: messages.Handoff
    at_s: float


@dataclasses.dataclass(slots=True)
class Released:
    """A searcher that this VM has handed off.

    Attributes:
        vm: The new owner.
        owned: The searcher's last state here.
        at_s: When.
        resends: How often the handoff is still to be sent again.
        done: True once nothing runs there from here any more.
    """

    vm: str
    owned: OwnedSearcher
    at_s: float
    resends: int = RESENDS
    done: bool = False


class Handoffs:
    """The handoffs that came and those that were given."""

    __slots__ = ("_board", "_outbox", "_received", "_released")

    def __init__(
        self, board: blackboard.Blackboard, outbox: outbox_module.Outbox
    ) -> None:
        """Makes it with no handoff."""
        self._board = board
        self._outbox = outbox
        self._received: dict[str, Received] = {}
        self._released: dict[str, Released] = {}

    def receive(self, sender: str, message: messages.Handoff) -> None:
        """Keeps a handoff until this VM sees itself as the owner.

        A handoff may come late or doubled. One that came from an earlier
        change of owners would start this VM beside the present owner. So
        after this VM has handed the searcher off itself, only the VM that it
        went to may hand it back, as long as that one's lease may be valid;
        and a handoff not used within a lease's length is forgotten.
        """
        released = self._released.get(message.searcher)
        if (
            released is not None
            and released.vm != sender
            and _now_s() - released.at_s < self._get_memory_s()
        ):
            return
        self._received[message.searcher] = Received(sender, message, _now_s())

    def take(self, searcher: str) -> Received | None:
        """Takes the handoff by which this VM may start; None if none."""
        received = self._received.pop(searcher, None)
        if received is None:
            return None
        if _now_s() - received.at_s > self._board.settings.lease_ms / 1000:
            return None
        self._released.pop(searcher, None)
        return received

    def may_start(self, searcher: str) -> bool:
        """Tells whether this VM may start without a handoff."""
        now_s = _now_s()
        may_start_s = self._board.may_start_s.get(searcher)
        released = self._released.get(searcher)
        if released is not None:
            # The VM that it went to may have started meanwhile, and hold a
            # lease until about a lease's length after the last time that a
            # majority saw it as the owner.
            if now_s - released.at_s < self._get_memory_s():
                return False
            del self._released[searcher]
        return may_start_s is not None and now_s >= may_start_s

    def give(self, owned: OwnedSearcher, vm: str) -> None:
        """Hands a searcher to its new owner."""
        released = Released(vm, owned, _now_s())
        self._released[owned.get_name()] = released
        self._send(released)

    def tend(self) -> None:
        """Sends again what may have been lost, and tells what has ended."""
        now_s = _now_s()
        for name, released in list(self._released.items()):
            in_use = released.owned.count_in_use(now_s)
            if in_use == 0 and not released.done:
                released.done = True
                self._outbox.send(
                    released.vm, messages.HandoffDone(searchers=(name,))
                )
            member = self._board.members.get(released.vm)
            has_it = member is not None and any(
                state.searcher == name for state in member.searchers
            )
            if not has_it and released.resends > 0:
                released.resends -= 1
                self._send(released)
            if released.done and now_s - released.at_s > self._get_memory_s():
                del self._released[name]

    def receive_done(self, sender: str, searcher: str) -> None:
        """Learns that nothing of a former owner runs there any more.

        The searcher may have been handed on already, with the former
        owner's slots counted.
        """
        released = self._released.get(searcher)
        if released is not None:
            released.owned.held.pop(sender, None)
            self.tend()

    def end_part(self, owned: OwnedSearcher) -> None:
        """Tells the new owner at once when the last call has ended."""
        released = self._released.get(owned.get_name())
        if released is not None and released.owned is owned:
            self.tend()

    def _send(self, released: Released) -> None:
        """Sends a handoff."""
        owned = released.owned
        now_s = _now_s()
        self._outbox.send(
            released.vm,
            messages.Handoff(
                searcher=owned.get_name(),
                incarnation=owned.health.incarnation if owned.health else 0,
                in_use=owned.count_in_use(now_s),
                limit=owned.ramp.limit,
                service_ms=owned.ramp.get_usual_ms(),
                running_ms=owned.get_longest_s(now_s) * 1000,
                versions=owned.health.versions if owned.health else (),
                slow=owned.ramp.count_slow(),
            ),
        )

    def _get_memory_s(self) -> float:
        """Returns how long a change of owners is remembered, in seconds."""
        return 2 * self._board.settings.lease_ms / 1000


def _now_s() -> float:
    """Reads the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
