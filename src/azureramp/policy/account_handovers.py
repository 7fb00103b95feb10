"""To which VMs client accounts were given, and which VMs gave them up.

The load: accounts whose owner changes with the list of advertised VMs, which
the VMs receive at different times and which may change back. The outcome is
which VMs may still hold an account's bucket.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from azureramp.policy import account_owners, limit_shares

GIVEN_S = account_owners.OUTAGE_S + 2 * limit_shares.MAX_UPDATE_DELAY_S
"""How long a VM to which an account was given may hold it without this VM
learning of a list that says otherwise, in seconds. This VM may lag behind the
other one, and that one behind a third."""


@dataclasses.dataclass(slots=True, frozen=True)
class Released:
    """The answer of a VM that gives up an account.

    Attributes:
        level: The bucket's level; None if it had none.
        holder: Another VM to which it had given the account; empty if none.
    """

    level: float | None
    holder: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class _Holder:
    """A VM that may hold an account.

    Attributes:
        number: The number of the entry that says so.
        until_s: Until when the VM may hold the account, in seconds.
    """

    number: int
    until_s: float


class Handovers:
    """The accounts that one VM gave to others, or got from them.

    Attributes:
        count: Number of entries made so far.
    """

    __slots__ = ("_given_levels", "_given_to", "_received_from", "count")

    def __init__(self) -> None:
        """Creates a record without accounts."""
        self.count = 0
        # By account: the level of the bucket that was given away last.
        self._given_levels: dict[str, float] = {}
        # By account: the VMs that may hold it.
        self._given_to: dict[str, dict[str, _Holder]] = {}
        # By account and VM: when the VM gave it up.
        self._received_from: dict[str, dict[str, float]] = {}

    def give(
        self, account: str, vm: str, level: float | None, now_s: float
    ) -> str:
        """Records that an account was given to a VM.

        Args:
            account: The account's name.
            vm: The VM.
            level: The level of its bucket; None if there was none.
            now_s: The current time, in seconds.

        Returns:
            The VM to which it had been given before; empty if there is none.
        """
        given = self._given_to.setdefault(account, {})
        before = next(
            (
                each
                for each, holding in given.items()
                if each != vm and holding.until_s > now_s
            ),
            "",
        )
        given.clear()
        given[vm] = self._make_holder(now_s)
        self._received_from.pop(account, None)
        if level is not None:
            self._given_levels[account] = level
        return before

    def receive(
        self, account: str, vm: str, holder: str, asked_at: int, now_s: float
    ) -> bool:
        """Records that a VM gave up an account.

        Two VMs may ask each other at the same time. Each then gives the account
        up, so the answer to a VM that has given it to the asked one meanwhile
        doesn't count: the asked one may hold it by now.

        Args:
            account: The account's name.
            vm: The VM.
            holder: The VM to which it had been given; empty if there is none.
            asked_at: `count` when the VM was asked.
            now_s: The current time, in seconds.

        Returns:
            False if the answer doesn't count.
        """
        given = self._given_to.setdefault(account, {})
        holding = given.get(vm)
        if holding is not None and holding.number > asked_at:
            return False
        self._received_from.setdefault(account, {})[vm] = now_s
        given.pop(vm, None)
        if holder:
            given[holder] = self._make_holder(now_s)
        return True

    def find_holders(
        self, account: str, rivals: Mapping[str, float], now_s: float
    ) -> frozenset[str]:
        """Returns the VMs that may hold an account.

        Args:
            account: The account's name.
            rivals: The VMs that may take themselves for its owner, and when the
                list ended by which they are.
            now_s: The current time, in seconds.
        """
        received = self._received_from.get(account, {})
        given = self._given_to.get(account, {})
        return frozenset(
            {
                vm
                for vm, ended_s in rivals.items()
                if received.get(vm, -math.inf) < ended_s
            }
            | {vm for vm, holding in given.items() if holding.until_s > now_s}
        )

    def get_latest_s(self, account: str) -> float:
        """Returns when another VM may last have held an account."""
        return max(
            (
                *(
                    holding.until_s
                    for holding in self._given_to.get(account, {}).values()
                ),
                *self._received_from.get(account, {}).values(),
            ),
            default=-math.inf,
        )

    def get_given_level(self, account: str) -> float:
        """Returns the level of the bucket that was given away last.

        Returns:
            The level; infinite if none was given away lately.
        """
        return self._given_levels.get(account, math.inf)

    def drop_old(self, old_s: float) -> None:
        """Drops what happened before a time, in seconds."""
        for account, given in list(self._given_to.items()):
            if all(holding.until_s < old_s for holding in given.values()):
                del self._given_to[account]
        for account, received in list(self._received_from.items()):
            if all(at_s < old_s for at_s in received.values()):
                del self._received_from[account]
        recorded = self._given_to.keys() | self._received_from.keys()
        for account in self._given_levels.keys() - recorded:
            del self._given_levels[account]

    def _make_holder(self, now_s: float) -> _Holder:
        """Numbers the entry of a VM that may hold an account from now on."""
        self.count += 1
        return _Holder(self.count, now_s + GIVEN_S)
