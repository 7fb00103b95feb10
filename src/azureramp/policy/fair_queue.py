"""Queue of requests that wait for their turn, fair between client accounts.

Load: one account sends many times its usual number of requests, or callers
repeat at once. Inputs: the priority and account of each request, and whether
its caller was told to return now. Outcome: the order in which they are served:
by priority, then one of each account in turn, and of one account those that
return before newcomers. An account with many requests only delays itself.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that asks for its turn.

    Attributes:
        account: Its client account; empty if it has none.
        priority: Its priority; 0 is the highest.
        weight: The account's share of the room, relative to others.
        returning: True if its caller waited as long as it was told to.
        patience_s: How long it may wait and still be answered in time, in
            seconds.
        draw: A uniform random number from 0 to 1, which spreads what would
            otherwise happen to all requests alike.
    """

    account: str
    priority: int
    weight: float
    returning: bool
    patience_s: float
    draw: float


class FairQueue:
    """Tickets in the order in which they are served."""

    __slots__ = ("_by_priority", "_length")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_priority: dict[int, collections.OrderedDict[str, _Line]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of tickets."""
        return self._length

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        lines = self._by_priority.setdefault(
            ticket.priority, collections.OrderedDict()
        )
        line = lines.setdefault(ticket.account, _Line())
        line.get_part(ticket).append(ticket)
        self._length += 1

    def list_next(self) -> Iterator[Ticket]:
        """Yields the next ticket of each account, in order."""
        for priority in sorted(self._by_priority):
            for line in self._by_priority[priority].values():
                yield line.peek()

    def remove(self, ticket: Ticket, served: bool = False) -> bool:
        """Removes a ticket; returns False if it is not in the queue.

        Args:
            ticket: The ticket.
            served: True if it was its account's turn, which puts the account
                behind the others.
        """
        lines = self._by_priority.get(ticket.priority)
        line = lines.get(ticket.account) if lines else None
        if not lines or line is None or ticket not in line.get_part(ticket):
            return False
        line.get_part(ticket).remove(ticket)
        self._length -= 1
        if not len(line):
            del lines[ticket.account]
        elif served:
            lines.move_to_end(ticket.account)
        if not lines:
            del self._by_priority[ticket.priority]
        return True

    def has_others(self, ticket: Ticket) -> bool:
        """Returns True if others of a ticket's account and priority wait."""
        return ticket.account in self._by_priority.get(ticket.priority, {})

    def count_before(self, ticket: Ticket) -> int:
        """Counts the tickets that are served before a new one."""
        before = 0
        for priority, lines in self._by_priority.items():
            if priority < ticket.priority:
                before += sum(len(line) for line in lines.values())
        lines = self._by_priority.get(
            ticket.priority, collections.OrderedDict()
        )
        own = lines.get(ticket.account, _Line())
        ahead = len(own.returning)
        if not ticket.returning:
            ahead += len(own.newcomers)
        for account, line in lines.items():
            if account != ticket.account:
                before += min(len(line), ahead + 1)
        return before + ahead


class _Line:
    """The tickets of one account and priority."""

    __slots__ = ("newcomers", "returning")

    def __init__(self) -> None:
        self.returning: collections.deque[Ticket] = collections.deque()
        self.newcomers: collections.deque[Ticket] = collections.deque()

    def __len__(self) -> int:
        return len(self.returning) + len(self.newcomers)

    def get_part(self, ticket: Ticket) -> collections.deque[Ticket]:
        """Returns the part of the line that a ticket belongs to."""
        return self.returning if ticket.returning else self.newcomers

    def peek(self) -> Ticket:
        """Returns the first ticket."""
        return (self.returning or self.newcomers)[0]
