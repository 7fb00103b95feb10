"""The callers' HTTP interface: authentication, input checks, responses."""

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
from azureramp.controllers import caller_input, http_responses
from azureramp.controllers import coordinator as coordinator_controller
from azureramp.policy import addresses, identity
from azureramp.ports.web import api as web_api


class CallerApi:
    """Handles the callers' requests."""

    __slots__ = (
        "_board",
        "_coordinator",
        "_execute_decoder",
        "_next_number",
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
        """Creates the interface; see `make`."""
        self._board = board
        self._orders = addresses.OrderCache()
        self._coordinator = coordinator
        self._query_decoder = msgspec.json.Decoder(caller_input.QueryBody)
        self._execute_decoder = msgspec.json.Decoder(caller_input.ExecuteBody)
        nonce = f"{rng.getrandbits(32):08x}"
        self._prefix = f"{board.settings.vm}-{board.incarnation}-{nonce}"
        self._next_number = 0

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one request.

        Args:
            request: The request.

        Returns:
            The response; the body of an error always has a stable code.
        """
        self._board.running_requests += 1
        self._board.metrics.set_gauge(
            "request.running", self._board.running_requests
        )
        try:
            return await self._route(request)
        finally:
            self._board.running_requests -= 1

    async def _route(self, request: web_api.Request) -> web_api.Response:
        """Dispatches a request by its method and path."""
        match request.method, request.path:
            case web_api.UNREADABLE, path:
                return http_responses.make_error(_make_server_failure(path))
            case "POST", "/v1/query":
                return await self._query(request)
            case "POST", "/v1/execute":
                return await self._execute(request)
            case "GET", "/v1/addresses":
                return self._answer_addresses(request)
            case _, "/v1/query" | "/v1/execute" | "/v1/addresses":
                kind = errors.Kind.METHOD_NOT_ALLOWED
                return http_responses.make_error(errors.Failure(kind))
            case _:
                kind = errors.Kind.NOT_FOUND
                return http_responses.make_error(errors.Failure(kind))

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
        execute = coordinator_controller.ExecuteRequest(
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
        """Answers GET /v1/addresses, even while this VM accepts no work."""
        identified = self._identify(request)
        if identified.is_error():
            return self._make_error(identified.error, None)
        return http_responses.make_ok(
            responses.AddressAnswer(
                addresses=self._order_addresses(identified.ok),
                lifetime_ms=self._board.settings.address_lifetime_ms,
            )
        )

    def _identify(
        self, request: web_api.Request
    ) -> expression.Result[resources.Caller, errors.Failure]:
        """Identifies the caller by its token.

        A VM whose configuration may be outdated must not answer
        `UNAUTHENTICATED` to a caller that it doesn't know yet, since that
        means not to retry. It directs the caller to other VMs instead.
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
        """Returns True if the configuration may lack a new caller."""
        return self._board.serving in (
            blackboard.Serving.STARTING,
            blackboard.Serving.STALE,
        )

    def _check_serving(self) -> errors.Failure | None:
        """Returns a failure while this VM accepts no new work."""
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
        """Makes an id that is unique among all VMs and processes.

        After a clock has been set back, two processes of a VM may have the
        same incarnation. A result for the first must not match a request of
        the second, so the ids contain a random part too.
        """
        self._next_number += 1
        return f"{self._prefix}-{self._next_number}"

    def _order_addresses(self, caller: resources.Caller) -> tuple[str, ...]:
        """Returns the addresses of the VMs for a caller, best first."""
        table = self._coordinator.get_topology()
        members = self._board.members
        eligible = addresses.choose_eligible(
            (
                addresses.EntryVm(
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
        """Makes the response to a request that the coordinator has run."""
        match result:
            case expression.Result(tag="ok", ok=answer):
                return http_responses.make_ok(answer)
            case expression.Result(error=failure):
                return self._make_error(failure, caller, request_id)

    def _make_error(
        self,
        failure: errors.Failure,
        caller: resources.Caller | None,
        request_id: str = "",
    ) -> web_api.Response:
        """Makes an error response; only an identified caller gets addresses."""
        others: tuple[str, ...] = ()
        retry_elsewhere = (
            failure.get_answer().retry is errors.Retry.OTHER_ADDRESS
        )
        if caller is not None and retry_elsewhere:
            others = self._order_addresses(caller)
        return http_responses.make_error(
            failure, request_id=request_id, addresses=others
        )


def make(
    board: blackboard.Blackboard,
    coordinator: coordinator_controller.Coordinator,
    rng: random.Random,
) -> CallerApi:
    """Creates the callers' interface.

    Args:
        board: The process's state.
        coordinator: Runs the requests.
        rng: Source of the random part of this process's request ids.
    """
    return CallerApi(board, coordinator, rng)


def _make_server_failure(path: str) -> errors.Failure:
    """Makes the failure for a request that the HTTP server refused.

    The server passes its status as the path. A handler that failed because of
    a bug may have sent work before, so it must not be answered as a bad
    request, which means that nothing ran.
    """
    if path == "/500":
        return errors.Failure(errors.Kind.INTERNAL)
    if path in ("/413", "/431"):
        return errors.Failure(errors.Kind.TOO_LARGE)
    if path == "/503":
        return errors.Failure(errors.Kind.OVERLOADED)
    return errors.Failure(errors.Kind.BAD_REQUEST, "not valid HTTP")
