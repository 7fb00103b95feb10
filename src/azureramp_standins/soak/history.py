"""What callers, searchers and operators saw in a run."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Try:
    """One try of a caller.

    Attributes:
        id: Its id.
        path: The path.
        vm: The name of the VM that it was sent to.
        sent_s: When it was sent.
        deadline_s: How long the caller waits, in seconds.
        ended_s: When it ended.
        status: The status; 0 if the connection ended without an answer, -1
            if the caller gave up.
        headers: The answer's headers, names in lower case.
        body: The answer's body.
    """

    id: str
    path: str
    vm: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A call that reached a searcher.

    Attributes:
        at_s: When.
        id: The request's id.
        searcher: The searcher's id.
        service: Its service.
        ran: False if the searcher said that it did not run it.
        deadline_s: The time that it was given, in seconds.
        signature: Its signature of the answer.
        body: The body of its answer.
    """

    at_s: float
    id: str
    searcher: str
    service: str
    ran: bool
    deadline_s: float
    signature: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A fault as it happened.

    Attributes:
        kind: What was harmed: `vm`, `link`, `store`, `searcher` or
            `operator`.
        name: Whose.
        how: What was done.
        began_s: When it began.
        ended_s: When it ended.
    """

    kind: str
    name: str
    how: str
    began_s: float
    ended_s: float


@dataclasses.dataclass(slots=True)
class History:
    """A whole run.

    Attributes:
        tries: The callers' tries.
        arrivals: What reached searchers.
        spans: The faults.
        versions: The service that each version's moving route names, and when
            the store took the version.
        starts: When each VM's processes began.
        ends: When they ended.
        named: Which VMs a VM told callers of, and when.
        healed_s: When the last fault had ended.
        ended_s: When the run ended.
    """

    tries: list[Try] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    versions: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    starts: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    ends: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    named: list[tuple[float, str, tuple[str, ...]]] = dataclasses.field(
        default_factory=list
    )
    healed_s: float = 0.0
    ended_s: float = 0.0
