"""Handoffs of searchers from one owner to the next."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import blackboard, messages
from azureramp.controllers import outbox as outbox_module
from azureramp.controllers import owned_searcher

MAX_RESENDS = 3
"""Maximum number of times a handoff is resent in case it was lost."""

OwnedSearcher = owned_searcher.OwnedSearcher


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedHandoff:
    """A handoff received from a former owner.

    Attributes:
        sender: The former owner.
        message: The handoff.
        at_s: Loop time of its arrival, in seconds.
    """

    sender: str
    message: messages.Handoff
    at_s: float


@dataclasses.dataclass(slots=True)
class SentHandoff:
    """A searcher that this VM has handed off.

    Attributes:
        vm: The new owner.
        owned: The searcher's last state on this VM.
        at_s: Loop time of the handoff, in seconds.
        resends: Remaining number of times to resend the handoff.
        done: True once this VM and former owners no longer use any slots.
    """

    vm: str
    owned: OwnedSearcher
    at_s: float
    resends: int = MAX_RESENDS
    done: bool = False


class Handoffs:
    """The handoffs that this VM has received and sent."""

    __slots__ = ("_board", "_outbox", "_received", "_released")

    def __init__(
        self, board: blackboard.Blackboard, outbox: outbox_module.Outbox
    ) -> None:
        """Creates an instance without handoffs."""
        self._board = board
        self._outbox = outbox
        self._received: dict[str, ReceivedHandoff] = {}
        self._released: dict[str, SentHandoff] = {}

    def receive(self, sender: str, message: messages.Handoff) -> None:
        """Stores a handoff until this VM is the owner in its own view.

        A handoff may arrive late or twice. One that belongs to an earlier
        change of owners would make this VM use the searcher at the same time
        as its current owner. Therefore, after this VM has handed the searcher
        off, only the VM that received it may hand it back while that VM's
        lease may be valid, and a handoff that isn't used within a lease
        length is dropped.
        """
        released = self._released.get(message.searcher)
        if (
            released is not None
            and released.vm != sender
            and _now_s() - released.at_s < self._get_retention_s()
        ):
            return
        self._received[message.searcher] = ReceivedHandoff(
            sender, message, _now_s()
        )

    def pop_valid(self, searcher: str) -> ReceivedHandoff | None:
        """Removes and returns a valid handoff; None if there is none."""
        received = self._received.pop(searcher, None)
        if received is None:
            return None
        if _now_s() - received.at_s > self._board.settings.lease_ms / 1000:
            return None
        self._released.pop(searcher, None)
        return received

    def may_start(self, searcher: str) -> bool:
        """Returns True if this VM may use a searcher without a handoff."""
        now_s = _now_s()
        may_start_s = self._board.usable_from_s.get(searcher)
        released = self._released.get(searcher)
        if released is not None:
            # The VM that received it may be using it. Its lease may be valid
            # for about one lease length after a majority last saw it as the
            # owner.
            if now_s - released.at_s < self._get_retention_s():
                return False
            del self._released[searcher]
        return may_start_s is not None and now_s >= may_start_s

    def hand_off(self, owned: OwnedSearcher, vm: str) -> None:
        """Hands a searcher off to its new owner."""
        released = SentHandoff(vm, owned, _now_s())
        self._released[owned.get_name()] = released
        self._send(released)

    def resend_and_report(self) -> None:
        """Resends handoffs that may be lost and reports completed ones."""
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
            if (
                released.done
                and now_s - released.at_s > self._get_retention_s()
            ):
                del self._released[name]

    def receive_handoff_done(self, sender: str, searcher: str) -> None:
        """Handles the notice that a former owner's calls have all ended.

        The searcher may already have been handed off to another VM, with the
        former owner's slots included.
        """
        released = self._released.get(searcher)
        if released is not None:
            released.owned.reserved.pop(sender, None)
            self.resend_and_report()

    def handle_calls_ended(self, owned: OwnedSearcher) -> None:
        """Notifies the new owner immediately when the last call has ended."""
        released = self._released.get(owned.get_name())
        if released is not None and released.owned is owned:
            self.resend_and_report()

    def _send(self, released: SentHandoff) -> None:
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
                service_ms=owned.ramp.get_usual_service_ms(),
                running_ms=owned.get_longest_remaining_s(now_s) * 1000,
                versions=owned.health.versions if owned.health else (),
                slow=owned.ramp.count_slow(),
            ),
        )

    def _get_retention_s(self) -> float:
        """Returns how long a sent handoff is kept, in seconds."""
        return 2 * self._board.settings.lease_ms / 1000


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
