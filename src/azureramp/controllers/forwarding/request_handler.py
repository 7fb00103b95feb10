"""Entry point for callers' requests."""

from __future__ import annotations

import asyncio

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    account_limits,
    admission,
    authentication,
    crashes,
    demands,
    fan_out,
    request_log,
    requests,
    route_timings,
    single,
)
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import (
    searchers as searchers_module,
)
from azureramp.policy import competition, routing

REPLY_TRANSIT_S = 0.005
"""Time reserved for sending the answer to the caller, in seconds; a few one-way
latencies of typical networks."""


class RequestHandler:
    """Answers callers' requests."""

    __slots__ = (
        "_account_limits",
        "_admission",
        "_board",
        "_crash_tracker",
        "_log",
        "_searchers",
        "_splitter",
        "_timings",
    )

    def __init__(
        self,
        board: board_module.Board,
        searchers: searchers_module.Searchers,
        crash_tracker: crashes.CrashTracker,
        limits: account_limits.AccountLimits,
        admission_control: admission.Admission,
    ) -> None:
        """Creates the entry point of a process.

        Args:
            board: The process's state.
            searchers: The searchers to choose from.
            crash_tracker: Counts the crashes that each request caused.
            limits: The client accounts' limits.
            admission_control: Admits requests to the searchers.
        """
        self._account_limits = limits
        self._admission = admission_control
        self._board = board
        self._searchers = searchers
        self._crash_tracker = crash_tracker
        self._log = request_log.RequestLog(board)
        self._timings = route_timings.RouteTimingsTable()
        self._splitter = routing.WeightedRoundRobin()

    async def handle(
        self, request: requests.IncomingRequest | requests.MalformedRequest
    ) -> requests.Answer:
        """Answers one request.

        The task is cancelled if the caller disconnects, which abandons its
        calls.
        """
        match request:
            case requests.MalformedRequest(reason=reason):
                failure = errors.Failure(errors.Kind.BAD_REQUEST, reason)
                return requests.Refusal(failure, closes_connection=True)
            case requests.IncomingRequest():
                self._board.running += 1
                try:
                    return await self._route(request)
                finally:
                    self._board.running -= 1

    async def _route(
        self, request: requests.IncomingRequest
    ) -> requests.Answer:
        """Finds the request's route and forwards the request along it."""
        table = self._board.table
        if table is None:
            return self._refuse(request, None, errors.Kind.NO_CONFIGURATION)
        route = table.find(request.host, request.path)
        if route is None:
            return self._refuse(request, None, errors.Kind.NOT_FOUND)
        authorized = authentication.authorize(self._board, request, route)
        if authorized.is_error():
            return self._write_refusal(request, route, authorized.error)
        authorization = authorized.ok
        answer_by_s = compute_answer_by_s(request, route)
        if answer_by_s <= asyncio.get_running_loop().time():
            return self._refuse(
                request,
                route,
                errors.Kind.DEADLINE_TOO_SHORT,
                authorization=authorization,
            )
        quarantine_s = self._crash_tracker.get_quarantine_s(request.message)
        if quarantine_s > 0:
            return self._refuse(
                request,
                route,
                errors.Kind.QUARANTINED,
                quarantine_s,
                authorization,
            )
        failure = await self._account_limits.take(
            authorization.account, route.target_latency_s
        )
        if failure is not None:
            return self._write_refusal(request, route, failure, authorization)
        demand = self._make_demand(request, route, answer_by_s, authorization)
        try:
            failure = await self._admission.admit(demand)
        except asyncio.CancelledError:
            self._account_limits.give_back(authorization.account)
            raise
        if failure is not None:
            self._account_limits.give_back(authorization.account)
            return self._write_refusal(request, route, failure, authorization)
        try:
            return await self._execute(request, demand, authorization)
        finally:
            self._admission.release(demand)

    def _make_demand(
        self,
        request: requests.IncomingRequest,
        route: catalog.Route,
        answer_by_s: float,
        authorization: authentication.Authorization,
    ) -> demands.Demand:
        """Describes what a request needs."""
        timings = self._timings.get(route)
        waited_s = 0.0
        if request.deadline_s is not None:
            waited_s = timings.caller_delay.estimate_wait_s(
                request.deadline_s, route.timeout_s
            )
        return demands.Demand(
            route=route,
            services=competition.list_services(route.destination),
            account=authorization.get_account_name(),
            priority=authorization.priority,
            answer_by_s=answer_by_s,
            began_s=request.began_s,
            waited_s=waited_s,
            usual_s=timings.get_usual_s(),
        )

    async def _execute(
        self,
        request: requests.IncomingRequest,
        demand: demands.Demand,
        authorization: authentication.Authorization,
    ) -> requests.Answer:
        """Sends an admitted request and returns its answer."""
        route = demand.route
        failure = authorization.find_refusal()
        if failure is not None:
            self._account_limits.give_back(authorization.account)
            return self._write_refusal(request, route, failure, authorization)
        run = self._make_execution(request, demand, authorization)
        answer: requests.Answer | None = None
        try:
            answer = await run.run()
            if not isinstance(answer, requests.Refusal):
                self._crash_tracker.record_answer(request.message)
        finally:
            if not any(each.has_calls() for each in run.parts):
                self._account_limits.give_back(authorization.account)
            if answer is not None:
                self._admission.record_answer(demand, run.parts, answer)
            self._log.write(
                request,
                route,
                run.parts,
                answer,
                run.caller_overhead_s,
                authorization,
            )
            for each in run.parts:
                each.close()
        return answer

    def _make_execution(
        self,
        request: requests.IncomingRequest,
        demand: demands.Demand,
        authorization: authentication.Authorization,
    ) -> fan_out.FanOutRequest | single.SingleRequest:
        """Creates the request's execution for its route's destination."""
        route = demand.route
        saves_slots = self._admission.is_on(demand)
        timings = self._timings.get(route)
        if request.deadline_s is not None:
            timings.caller_delay.record_timeout(request.deadline_s)
        match route.destination:
            case catalog.FanoutDestination() as destination:
                return fan_out.FanOutRequest(
                    self._searchers,
                    self._crash_tracker,
                    timings,
                    request,
                    route,
                    destination,
                    demand.answer_by_s,
                    authorization,
                    saves_slots,
                )
            case catalog.SplitDestination(choices=choices):
                service = self._splitter.choose(route.name, choices)
                return single.SingleRequest(
                    self._searchers,
                    self._crash_tracker,
                    timings,
                    request,
                    route,
                    service,
                    demand.answer_by_s,
                    authorization,
                    saves_slots,
                )

    def _refuse(
        self,
        request: requests.IncomingRequest,
        route: catalog.Route | None,
        kind: errors.Kind,
        retry_after_s: float | None = None,
        authorization: authentication.Authorization | None = None,
    ) -> requests.Refusal:
        """Refuses a request for which no call was made."""
        retry_after_ms = None
        if retry_after_s is not None:
            retry_after_ms = round(retry_after_s * 1000)
        failure = errors.Failure(kind, retry_after_ms=retry_after_ms)
        return self._write_refusal(request, route, failure, authorization)

    def _write_refusal(
        self,
        request: requests.IncomingRequest,
        route: catalog.Route | None,
        failure: errors.Failure,
        authorization: authentication.Authorization | None = None,
    ) -> requests.Refusal:
        """Logs and returns the refusal of a request that has not run."""
        refused = requests.Refusal(failure, request.id)
        self._log.write(
            request, route, (), refused, authorization=authorization
        )
        return refused


def compute_answer_by_s(
    request: requests.IncomingRequest, route: catalog.Route
) -> float:
    """Returns when the answer must be sent, on the loop's clock."""
    remaining_s = route.timeout_s
    if request.deadline_s is not None:
        remaining_s = min(remaining_s, request.deadline_s - REPLY_TRANSIT_S)
    return request.began_s + remaining_s
