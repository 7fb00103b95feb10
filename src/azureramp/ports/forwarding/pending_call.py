"""A call that was submitted to a searcher's connection pool."""

from __future__ import annotations

from azureramp.ports.forwarding import api, searcher_connection


class PendingCall:
    """A call that waits for a connection or its answer; see `api.PendingCall`.

    Attributes:
        call: The call.
        receiver: Called with its outcome; None once the outcome is not needed.
        link: The connection that it was written to; None while it waits for
            one.
    """

    __slots__ = ("call", "link", "receiver")

    def __init__(self, call: api.Call, receiver: api.Receiver) -> None:
        """Creates a call that waits for a connection."""
        self.call = call
        self.receiver: api.Receiver | None = receiver
        self.link: searcher_connection.SearcherConnection | None = None

    def is_sent(self) -> bool:
        """Returns True if the call was written to a connection."""
        return self.link is not None

    def abandon(self, linger_s: float) -> None:
        """Ends a call that is no longer needed; see `api.PendingCall`."""
        if self.link is None:
            self.receiver = None
        else:
            self.link.abort_after(linger_s)

    def deliver(self, outcome: api.Outcome) -> None:
        """Passes an outcome to the receiver, unless it was already called."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver(outcome)
