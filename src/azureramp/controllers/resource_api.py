"""The operators' HTTP interface."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import math

import msgspec

from azureramp import blackboard, errors, events, resources
from azureramp.controllers import answers
from azureramp.controllers import configuration as configuration_module
from azureramp.ports.web import api as web_api

RESOURCES = "/v1/resources/"
MAX_WAIT_MS = 30_000
MAX_RECORDS = 5000
"""Most records in one timeline answer."""


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one kind, or the changes since a revision.

    Attributes:
        revision: The configuration revision that the answer reflects.
        entries: The resources; deleted ones only among changes.
    """

    revision: int
    entries: tuple[resources.Versioned, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a change.

    Attributes:
        state: `stored`, or `valid` for a dry run.
        entry: The resource as it is now, or as it would be.
    """

    state: str
    entry: resources.Versioned


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as another one sees it.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        address: `IP:port` of its HTTP interface.
        state: What the answering VM thinks of it.
        ready: True if it serves callers.
        revision: Its configuration revision, as last heard.
    """

    vm: str
    zone: str
    address: str
    state: str
    ready: bool
    revision: int


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a VM, and of the others as it sees them.

    Attributes:
        vm: The answering VM.
        zone: Its availability zone.
        serving: Whether it takes new work, a value of `blackboard.Serving`.
        incarnation: Its process's start number.
        revision: Its configuration revision.
        confirmed_age_ms: How long ago the platform confirmed that, at most;
            None if never.
        running: Requests that run on it now.
        asked_revision: The revision asked for, else `revision`.
        in_force: How many VMs have that revision or a newer one in force.
        listed: How many VMs there are.
        members: The VMs, by name.
    """

    vm: str
    zone: str
    serving: str
    incarnation: int
    revision: int
    confirmed_age_ms: float | None
    running: int
    asked_revision: int
    in_force: int
    listed: int
    members: tuple[MemberStatus, ...]


class TimelineAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a VM's timeline.

    Attributes:
        vm: The VM.
        dropped: Records that it has dropped for want of room.
        more: True if there are later records still.
        records: The records, ascending by clock.
    """

    vm: str
    dropped: int
    more: bool
    records: tuple[events.Record, ...]


class ResourceApi:
    """Answers operators' requests."""

    __slots__ = ("_board", "_configuration")

    def __init__(
        self,
        board: blackboard.Blackboard,
        configuration: configuration_module.Controller,
    ) -> None:
        """Makes the interface over one process's state."""
        self._board = board
        self._configuration = configuration

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one request."""
        if not self._is_operator(request):
            return _refuse(errors.Kind.UNAUTHENTICATED)
        try:
            return await self._route(request)
        except ValueError as error:
            return _refuse(errors.Kind.BAD_REQUEST, str(error))

    async def _route(self, request: web_api.Request) -> web_api.Response:
        if request.path.startswith(RESOURCES):
            kind, _, name = request.path.removeprefix(RESOURCES).partition("/")
            return await self._handle_resource(request, kind, name)
        if request.method != "GET":
            return _refuse(errors.Kind.METHOD_NOT_ALLOWED)
        match request.path:
            case "/v1/watch":
                return await self._watch(request)
            case "/v1/status":
                return self._get_status(request)
            case "/v1/timeline":
                return self._get_timeline(request)
            case _:
                return _refuse(errors.Kind.NOT_FOUND)

    def _is_operator(self, request: web_api.Request) -> bool:
        """Tells whether the request carries the operators' token."""
        scheme, _, token = request.headers.get("authorization", "").partition(
            " "
        )
        given = hashlib.sha256(token.encode()).hexdigest()
        wanted = self._board.settings.operator_token_sha256
        return scheme.lower() == "bearer" and hmac.compare_digest(given, wanted)

    async def _handle_resource(
        self, request: web_api.Request, kind: str, name: str
    ) -> web_api.Response:
        if kind not in resources.KINDS:
            return _refuse(errors.Kind.NOT_FOUND, f"no kind {kind!r}")
        match (request.method, bool(name)):
            case ("GET", False):
                return self._list(kind)
            case ("GET", True):
                return self._get(kind, name)
            case ("PUT", True):
                return await self._put(request, kind, name)
            case ("DELETE", True):
                return await self._delete(request, kind, name)
            case _:
                return _refuse(errors.Kind.METHOD_NOT_ALLOWED)

    def _list(self, kind: str) -> web_api.Response:
        configuration = self._board.configuration
        entries = [
            entry
            for entry in configuration.entries.values()
            if entry.kind == kind and entry.resource is not None
        ]
        entries.sort(key=lambda entry: entry.name)
        return answers.make_ok(
            ListAnswer(revision=configuration.revision, entries=tuple(entries))
        )

    def _get(self, kind: str, name: str) -> web_api.Response:
        entry = self._board.configuration.entries.get((kind, name))
        if entry is None or entry.resource is None:
            return _refuse(errors.Kind.NOT_FOUND, f"no {kind} {name!r}")
        return answers.make_ok(entry)

    async def _put(
        self, request: web_api.Request, kind: str, name: str
    ) -> web_api.Response:
        try:
            resource = msgspec.json.decode(
                request.body, type=resources.AnyResource
            )
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return _refuse(errors.Kind.INVALID_RESOURCE, str(error))
        if not isinstance(resource, resources.KINDS[kind]):
            return _refuse(
                errors.Kind.INVALID_RESOURCE, f"kind: must be {kind!r}"
            )
        if resource.name != name:
            return _refuse(
                errors.Kind.INVALID_RESOURCE, f"name: must be {name!r}"
            )
        result = await self._configuration.put(
            resource, _get_int(request, "expected", 0)
        )
        if result.is_error():
            return _make_refusal(result.error)
        return answers.make_ok(ChangeAnswer(state="stored", entry=result.ok))

    async def _delete(
        self, request: web_api.Request, kind: str, name: str
    ) -> web_api.Response:
        result = await self._configuration.delete(
            kind, name, _get_int(request, "expected", 0)
        )
        if result.is_error():
            return _make_refusal(result.error)
        return answers.make_ok(ChangeAnswer(state="stored", entry=result.ok))

    async def _watch(self, request: web_api.Request) -> web_api.Response:
        after = _get_int(request, "after", 0)
        wait_ms = min(_get_int(request, "wait_ms", 0), MAX_WAIT_MS)
        if self._board.configuration.revision <= after:
            await self._configuration.wait_for_change(wait_ms / 1000)
        configuration = self._board.configuration
        entries = [
            entry
            for entry in configuration.entries.values()
            if entry.revision > after
        ]
        entries.sort(key=lambda entry: entry.revision)
        return answers.make_ok(
            ListAnswer(revision=configuration.revision, entries=tuple(entries))
        )

    def _get_status(self, request: web_api.Request) -> web_api.Response:
        board = self._board
        own = board.settings
        age_s = asyncio.get_running_loop().time() - board.confirmed_s
        members = [
            MemberStatus(
                vm=name,
                zone=member.vm.zone,
                address=member.vm.http_address,
                state=member.state.value,
                ready=member.ready,
                revision=member.revision,
            )
            for name, member in sorted(board.members.items())
            if name != own.vm
        ]
        members.append(
            MemberStatus(
                vm=own.vm,
                zone=own.zone,
                address=own.http_address,
                state=blackboard.MemberState.LIVE.value,
                ready=board.serving is blackboard.Serving.READY,
                revision=board.configuration.revision,
            )
        )
        members.sort(key=lambda member: member.vm)
        asked = _get_int(request, "revision", board.configuration.revision)
        return answers.make_ok(
            StatusAnswer(
                vm=own.vm,
                zone=own.zone,
                serving=board.serving.value,
                incarnation=board.incarnation,
                revision=board.configuration.revision,
                confirmed_age_ms=(
                    age_s * 1000 if math.isfinite(age_s) else None
                ),
                running=board.running,
                asked_revision=asked,
                in_force=sum(member.revision >= asked for member in members),
                listed=len(members),
                members=tuple(members),
            )
        )

    def _get_timeline(self, request: web_api.Request) -> web_api.Response:
        timeline = self._board.timeline
        records = timeline.get_records(_get_int(request, "after", 0))
        return answers.make_ok(
            TimelineAnswer(
                vm=timeline.vm,
                dropped=timeline.dropped,
                more=len(records) > MAX_RECORDS,
                records=tuple(records[:MAX_RECORDS]),
            )
        )


def _get_int(request: web_api.Request, name: str, default: int) -> int:
    """Reads a number of the query.

    Raises:
        ValueError: It is no number of at least 0.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{name}: must be a whole number of at least 0")
    return int(text)


def _refuse(kind: errors.Kind, detail: str = "") -> web_api.Response:
    return answers.make_error(errors.Failure(kind, detail))


def _make_refusal(refusal: configuration_module.Refusal) -> web_api.Response:
    return answers.make_error(refusal.failure, present=refusal.present)


def make(
    board: blackboard.Blackboard,
    configuration: configuration_module.Controller,
) -> ResourceApi:
    """Makes the operators' interface of one process."""
    return ResourceApi(board, configuration)
