"""Token budgets for hedged requests and retries."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Maximum number of saved tokens, so that a long time without extra calls does
not allow an unlimited burst of them."""


class Budget:
    """A token budget that limits extra calls to a share of the needed calls.

    At any time, spent <= share * needed + initial tokens; and in any time
    window, at most `MAX_TOKENS` calls more than the share of that window. When
    a backend server fails, all callers send more calls; the budget limits their
    sum, so that it does not overload the remaining servers.

    Attributes:
        spent: The number of tokens spent.
    """

    __slots__ = ("_tokens", "spent")

    def __init__(self, tokens: float = 0.0) -> None:
        """Creates a budget.

        Args:
            tokens: The number of initial tokens.
        """
        self._tokens = tokens
        self.spent = 0

    def earn(self, needed: int, share: float) -> None:
        """Adds tokens for needed calls.

        Args:
            needed: The number of needed calls.
            share: The budget's share, 0 to 1; 0 also discards saved tokens.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + needed * share)
        if share <= 0:
            self._tokens = 0.0

    def can_spend(self) -> bool:
        """Returns True if a token is available."""
        return self._tokens >= 1.0

    def spend(self) -> bool:
        """Spends one token; returns False if none is available."""
        if not self.can_spend():
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
