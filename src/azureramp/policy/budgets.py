"""Budgets for calls that nobody strictly needs: hedges and retries."""

from __future__ import annotations

BURST = 10.0
"""Most tokens kept, so that a quiet hour does not pay for a storm."""


class Budget:
    """A share of the needed calls, as tokens.

    At any time, spent <= share * needed + what it began with; and in any span
    of time, at most BURST more than the share of that span. When a backend
    server fails, each caller's instinct is to send more; the budget is what
    keeps the sum of that from finishing off the servers that are left.

    Attributes:
        spent: How many tokens have been spent.
    """

    __slots__ = ("_tokens", "spent")

    def __init__(self, tokens: float = 0.0) -> None:
        """Makes a budget.

        Args:
            tokens: What it has from the start.
        """
        self._tokens = tokens
        self.spent = 0

    def earn(self, needed: int, share: float) -> None:
        """Adds the share of some needed calls.

        Args:
            needed: How many calls were needed.
            share: The budget's share, 0 to 1; 0 also ends what was saved.
        """
        self._tokens = min(BURST, self._tokens + needed * share)
        if share <= 0:
            self._tokens = 0.0

    def can_spend(self) -> bool:
        """Tells whether there is a token."""
        return self._tokens >= 1.0

    def spend(self) -> bool:
        """Takes one token, if there is one."""
        if not self.can_spend():
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
