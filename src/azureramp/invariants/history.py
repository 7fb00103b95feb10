"""The history of a run, which is the input of every check."""

from __future__ import annotations

import dataclasses

from azureramp import resources, timelines


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request received by a backend server, as the server recorded it.

    Attributes:
        at_s: The time of arrival, in seconds on the clock shared by the whole
            history.
        request_id: The id of the caller's request.
        searcher: The searcher that received it.
        server: The searcher's backend server.
        zone: The backend server's availability zone.
        version: The requested index version.
        in_use: Number of requests running on the searcher, including this
            one.
        cold_limit: The maximum of `in_use` during a cold start. None while
            the searcher is warm. Also None from an unannounced cold start
            until the searcher first reports it, since no other process can
            know of it before.
        idempotency_key: The key of a non-idempotent request, else empty.
        is_probe: True for a health check, which is not work.
    """

    at_s: float
    request_id: str
    searcher: str
    server: str
    zone: str
    version: int
    in_use: int = 1
    cold_limit: int | None = None
    idempotency_key: str = ""
    is_probe: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOutcome:
    """The outcome of one request as seen by its caller.

    Attributes:
        sent_s: The time at which the request was sent, in seconds.
        ended_s: The time at which the answer was complete or the connection
            ended, in seconds.
        vm: The VM that the request was sent to.
        answered: False if the connection ended before a complete answer.
        code: `ok`, or the code of the error kind; empty if not answered.
        ran: `ran`, `not_run` or `unknown`; empty if not answered.
        request_id: The request id in the answer.
        idempotency_key: The idempotency key of the request.
        version: The index version in the answer.
        coverage: The coverage in the answer.
        complete: Whether the answer is marked as complete.
        missing: The missing ranges in the answer.
        item_keys: The keys of the items.
        expected_query: The query part of the tag that each item should have.
        item_tags: The tag of each item: query and index version.
        connected: False if no connection could be opened, so that no request
            was aborted.
    """

    sent_s: float
    ended_s: float
    vm: str
    answered: bool
    code: str = ""
    ran: str = ""
    request_id: str = ""
    idempotency_key: str = ""
    version: int = 0
    coverage: float = 0.0
    complete: bool = False
    missing: tuple[tuple[int, int], ...] = ()
    item_keys: tuple[int, ...] = ()
    expected_query: str = ""
    item_tags: tuple[str, ...] = ()
    connected: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedStop:
    """A planned stop of a VM.

    Attributes:
        vm: The name of the VM.
        began_s: The time of the request to stop, in seconds.
        ended_s: The time at which its process had exited, in seconds.
        aborted_requests: True if the VM reported that it aborted requests.
    """

    vm: str
    began_s: float
    ended_s: float
    aborted_requests: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class TimeBounds:
    """Time bounds of the invariants, in seconds.

    Attributes:
        zone_out_s: Maximum time from the acceptance of a zone's removal from
            service until the zone receives no new work.
        server_leaving_s: The same for the removal of a backend server.
        in_force_s: Maximum time from the acceptance of a configuration until
            it is in force on every VM that takes work.
    """

    zone_out_s: float = 3.0
    server_leaving_s: float = 3.0
    in_force_s: float = 3.0


@dataclasses.dataclass(slots=True)
class History:
    """Everything that was recorded in one run.

    Attributes:
        records: The events of all processes, merged.
        arrivals: The requests received by backend servers; empty if not
            recorded.
        outcomes: The outcomes of the callers' requests; empty if not
            recorded.
        stops: The planned stops.
        shard_maps: All shard maps that existed during the run, by name.
        keys_by_tag: The keys of a complete answer, by item tag.
        end_s: The time at which the run ended, in seconds.
        bounds: The time bounds of the invariants.
    """

    records: list[timelines.Record] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    outcomes: list[RequestOutcome] = dataclasses.field(default_factory=list)
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    shard_maps: dict[str, resources.ShardMap] = dataclasses.field(
        default_factory=dict
    )
    keys_by_tag: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    end_s: float = 0.0
    bounds: TimeBounds = dataclasses.field(default_factory=TimeBounds)


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """One violation of an invariant.

    Attributes:
        invariant: The name of the invariant; see `checker.INVARIANTS`.
        at_s: The time of the violation, in seconds.
        description: A description that names the objects concerned.
    """

    invariant: str
    at_s: float
    description: str
