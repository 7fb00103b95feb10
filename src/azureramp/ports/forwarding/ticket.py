"""A call that was submitted to a searcher's connections."""

from __future__ import annotations

from azureramp.ports.forwarding import api
from azureramp.ports.forwarding import link as link_module


class Ticket:
    """A call that waits for a connection or its answer; see `api.Ticket`.

    Attributes:
        call: The call.
        receiver: Takes its outcome; None once nobody waits for it.
        link: The connection that it was written to; None while it waits.
    """

    __slots__ = ("call", "link", "receiver")

    def __init__(self, call: api.Call, receiver: api.Receiver) -> None:
        """Makes the ticket of a call that waits."""
        self.call = call
        self.receiver: api.Receiver | None = receiver
        self.link: link_module.Link | None = None

    def is_sent(self) -> bool:
        """Tells whether the call was written to a connection."""
        return self.link is not None

    def abandon(self, linger_s: float) -> None:
        """Ends a call that nobody waits for; see `api.Ticket`."""
        if self.link is None:
            self.receiver = None
        else:
            self.link.cut_after(linger_s)

    def deliver(self, outcome: api.Outcome) -> None:
        """Hands an outcome to whoever still waits for it."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver(outcome)
