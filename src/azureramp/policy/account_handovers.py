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


class Handovers:
    """The accounts that one VM gave to others, or got from them."""

    __slots__ = ("_given_to", "_received_from")

    def __init__(self) -> None:
        """Creates a record without accounts."""
        # By account and VM: until when the VM may hold it.
        self._given_to: dict[str, dict[str, float]] = {}
        # By account and VM: when the VM gave it up.
        self._received_from: dict[str, dict[str, float]] = {}

    def give(self, account: str, vm: str, now_s: float) -> str:
        """Records that an account was given to a VM.

        Returns:
            The VM to which it had been given before; empty if there is none.
        """
        given = self._given_to.setdefault(account, {})
        before = next(
            (each for each in given if each != vm and given[each] > now_s), ""
        )
        given.clear()
        given[vm] = now_s + GIVEN_S
        self._received_from.pop(account, None)
        return before

    def receive(self, account: str, vm: str, holder: str, now_s: float) -> None:
        """Records that a VM gave up an account.

        Args:
            account: The account's name.
            vm: The VM.
            holder: The VM to which it had been given; empty if there is none.
            now_s: The current time, in seconds.
        """
        self._received_from.setdefault(account, {})[vm] = now_s
        given = self._given_to.setdefault(account, {})
        given.pop(vm, None)
        if holder:
            given[holder] = now_s + GIVEN_S

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
            | {vm for vm, until_s in given.items() if until_s > now_s}
        )

    def get_latest_s(self, account: str) -> float:
        """Returns when another VM may last have held an account."""
        return max(
            (
                *self._given_to.get(account, {}).values(),
                *self._received_from.get(account, {}).values(),
            ),
            default=-math.inf,
        )

    def drop_old(self, old_s: float) -> None:
        """Drops what happened before a time, in seconds."""
        for times in (self._given_to, self._received_from):
            for account, by_vm in list(times.items()):
                if all(at_s < old_s for at_s in by_vm.values()):
                    del times[account]
