"""The operators' HTTP interface."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from azureramp import blackboard, errors, resources
from azureramp.controllers import (
    changes,
    dry_run,
    http_responses,
    resource_answers,
    vm_status,
)
from azureramp.controllers import configuration as configuration_module
from azureramp.policy import rules, validation
from azureramp.ports.web import api as web_api

CHECK = "/v1/resources"
RESOURCES = "/v1/resources/"
WATCH = "/v1/watch"
MAX_WAIT_MS = 30_000
MAX_PROBLEMS = 50
"""Maximum number of problems in one answer."""

MAX_RECORDS = 5000
"""Maximum number of records in one timeline answer."""


class ResourceApi:
    """Handles operators' HTTP requests."""

    __slots__ = ("_board", "_configuration")

    def __init__(
        self,
        board: blackboard.Blackboard,
        configuration: configuration_module.ConfigurationController,
    ) -> None:
        """Creates the interface to one process's state."""
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
        reads = request.path.startswith((CHECK, WATCH))
        if reads and self._board.configuration.revision == 0:
            # Without a configuration the answer would be an empty listing,
            # although resources are declared.
            return _refuse(errors.Kind.STALE_CONFIGURATION, "starting")
        if request.path == CHECK and request.method == "POST":
            return self._check(request)
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
        """Returns True if the request has the operators' token."""
        scheme, _, token = request.headers.get("authorization", "").partition(
            " "
        )
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        expected_hash = self._board.settings.operator_token_sha256
        return scheme.lower() == "bearer" and hmac.compare_digest(
            token_hash, expected_hash
        )

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
        return http_responses.make_ok(
            resource_answers.ListAnswer(
                revision=configuration.revision, entries=tuple(entries)
            )
        )

    def _get(self, kind: str, name: str) -> web_api.Response:
        entry = self._board.configuration.entries.get((kind, name))
        if entry is None or entry.resource is None:
            return _refuse(errors.Kind.NOT_FOUND, f"no {kind} {name!r}")
        return http_responses.make_ok(entry)

    async def _put(
        self, request: web_api.Request, kind: str, name: str
    ) -> web_api.Response:
        try:
            resource = msgspec.json.decode(
                request.body, type=resources.AnyResource
            )
        except msgspec.DecodeError as error:
            return _refuse_problems([_make_problem(error)])
        if resources.get_kind(resource) != kind:
            return _refuse_problems([_make_mismatch("kind", kind)])
        if resource.name != name:
            return _refuse_problems([_make_mismatch("name", name)])
        problems = validation.check_resource(
            resource, self._board.configuration
        )
        if problems:
            return _refuse_problems(problems)
        expected = _get_int(request, "expected", 0)
        result = await self._configuration.put(
            resource, expected, request.query.get("change_id", "")
        )
        if result.is_error():
            return _make_refusal(result.error)
        return _make_stored(result.ok)

    async def _delete(
        self, request: web_api.Request, kind: str, name: str
    ) -> web_api.Response:
        problems = validation.check_deletion(
            kind, name, self._board.configuration
        )
        if problems:
            return _refuse_problems(problems)
        expected = _get_int(request, "expected", 0)
        result = await self._configuration.delete(kind, name, expected)
        if result.is_error():
            return _make_refusal(result.error)
        return _make_stored(result.ok)

    def _check(self, request: web_api.Request) -> web_api.Response:
        try:
            requested = msgspec.json.decode(
                request.body, type=resource_answers.CheckRequest
            )
        except msgspec.DecodeError as error:
            return _refuse_problems([_make_problem(error)])
        return http_responses.make_ok(
            dry_run.check(self._board.configuration, requested.resources)
        )

    async def _watch(self, request: web_api.Request) -> web_api.Response:
        after = _get_int(request, "after", 0)
        wait_ms = min(_get_int(request, "wait_ms", 0), MAX_WAIT_MS)
        await self._configuration.wait_for_newer(after, wait_ms / 1000)
        part = self._configuration.select_since(after)
        entries = tuple(
            entry for entry in part.entries if entry.revision <= part.revision
        )
        return http_responses.make_ok(
            resource_answers.ListAnswer(
                revision=max(part.revision, after),
                whole=part.after < after,
                entries=entries,
            )
        )

    def _get_status(self, request: web_api.Request) -> web_api.Response:
        requested = None
        if "revision" in request.query:
            requested = _get_int(request, "revision", 0)
        return http_responses.make_ok(
            vm_status.make_status(self._board, self._configuration, requested)
        )

    def _get_timeline(self, request: web_api.Request) -> web_api.Response:
        timeline = self._board.timeline
        records = timeline.get_records(_get_int(request, "after", 0))
        return http_responses.make_ok(
            resource_answers.TimelineAnswer(
                vm=timeline.vm,
                dropped=timeline.dropped,
                more=len(records) > MAX_RECORDS,
                records=tuple(records[:MAX_RECORDS]),
            )
        )


def _get_int(request: web_api.Request, name: str, default: int) -> int:
    """Reads a number from the request's query string.

    Raises:
        ValueError: The value is not a whole number of at least 0.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{name}: must be a whole number of at least 0")
    return int(text)


def _make_problem(error: msgspec.DecodeError) -> rules.Problem:
    """Converts a decoding error to a problem with the field's path."""
    words, _, place = str(error).partition(" - at `$")
    field = place.removesuffix("`").removeprefix(".") or "resource"
    return rules.Problem(field, rules.Rule.TYPE, words)


def _make_mismatch(field: str, expected: str) -> rules.Problem:
    return rules.Problem(field, rules.Rule.TYPE, f"must be {expected}")


def _refuse_problems(
    problems: Sequence[rules.Problem],
) -> web_api.Response:
    return http_responses.make_error(
        dry_run.make_failure(problems), problems=problems[:MAX_PROBLEMS]
    )


def _make_stored(entry: resources.Versioned) -> web_api.Response:
    return http_responses.make_ok(
        resource_answers.ChangeAnswer(
            state=resource_answers.ChangeState.STORED, entry=entry
        )
    )


def _refuse(kind: errors.Kind, detail: str = "") -> web_api.Response:
    return http_responses.make_error(errors.Failure(kind, detail))


def _make_refusal(refusal: changes.Refusal) -> web_api.Response:
    return http_responses.make_error(refusal.failure, current=refusal.current)


def make(
    board: blackboard.Blackboard,
    configuration: configuration_module.ConfigurationController,
) -> ResourceApi:
    """Creates the operators' interface of one process."""
    return ResourceApi(board, configuration)
