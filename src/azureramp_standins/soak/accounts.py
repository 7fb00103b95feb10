"""The client accounts of a run, their keys and the callers that use them."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from typing import Any

from azureramp_standins.soak import declared, history

NAMES = ("account-0", "account-1", "account-2")
LIMITED = NAMES[0]
"""The account with a limit."""

LIMITED_CALLER_INTERVAL = 8
"""One of this many callers uses the limited account, the others use the rest in
turn, so that its usual traffic is within its limit."""

SETTLED_S = 3.5
"""Time after which callers use a new key, in seconds."""


class Accounts:
    """The accounts as the operators declare them.

    Attributes:
        flood: Set while the limited account sends more than its limit.
    """

    __slots__ = ("_floods", "_history", "_numbers", "_rng", "flood")

    def __init__(self, run_history: history.History, seed: int) -> None:
        """Makes accounts with one key each.

        Args:
            run_history: The history, in which keys are recorded.
            seed: The run's seed.
        """
        self._history = run_history
        self._rng = random.Random(f"keys/{seed}")
        self._numbers = itertools.count(1)
        self._floods = 0
        self.flood = asyncio.Event()
        for name in NAMES:
            self.add_key(name, -math.inf)

    def make_bodies(self) -> list[dict[str, Any]]:
        """Returns the accounts' entries for the configuration."""
        return [
            {
                "Name": name,
                "ApiKeys": [each.key for each in self._list_keys(name)],
            }
            | (
                {
                    "RatePerS": declared.ACCOUNT_PER_S,
                    "Burst": declared.ACCOUNT_BURST,
                }
                if name == LIMITED
                else {}
            )
            for name in NAMES
        ]

    async def run_flood(self, for_s: float) -> None:
        """Lets the callers flood; of overlapping calls the last one ends it.

        Args:
            for_s: The duration, in seconds.
        """
        self._floods += 1
        self.flood.set()
        await asyncio.sleep(for_s)
        self._floods -= 1
        if not self._floods:
            self.flood.clear()

    def add_key(self, name: str, from_s: float) -> None:
        """Adds a key to an account.

        Args:
            name: The account's name.
            from_s: When the key is written, on the loop's clock; minus infinity
                for a key of the first configuration.
        """
        key = f"key-{next(self._numbers)}-{self._rng.getrandbits(64):016x}"
        self._history.keys[key] = history.KeySpan(name, key, from_s)

    def revoke_key(self, name: str, now_s: float) -> None:
        """Revokes an account's oldest key, unless callers know no other."""
        if len(self._list_settled_keys(name, now_s)) > 1:
            self._list_keys(name)[0].until_s = now_s

    def pick_key(self, name: str) -> str:
        """Returns a key of an account that callers may use."""
        now_s = asyncio.get_running_loop().time()
        return self._rng.choice(self._list_settled_keys(name, now_s)).key

    def pick_refused_key(self) -> str:
        """Returns no key, one that never existed, or a revoked one."""
        revoked = [
            each.key
            for each in self._history.keys.values()
            if each.until_s < math.inf
        ]
        return self._rng.choice(["", "never-held", *revoked])

    def _list_keys(self, name: str) -> list[history.KeySpan]:
        """Returns an account's valid keys, oldest first."""
        return [
            each
            for each in self._history.keys.values()
            if each.account == name and each.until_s == math.inf
        ]

    def _list_settled_keys(
        self, name: str, now_s: float
    ) -> list[history.KeySpan]:
        """Returns an account's valid keys that are in force everywhere."""
        return [
            each
            for each in self._list_keys(name)
            if now_s - each.from_s > SETTLED_S
        ]


def get_account_of_caller(number: int) -> str:
    """Returns the account that a caller uses."""
    if number % LIMITED_CALLER_INTERVAL == 0:
        return LIMITED
    return NAMES[1 + number % (len(NAMES) - 1)]
