"""What happened: the input of every check."""

from __future__ import annotations

import dataclasses

from azureramp import resources, timelines


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A backend server took a request, as it saw it itself.

    Attributes:
        at_s: When, on the clock that all of the history shares.
        request_id: The caller's request.
        searcher: The searcher.
        server: Its backend server.
        zone: The backend server's availability zone.
        version: The index version asked for.
        in_use: Requests in it, this one included.
        cold_limit: Its bound while cold; None while it is warm, and from
            turning cold without a word to its first sign of that: before it
            nobody else can know.
        idempotency_key: The key of a request that may not be repeated.
        is_probe: True for a read of its health, which is no work.
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
class Received:
    """What a caller got for one request, or that it got nothing.

    Attributes:
        sent_s: When the request was sent.
        got_s: When the answer was there, or the connection ended.
        vm: The VM that it was sent to.
        answered: False if the connection ended without a whole answer.
        code: `ok`, or the code of the error kind; empty if not answered.
        ran: `ran`, `not_run` or `unknown`; empty if not answered.
        request_id: As the answer states it.
        idempotency_key: As the request stated it.
        version: The stated index version.
        coverage: The stated coverage.
        complete: Whether the answer says that it is complete.
        missing: The stated missing ranges.
        item_keys: The keys of the items.
        wanted: What the request asked for, as `item_tag` of each item.
        item_tags: The tag of each item, which names query and version.
        connected: False if not even a connection could be opened, so that
            nothing was cut.
    """

    sent_s: float
    got_s: float
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
    wanted: str = ""
    item_tags: tuple[str, ...] = ()
    connected: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """A planned stop of a VM.

    Attributes:
        vm: The VM.
        began_s: When it was told to stop.
        ended_s: When its process was gone.
        limit_reached: True if it said that it cut work.
    """

    vm: str
    began_s: float
    ended_s: float
    limit_reached: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The stated bounds.

    Attributes:
        zone_out_s: From the acceptance of a zone's leaving to the last new
            work there.
        server_leaving_s: The same for a backend server.
        in_force_s: From acceptance to being in force on every VM that takes
            work.
    """

    zone_out_s: float = 3.0
    server_leaving_s: float = 3.0
    in_force_s: float = 3.0


@dataclasses.dataclass(slots=True)
class History:
    """Everything that happened in one run.

    Attributes:
        records: The events of all processes, merged.
        arrivals: What the backend servers saw; empty if not known.
        received: What the callers got; empty if not known.
        stops: The planned stops.
        shard_maps: Every shard map that was ever declared, by its name.
        keys_by_tag: For each item tag, the keys that a complete answer has.
        end_s: When the run ended.
        bounds: The stated bounds.
    """

    records: list[timelines.Record] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    received: list[Received] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    shard_maps: dict[str, resources.ShardMap] = dataclasses.field(
        default_factory=dict
    )
    keys_by_tag: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    end_s: float = 0.0
    bounds: Bounds = dataclasses.field(default_factory=Bounds)


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """One promise broken once.

    Attributes:
        invariant: The promise's name, see `checker.INVARIANTS`.
        at_s: When it showed.
        words: What was wrong, with the names of what it concerns.
    """

    invariant: str
    at_s: float
    words: str
