"""Which events of a timeline are wanted."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from azureramp import events, timelines


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """What an operator asks for; empty and None want everything.

    Attributes:
        request: A request id.
        key: An idempotency key.
        zone: An availability zone.
        since_s: The earliest wall-clock time, in seconds since 1970.
        until_s: The first time that is too late.
    """

    request: str = ""
    key: str = ""
    zone: str = ""
    since_s: float | None = None
    until_s: float | None = None


def select(
    records: Iterable[timelines.Record], wanted: Wanted
) -> Iterator[timelines.Record]:
    """Selects the wanted events, in their order."""
    kept = list(records)
    if wanted.request:
        kept = [r for r in kept if _get(r, "request_id") == wanted.request]
    if wanted.key:
        kept = _select_key(kept, wanted.key)
    if wanted.zone:
        kept = _select_zone(kept, wanted.zone)
    for record in kept:
        if wanted.since_s is not None and record.at_s < wanted.since_s:
            continue
        if wanted.until_s is not None and record.at_s >= wanted.until_s:
            continue
        yield record


def _select_key(
    records: list[timelines.Record], key: str
) -> list[timelines.Record]:
    """Selects the events of every request that came with a key."""
    requests = {
        _get(record, "request_id")
        for record in records
        if key in (_get(record, "idempotency_key"), _get(record, "key"))
    }
    requests.discard("")
    return [
        record
        for record in records
        if _get(record, "request_id") in requests
        or key in (_get(record, "idempotency_key"), _get(record, "key"))
    ]


def _select_zone(
    records: list[timelines.Record], zone: str
) -> list[timelines.Record]:
    """Selects the events that concern a zone.

    Those are the ones that name it, what became of the sub-requests that
    were sent there, and the configuration that changes it or says it is out.
    """
    parts = {
        (event.request_id, event.part)
        for event in (record.event for record in records)
        if isinstance(event, events.PartDispatched) and event.zone == zone
    }
    return [r for r in records if _concerns(r.event, zone, parts)]


def _concerns(
    event: events.AnyEvent, zone: str, parts: set[tuple[str, int]]
) -> bool:
    match event:
        case events.PartDispatched() | events.ProcessStarted():
            return event.zone == zone
        case events.PartEnded() | events.PartChosen():
            return (event.request_id, event.part) in parts
        case events.ConfigurationApplied(changed=changed, zones_out=out):
            return zone in out or f"availability_zone/{zone}" in changed
        case events.ConfigurationAccepted(resource_kind=kind, name=name):
            return (kind, name) == ("availability_zone", zone)
        case _:
            return False


def _get(record: timelines.Record, field: str) -> str:
    return str(getattr(record.event, field, ""))
