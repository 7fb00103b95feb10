"""Filters for the events of a timeline."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from azureramp import events, timelines


@dataclasses.dataclass(slots=True, frozen=True)
class EventFilter:
    """Criteria for events; an empty string or None matches every event.

    Attributes:
        request: A request id.
        key: An idempotency key.
        zone: The name of an availability zone.
        since_s: The start of the time range, inclusive, in wall-clock seconds
            since 1970.
        until_s: The end of the time range, exclusive, in the same unit.
    """

    request: str = ""
    key: str = ""
    zone: str = ""
    since_s: float | None = None
    until_s: float | None = None


def select(
    records: Iterable[timelines.Record], criteria: EventFilter
) -> Iterator[timelines.Record]:
    """Yields the records that match all criteria, in their given order."""
    selected = list(records)
    if criteria.request:
        selected = [
            r for r in selected if _get(r, "request_id") == criteria.request
        ]
    if criteria.key:
        selected = _select_key(selected, criteria.key)
    if criteria.zone:
        selected = _select_zone(selected, criteria.zone)
    for record in selected:
        if criteria.since_s is not None and record.at_s < criteria.since_s:
            continue
        if criteria.until_s is not None and record.at_s >= criteria.until_s:
            continue
        yield record


def _select_key(
    records: list[timelines.Record], key: str
) -> list[timelines.Record]:
    """Returns all events of every request that carried an idempotency key."""
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
    """Returns the events that concern a zone.

    These are the events that name the zone, the outcomes of sub-requests
    dispatched to it, and configuration events that change the zone or list
    it as out of service.
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
