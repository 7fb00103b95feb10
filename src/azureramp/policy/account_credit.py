"""One VM's credit for a client account.

The load: most requests of an account that is within its limit. The VM sends
them at once, on credit, and settles them afterwards with the VM that decides
for the account. Uses that can't be settled count until a window has passed, so
the credit is all that a VM can use in a window without the deciding VM.

Uses are reported as running totals, so a report may be lost, repeated or
overtaken. A total may include requests that wait for a token; if the answer is
lost, so are the tokens.
"""

from __future__ import annotations

import collections


class AccountCredit:
    """The uses of one account's limit by one VM.

    Attributes:
        settled: Running total of the uses that the deciding VM has settled or
            that no longer matter.
    """

    __slots__ = ("_reported", "_unsettled_s", "settled")

    def __init__(self, settled: int = 0) -> None:
        """Creates a credit of which nothing is used.

        Args:
            settled: The first running total. It must not be lower than an
                earlier one of the same process and account.
        """
        self._unsettled_s: collections.deque[float] = collections.deque()
        self.settled = settled
        # The deciding VM may have settled what was reported up to this total.
        self._reported = settled

    def count_unsettled(self, now_s: float, window_s: float) -> int:
        """Returns the number of uses in the window that are not settled."""
        while self._unsettled_s and self._unsettled_s[0] < now_s - window_s:
            self._unsettled_s.popleft()
            self.settled += 1
        return len(self._unsettled_s)

    def use(self, now_s: float, window_s: float, allowed: float) -> bool:
        """Uses the credit for one request; False if none is left.

        Args:
            now_s: The current time, in seconds.
            window_s: The window of the limit, in seconds.
            allowed: The credit, in requests.
        """
        if self.count_unsettled(now_s, window_s) + 1 > allowed:
            return False
        self._unsettled_s.append(now_s)
        return True

    def give_back(self) -> None:
        """Returns the use of a request that was not sent.

        A use that may be settled already is lost: its token may be too old.
        """
        if self._unsettled_s and self._get_total() > self._reported:
            # Those that stay must not count for a shorter time.
            self._unsettled_s.popleft()

    def get_asked(self, waiting: int) -> int:
        """Returns the running total to report; it can't be taken back.

        Args:
            waiting: Number of requests that wait for a token.
        """
        asked = self._get_total() + waiting
        self._reported = max(self._reported, asked)
        return asked

    def settle(self, total: int) -> int:
        """Applies an answer.

        Args:
            total: The running total that the deciding VM has settled.

        Returns:
            The tokens that no use needed; they are for requests that wait and
            lost otherwise.
        """
        count = max(0, total - self.settled)
        self.settled += count
        while count and self._unsettled_s:
            self._unsettled_s.popleft()
            count -= 1
        return count

    def skip(self, waiting: int) -> None:
        """Gives up the tokens of a report that was not answered in time.

        Args:
            waiting: Number of waiting requests that the report included.
        """
        self.settled += waiting

    def get_wait_s(self, now_s: float, window_s: float) -> float:
        """Returns the time until the oldest use stops counting, in seconds."""
        if not self._unsettled_s:
            return window_s
        return max(0.0, self._unsettled_s[0] + window_s - now_s)

    def _get_total(self) -> int:
        """Returns the running total of all uses."""
        return self.settled + len(self._unsettled_s)
