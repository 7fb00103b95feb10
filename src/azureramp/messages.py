"""The messages between the daemons.

Peer messages are msgspec structs (classes with slots and a codec), tagged by
type, packed as MessagePack. A message never carries a wall-clock time to
decide by: times are durations, in milliseconds, that the receiver counts
from the arrival on its own monotonic clock.
"""

from __future__ import annotations

import math

import msgspec

from azureramp import resources


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """What all peer messages have: their type's tag."""


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """One sub-request: one shard on one searcher.

    Attributes:
        part: The sub-request's number, unique within its request, hedges and
            retries included.
        searcher: The searcher's name.
        shard: The shard's name in the pinned shard map.
        low: The first key of the shard.
        high: The first key after the shard.
    """

    part: int
    searcher: str
    shard: str
    low: int
    high: int


class QueryBatch(Message, frozen=True, kw_only=True, tag="query_batch"):
    """All sub-requests of one request for the searchers of one owner.

    Attributes:
        request_id: The request, unique in the deployment.
        index: The index.
        version: The pinned index version.
        priority: The caller's priority.
        remaining_ms: Time left until the request's deadline at sending, with
            the hop's margin taken off.
        fingerprint: The hash by which crashes are blamed on a request.
        repeatable: False if at most one attempt may ever be made.
        isolated: True if nothing else may run beside it on its searcher.
        body: The caller's query, JSON.
        parts: The sub-requests.
    """

    request_id: str
    index: str
    version: int
    priority: resources.Priority
    remaining_ms: float
    fingerprint: int
    repeatable: bool = True
    isolated: bool = False
    body: bytes
    parts: tuple[PartRequest, ...]


class Cancel(Message, frozen=True, kw_only=True, tag="cancel"):
    """Sub-requests whose result nobody waits for any more.

    Attributes:
        request_id: The request.
        parts: The numbers of the sub-requests.
    """

    request_id: str
    parts: tuple[int, ...]


class PartDone(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A sub-request's whole result, as the searcher stated it.

    Attributes:
        part: The sub-request's number.
        version: The index version that it was computed from.
        low: The first key of the range that it covers.
        high: The first key after that range.
        items: The result's items, a JSON array.
        service_ms: Time that the searcher took, in milliseconds.
    """

    part: int
    version: int
    low: int
    high: int
    items: bytes
    service_ms: float


class PartFailed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A sub-request without a result.

    Attributes:
        part: The sub-request's number.
        kind: The code of the error kind, a value of `errors.Kind`.
        sent: True if any byte may have reached the backend server.
        retry_after_ms: Time until asking again can help, in milliseconds.
        detail: Words for the log.
    """

    part: int
    kind: str
    sent: bool
    retry_after_ms: int = 0
    detail: str = ""


PartResult = PartDone | PartFailed


class PartResults(Message, frozen=True, kw_only=True, tag="part_results"):
    """Results of sub-requests of one request, on their way back.

    Attributes:
        request_id: The request.
        results: One result for each sub-request that ended.
    """

    request_id: str
    results: tuple[PartResult, ...]


class PartsLate(Message, frozen=True, kw_only=True, tag="parts_late"):
    """Sub-requests that run for unusually long on their searchers.

    Only the owner can tell a call that runs long from one that has waited
    long, and only for the first is a second attempt worth its cost.

    Attributes:
        request_id: The request.
        parts: The numbers of the sub-requests.
    """

    request_id: str
    parts: tuple[int, ...]


class SearcherState(msgspec.Struct, frozen=True, array_like=True):
    """What an owner tells the others of one of its searchers.

    Attributes:
        searcher: The searcher's name.
        incarnation: The searcher process's start number, as it reports it;
            0 while unknown.
        usable: True while the owner would send work there.
        limit: How many requests it gets at once now, after its cold ramp.
        queued: Sub-requests that wait for it.
        service_ms: Its median service time, in milliseconds; 0 if unknown.
        versions: The `index.version` names that it serves.
    """

    searcher: str
    incarnation: int
    usable: bool
    limit: int
    queued: int
    service_ms: float
    versions: tuple[str, ...]


HEARTBEAT_KEYS = {
    "claims": "c",
    "confirmed_age_ms": "a",
    "granted": "g",
    "incarnation": "i",
    "leaving": "l",
    "lease_ms": "m",
    "lists": "t",
    "owns": "o",
    "ready": "r",
    "refused": "f",
    "revision": "v",
    "searchers": "e",
    "sequence": "s",
    "suspects": "p",
    "urgent": "u",
}
"""Keys on the wire: heartbeats are most of the traffic of a quiet cell."""


class Heartbeat(
    Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=HEARTBEAT_KEYS,
    tag="heartbeat",
):
    """A VM's state, to every other VM of its cell.

    Attributes:
        sequence: Ascending within the sender's incarnation; echoed in the
            acknowledgement.
        leaving: True once the sender shuts down.
        ready: True once the sender has a configuration and serves callers.
        revision: The configuration revision that it has in force.
        confirmed_age_ms: How long ago the platform confirmed that this
            revision is its newest, at most; infinity if never.
        lease_ms: The heartbeat lease asked for, in milliseconds; 0 for none.
        searchers: The states of the searchers that it owns; None if they are
            as in the last heartbeat.
        claims: The identities (see `policy.leases`) of the searchers that it
            asks a lease for.
        lists: The names in the VM lists that it has read of late, if they
            were several.
        suspects: The listed VMs that it does not hear.
        owns: True once the sender takes searchers over.
        urgent: True if the acknowledgement should come at once; else it may
            wait for the answerer's own next heartbeat.
    """

    sequence: int
    leaving: bool
    ready: bool
    revision: int
    confirmed_age_ms: float
    lease_ms: float
    searchers: tuple[SearcherState, ...] | None = ()
    claims: tuple[int, ...] = ()
    lists: tuple[tuple[str, ...], ...] = ()
    suspects: tuple[str, ...] = ()
    owns: bool = False
    urgent: bool = False


class HeartbeatAck(
    Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=HEARTBEAT_KEYS,
    tag="heartbeat_ack",
):
    """The answer to a heartbeat.

    Attributes:
        sequence: The heartbeat's sequence.
        granted: True if the answerer promises to see no other owner of the
            sender's searchers before the lease has run out.
        revision: The answerer's configuration revision; 0 while it has none
            of its own right, so that it counts towards no majority.
        confirmed_age_ms: As in a heartbeat, of the answerer.
        incarnation: The answerer's incarnation.
        refused: The claims that it does not grant, since it has promised
            these searchers to another VM or incarnation.
        lists: The hashes of the VM lists that it has read of late.
    """

    sequence: int
    granted: bool
    revision: int
    confirmed_age_ms: float = math.inf
    incarnation: int = 0
    refused: tuple[int, ...] = ()
    lists: tuple[int, ...] = ()


class ConfigurationRequest(
    Message, frozen=True, kw_only=True, tag="configuration_request"
):
    """Asks a peer for the entries that the sender lacks.

    Attributes:
        after: The sender's revision.
    """

    after: int


class ConfigurationUpdate(
    Message, frozen=True, kw_only=True, tag="configuration_update"
):
    """Configuration entries from a peer.

    Attributes:
        revision: The revision that the receiver has after applying them.
        after: The revision that the receiver must already have; 0 if the
            entries are the whole configuration.
        confirmed_age_ms: As in a heartbeat.
        entries: The entries.
    """

    revision: int
    after: int
    confirmed_age_ms: float
    entries: tuple[resources.Versioned, ...]


class Handoff(Message, frozen=True, kw_only=True, tag="handoff"):
    """An old owner gives a searcher to the new one.

    Attributes:
        searcher: The searcher's name.
        incarnation: The searcher's incarnation that the state belongs to.
        in_use: Slots still in use by the old owner; the new owner leaves so
            many free until `HandoffDone`, or until the old lease ran out.
        limit: The cold ramp's limit.
        service_ms: The median service time, in milliseconds.
        running_ms: The longest time that what still runs may take, in
            milliseconds: each call ends at its deadline.
        versions: The `index.version` names that it serves.
        slow: How many of its recent calls were slow.
    """

    searcher: str
    incarnation: int
    in_use: int
    limit: int
    service_ms: float
    running_ms: float = 0.0
    versions: tuple[str, ...] = ()
    slow: int = 0


class HandoffDone(Message, frozen=True, kw_only=True, tag="handoff_done"):
    """The old owner has nothing running on the searchers any more.

    Attributes:
        searchers: Their names.
    """

    searchers: tuple[str, ...]


class CrashNotice(Message, frozen=True, kw_only=True, tag="crash_notice"):
    """A backend server crashed while these requests were in flight on it.

    Attributes:
        server: The backend server's name.
        crash_id: Unique, so that a notice counts once however it arrives.
        fingerprints: The fingerprints in flight there.
        quarantine_ms: For those already quarantined, the time left; 0 else.
    """

    server: str
    crash_id: str
    fingerprints: tuple[int, ...]
    quarantine_ms: int = 0


PeerMessage = (
    QueryBatch
    | Cancel
    | PartResults
    | PartsLate
    | Heartbeat
    | HeartbeatAck
    | ConfigurationRequest
    | ConfigurationUpdate
    | Handoff
    | HandoffDone
    | CrashNotice
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One or more peer messages on the wire.

    Attributes:
        sender: The sending VM's name.
        incarnation: The sending process's incarnation.
        clock: The sender's hybrid logical clock, see `events`.
        messages: The messages, in order.
    """

    sender: str
    incarnation: int
    clock: int
    messages: tuple[PeerMessage, ...]
