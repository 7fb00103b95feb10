"""Records of what callers, searchers and operators observed in a run."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request that a caller sent, and its outcome.

    Attributes:
        id: The request's id.
        path: The path.
        vm: The name of the VM that it was sent to.
        sent_s: When it was sent, on the loop's clock.
        deadline_s: How long the caller waits, in seconds.
        key: The key of its client account; empty if it was sent without one.
        ended_s: When it ended, on the loop's clock; 0 while it is running.
        status: The status; 0 if the connection ended without an answer, -1
            if the caller timed out.
        headers: The answer's headers, names in lower case.
        body: The answer's body.
    """

    id: str
    path: str
    vm: str
    sent_s: float
    deadline_s: float
    key: str = ""
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def is_public(self) -> bool:
        """Returns True if its route needs no key."""
        return self.path.startswith("/open/")


@dataclasses.dataclass(slots=True)
class KeySpan:
    """A client account's key and the time in which it was valid.

    Attributes:
        account: The account's name.
        key: The key.
        from_s: When the first configuration with it was written, on the loop's
            clock; minus infinity if it was the run's first one.
        until_s: When the first configuration without it was written, on the
            loop's clock; infinity if it was never revoked.
    """

    account: str
    key: str
    from_s: float
    until_s: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A call that reached a searcher.

    Attributes:
        at_s: When it arrived, on the loop's clock.
        id: The request's id.
        searcher: The searcher's id.
        service: The searcher's service.
        ran: False if the searcher rejected the call without running it.
        deadline_s: The searcher's time limit for the call, in seconds.
        signature: The searcher's stamp on the answer.
        body: The answer's body.
        account: The client account that the searcher was told.
        has_key: True if the call contained a client account's key.
    """

    at_s: float
    id: str
    searcher: str
    service: str
    ran: bool
    deadline_s: float
    signature: str
    body: bytes
    account: str = ""
    has_key: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FaultSpan:
    """An injected fault with its actual times.

    Attributes:
        kind: The kind of target: `vm`, `link`, `store`, `searcher` or
            `operator`.
        name: The target's name.
        how: The fault's name.
        began_s: When it began, on the loop's clock.
        ended_s: When it ended, on the loop's clock.
    """

    kind: str
    name: str
    how: str
    began_s: float
    ended_s: float


@dataclasses.dataclass(slots=True)
class History:
    """The history of a whole run; times are on the loop's clock.

    Attributes:
        requests: The callers' requests.
        arrivals: The calls that reached searchers.
        fault_spans: The injected faults.
        versions: For each configuration version, the target service of its
            `/move/` route and when it was written to the store.
        keys: The keys of the client accounts; empty in a run without them.
        start_times: When the processes started, by VM.
        end_times: When the processes exited, by VM.
        advertised: The directory answers: the time, the VM that answered and
            the VMs that it advertised.
        faults_ended_s: When the last fault ended.
        ended_s: When the run ended.
    """

    requests: list[CallerRequest] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    fault_spans: list[FaultSpan] = dataclasses.field(default_factory=list)
    versions: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    keys: dict[str, KeySpan] = dataclasses.field(default_factory=dict)
    start_times: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    end_times: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    advertised: list[tuple[float, str, tuple[str, ...]]] = dataclasses.field(
        default_factory=list
    )
    faults_ended_s: float = 0.0
    ended_s: float = 0.0
