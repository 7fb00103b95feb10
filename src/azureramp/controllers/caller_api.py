"""The callers' HTTP interface: identity, checks of the input, answers."""

from __future__ import annotations

import asyncio
import random
import unicodedata

import expression
import msgspec

from azureramp import (
    blackboard,
    errors,
    resources,
    responses,
)
from azureramp.controllers import answers, caller_input
from azureramp.controllers import coordinator as coordinator_controller
from azureramp.policy import addresses, identity
from azureramp.ports.web import api as web_api


class CallerApi:
    """Handles the callers' requests."""

    __slots__ = (
        "_board",
        "_coordinator",
        "_execute_decoder",
        "_next",
        "_orders",
        "_prefix",
        "_query_decoder",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        coordinator: coordinator_controller.Coordinator,
        rng: random.Random,
    ) -> None:
        """Makes the interface; see `make`."""
        self._board = board
        self._orders = addresses.Orders()
        self._coordinator = coordinator
        self._query_decoder = msgspec.json.Decoder(caller_input.QueryBody)
        self._execute_decoder = msgspec.json.Decoder(caller_input.ExecuteBody)
        nonce = f"{rng.getrandbits(32):08x}"
        self._prefix = f"{board.settings.vm}-{board.incarnation}-{nonce}"
        self._next = 0

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one request.

        Args:
            request: The request.

        Returns:
            The response; its body always has a stable code if it is an error.
        """
        self._board.running += 1
        self._board.metrics.set_gauge("request.running", self._board.running)
        try:
            return await self._route(request)
        finally:
            self._board.running -= 1

    async def _route(self, request: web_api.Request) -> web_api.Response:
        """Finds what was asked for."""
        match request.method, request.path:
            case web_api.UNREADABLE, path:
                return answers.make_error(_read_bad_request(path))
            case "POST", "/v1/query":
                return await self._query(request)
            case "POST", "/v1/execute":
                return await self._execute(request)
            case "GET", "/v1/addresses":
                return self._answer_addresses(request)
            case _, "/v1/query" | "/v1/execute" | "/v1/addresses":
                kind = errors.Kind.METHOD_NOT_ALLOWED
                return answers.make_error(errors.Failure(kind))
            case _:
                kind = errors.Kind.NOT_FOUND
                return answers.make_error(errors.Failure(kind))

    async def _query(self, request: web_api.Request) -> web_api.Response:
        """Answers POST /v1/query."""
        started_s = asyncio.get_running_loop().time()
        identified = self._identify(request)
        if identified.is_error():
            return self._make_error(identified.error, None)
        caller = identified.ok
        refusal = self._check_serving() or caller_input.check_size(request)
        if refusal is not None:
            return self._make_error(refusal, caller)
        try:
            body = self._query_decoder.decode(request.body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            return self._make_error(caller_input.describe(error), caller)
        query = coordinator_controller.Query(
            request_id=self._make_request_id(),
            caller=caller,
            service=unicodedata.normalize("NFC", body.service),
            index=unicodedata.normalize("NFC", body.index),
            body=bytes(body.query),
            deadline_s=started_s + body.deadline_ms / 1000,
            minimum_coverage=body.minimum_coverage,
        )
        result = await self._coordinator.query(query)
        return self._make_response(result, query.request_id, caller)

    async def _execute(self, request: web_api.Request) -> web_api.Response:
        """Answers POST /v1/execute."""
        started_s = asyncio.get_running_loop().time()
        identified = self._identify(request)
        if identified.is_error():
            return self._make_error(identified.error, None)
        caller = identified.ok
        key = request.headers.get("idempotency-key", "")
        refusal = (
            self._check_serving()
            or caller_input.check_size(request)
            or caller_input.check_key(key)
        )
        if refusal is not None:
            return self._make_error(refusal, caller)
        try:
            body = self._execute_decoder.decode(request.body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            return self._make_error(caller_input.describe(error), caller)
        execute = coordinator_controller.Execute(
            request_id=self._make_request_id(),
            caller=caller,
            service=unicodedata.normalize("NFC", body.service),
            index=unicodedata.normalize("NFC", body.index),
            key=body.key,
            idempotency_key=key,
            body=bytes(body.operation),
            deadline_s=started_s + body.deadline_ms / 1000,
        )
        result = await self._coordinator.execute(execute)
        return self._make_response(result, execute.request_id, caller)

    def _answer_addresses(self, request: web_api.Request) -> web_api.Response:
        """Answers GET /v1/addresses, also while this VM takes no work."""
        identified = self._identify(request)
        if identified.is_error():
            return self._make_error(identified.error, None)
        return answers.make_ok(
            responses.AddressAnswer(
                addresses=self._order_addresses(identified.ok),
                lifetime_ms=self._board.settings.address_lifetime_ms,
            )
        )

    def _identify(
        self, request: web_api.Request
    ) -> expression.Result[resources.Caller, errors.Failure]:
        """Finds the caller.

        A VM whose configuration may be old must not tell a new caller that
        its token is unknown, which says never to ask again: it sends it to
        the others instead.
        """
        authorization = request.headers.get("authorization", "")
        table = self._coordinator.get_topology()
        identified = identity.find_caller(table.callers, authorization)
        if identified.is_error() and self._is_stale():
            return expression.Error(
                errors.Failure(errors.Kind.STALE_CONFIGURATION)
            )
        return identified

    def _is_stale(self) -> bool:
        """Tells whether the configuration may lack a new caller."""
        return self._board.serving in (
            blackboard.Serving.STARTING,
            blackboard.Serving.STALE,
        )

    def _check_serving(self) -> errors.Failure | None:
        """Refuses while this VM takes no new work."""
        match self._board.serving:
            case blackboard.Serving.READY:
                return None
            case blackboard.Serving.ZONE_OUT:
                return errors.Failure(errors.Kind.ZONE_OUT)
            case blackboard.Serving.LEAVING:
                return errors.Failure(errors.Kind.LEAVING)
            case _:
                return errors.Failure(errors.Kind.STALE_CONFIGURATION)

    def _make_request_id(self) -> str:
        """Makes an id that no other VM or process makes.

        A clock that was set back may give two processes of a VM the same
        incarnation; a result meant for the first must not match a request
        of the second, so the ids carry a random part too.
        """
        self._next += 1
        return f"{self._prefix}-{self._next}"

    def _order_addresses(self, caller: resources.Caller) -> tuple[str, ...]:
        """Orders the VMs that this caller should use."""
        table = self._coordinator.get_topology()
        members = self._board.members
        eligible = addresses.choose_eligible(
            (
                addresses.Entry(
                    name=name,
                    zone=member.vm.zone,
                    ready=member.ready,
                    live=member.state is blackboard.MemberState.LIVE,
                    leaving=member.vm.leaving,
                )
                for name, member in members.items()
            ),
            table.zones_out,
        )
        weights = {
            one.name: one.weight
            for same in table.callers.values()
            for one in same
            if not one.revoked
        }
        ordered = self._orders.get(caller.name, weights, eligible)
        return tuple(members[name].vm.http_address for name in ordered)

    def _make_response(
        self,
        result: expression.Result[
            responses.QueryAnswer | responses.ExecuteAnswer, errors.Failure
        ],
        request_id: str,
        caller: resources.Caller,
    ) -> web_api.Response:
        """Makes the response to a request that was tried."""
        match result:
            case expression.Result(tag="ok", ok=answer):
                return answers.make_ok(answer)
            case expression.Result(error=failure):
                return self._make_error(failure, caller, request_id)

    def _make_error(
        self,
        failure: errors.Failure,
        caller: resources.Caller | None,
        request_id: str = "",
    ) -> web_api.Response:
        """Makes an error's response; only a known caller gets addresses."""
        others: tuple[str, ...] = ()
        wanted = failure.get_answer().retry is errors.Retry.OTHER_ADDRESS
        if caller is not None and wanted:
            others = self._order_addresses(caller)
        return answers.make_error(
            failure, request_id=request_id, addresses=others
        )


def make(
    board: blackboard.Blackboard,
    coordinator: coordinator_controller.Coordinator,
    rng: random.Random,
) -> CallerApi:
    """Makes the callers' interface.

    Args:
        board: The process's state.
        coordinator: Runs the requests.
        rng: Draws what makes this process's request ids its own.
    """
    return CallerApi(board, coordinator, rng)


def _read_bad_request(path: str) -> errors.Failure:
    """Reads what the HTTP server refused: its status is the path.

    A handler that failed by a fault may have sent work before, so that must
    not be told as a bad request, which says that nothing ran.
    """
    if path == "/500":
        return errors.Failure(errors.Kind.INTERNAL)
    if path in ("/413", "/431"):
        return errors.Failure(errors.Kind.TOO_LARGE)
    return errors.Failure(errors.Kind.BAD_REQUEST, "not valid HTTP")
