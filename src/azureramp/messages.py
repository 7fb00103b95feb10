"""The messages between the daemons.

Peer messages are msgspec structs (classes with slots and a codec), tagged by
type and encoded as MessagePack. No decision depends on a wall-clock time in a
message: times are sent as durations in milliseconds, which the receiver counts
from the message's arrival on its own monotonic clock.
"""

from __future__ import annotations

import math

import msgspec

from azureramp import resources


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base class of all peer messages, which are tagged by type."""


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """One sub-request: one shard on one searcher.

    Attributes:
        part: The sub-request's number, unique among the request's
            sub-requests, including hedges and retries.
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
        request_id: The id of the request, unique in the deployment.
        index: The index.
        version: The pinned index version.
        priority: The caller's priority.
        remaining_ms: Time from sending until the request's deadline, minus a
            margin for this hop.
        fingerprint: The hash by which crashes are attributed to a request.
        repeatable: False if at most one attempt may ever be made.
        isolated: True if no other request may run on the searcher at the same
            time.
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
    """Sub-requests whose results are no longer needed.

    Attributes:
        request_id: The id of the request.
        parts: The numbers of the sub-requests.
    """

    request_id: str
    parts: tuple[int, ...]


class PartDone(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The complete result of a sub-request, as returned by the searcher.

    Attributes:
        part: The sub-request's number.
        version: The index version that it was computed from.
        low: The first key of the range that it covers.
        high: The first key after that range.
        items: The result's items, a JSON array.
        service_ms: The searcher's processing time, in milliseconds.
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
        retry_after_ms: Time after which a retry can succeed, in milliseconds.
        detail: A message for the log.
    """

    part: int
    kind: str
    sent: bool
    retry_after_ms: int = 0
    detail: str = ""


PartResult = PartDone | PartFailed


class PartResults(Message, frozen=True, kw_only=True, tag="part_results"):
    """Results of sub-requests of one request, sent back to its coordinator.

    Attributes:
        request_id: The id of the request.
        results: One result for each finished sub-request.
    """

    request_id: str
    results: tuple[PartResult, ...]


class PartsLate(Message, frozen=True, kw_only=True, tag="parts_late"):
    """Sub-requests that run unusually long on their searchers.

    Only the owner can distinguish a call that runs long from one that has
    been queued long, and an extra call is worth its cost only for the former.

    Attributes:
        request_id: The id of the request.
        parts: The numbers of the sub-requests.
    """

    request_id: str
    parts: tuple[int, ...]


class SearcherState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a searcher, as announced by its owner to the other VMs.

    Attributes:
        searcher: The searcher's name.
        incarnation: The start number of the searcher's process, as reported
            by the process; 0 while unknown.
        usable: True while the owner would send work to it.
        limit: Current maximum of concurrent requests, from its cold ramp.
        queued: Number of sub-requests queued for it.
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
"""The field names on the wire. They are short, because heartbeats are most of
the traffic of an idle cell."""


class Heartbeat(
    Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=HEARTBEAT_KEYS,
    tag="heartbeat",
):
    """The state of a VM, sent to every other VM of its cell.

    Attributes:
        sequence: Ascending within the sender's incarnation; returned in the
            acknowledgement.
        leaving: True once the sender shuts down.
        ready: True once the sender has a configuration and serves callers.
        revision: The configuration revision in force on the sender.
        confirmed_age_ms: Maximum age of the platform's confirmation that this
            revision is current, in milliseconds; infinity if there is none.
        lease_ms: The requested heartbeat lease, in milliseconds; 0 for none.
        searchers: The states of the searchers that the sender owns; None if
            nothing important has changed since they were last sent.
        claims: The identities (see `policy.leases`) of the searchers for
            which the sender requests a lease.
        lists: The names in the VM lists that the sender has read recently,
            if there was more than one list.
        suspects: The listed VMs with which the sender has no contact.
        owns: True once the sender takes over searchers.
        urgent: True if the acknowledgement should be sent at once; otherwise
            it may be sent with the receiver's next heartbeat.
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
    """The acknowledgement of a heartbeat.

    Its sender is the VM that received the heartbeat; the holder is the VM
    that sent the heartbeat.

    Attributes:
        sequence: The heartbeat's sequence.
        granted: True if the sender guarantees to accept no other owner of the
            holder's searchers before the lease has expired.
        revision: The sender's configuration revision; 0 while its
            configuration is unconfirmed, so that it counts towards no
            majority.
        confirmed_age_ms: As in a heartbeat, for the sender.
        incarnation: The sender's incarnation.
        refused: The claims that are not granted, since these searchers are
            already granted to another VM or incarnation.
        lists: The hashes of the VM lists that the sender has read recently.
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
    """A request to a peer for the entries that the sender lacks.

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
    """The previous owner of a searcher hands it off to the new owner.

    Attributes:
        searcher: The searcher's name.
        incarnation: The searcher's incarnation to which the state belongs.
        in_use: Number of slots still in use by the previous owner. The new
            owner leaves that many slots unused until `HandoffDone` arrives or
            the previous owner's lease has expired.
        limit: The limit of the cold ramp.
        service_ms: The median service time, in milliseconds.
        running_ms: Maximum remaining time of the calls that are still
            running, in milliseconds: each call ends at its deadline.
        versions: The `index.version` names that it serves.
        slow: Number of its recent calls that were slow.
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
    """The previous owner has no more calls running on the searchers.

    Attributes:
        searchers: The searchers' names.
    """

    searchers: tuple[str, ...]


class CrashNotice(Message, frozen=True, kw_only=True, tag="crash_notice"):
    """A backend server crashed while these requests were in flight on it.

    Attributes:
        server: The backend server's name.
        crash_id: Unique id of the crash, so that it is counted once even if
            several notices of it arrive.
        fingerprints: The fingerprints of the requests in flight on it.
        quarantine_ms: Remaining quarantine of the requests if they are
            already quarantined, in milliseconds; 0 otherwise.
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
        clock: The sender's hybrid logical clock; see `timelines`.
        messages: The messages, in order.
    """

    sender: str
    incarnation: int
    clock: int
    messages: tuple[PeerMessage, ...]
