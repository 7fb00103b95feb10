"""Sends callers' requests to an in-memory deployment and records answers."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from azureramp.invariants import history
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection
from azureramp_standins import cluster
from azureramp_standins import layout as layouts


async def query(
    deployment: cluster.Cluster,
    vm: str,
    text: str,
    *,
    caller: str = "desk",
    service: str = "",
    deadline_ms: int = 1000,
    minimum_coverage: float = 0.0,
    over_http: bool = False,
) -> history.RequestOutcome:
    """Sends a query and records its result.

    Args:
        deployment: The deployment.
        vm: The entry VM that receives the query.
        text: The query's text.
        caller: The caller's name, which is its token too.
        service: The service; the empty name means the first one.
        deadline_ms: The deadline, in milliseconds.
        minimum_coverage: Share of the index that the answer must cover.
        over_http: True sends it over a new HTTP connection, False calls the
            daemon's request handler.

    Returns:
        The result as the caller received it.
    """
    target = _get_service(deployment, service)
    body = {
        "service": target.name,
        "index": target.name,
        "query": {"text": text},
        "deadline_ms": deadline_ms,
        "minimum_coverage": minimum_coverage,
    }
    request = _make_request("/v1/query", caller, body)
    received = await _send(deployment, vm, request, over_http, wanted=text)
    if received.version:
        tag = f"{text}@{received.version}"
        keys = range(0, target.count_keys(), cluster.KEYS_PER_ITEM)
        deployment.history.keys_by_tag[tag] = tuple(keys)
    return received


async def execute(
    deployment: cluster.Cluster,
    vm: str,
    idempotency_key: str,
    *,
    key: int = 0,
    caller: str = "desk",
    service: str = "",
    deadline_ms: int = 1000,
    over_http: bool = False,
) -> history.RequestOutcome:
    """Sends a request that must not run more than once.

    Args:
        deployment: The deployment.
        vm: The entry VM that receives the request.
        idempotency_key: The idempotency key.
        key: The key in the index at which the operation is run.
        caller: The caller's name, which is its token too.
        service: The service; the empty name means the first one.
        deadline_ms: The deadline, in milliseconds.
        over_http: True sends it over a new HTTP connection, False calls the
            daemon's request handler.

    Returns:
        The result as the caller received it.
    """
    target = _get_service(deployment, service)
    body = {
        "service": target.name,
        "index": target.name,
        "key": key,
        "operation": {cluster.OPERATION_KEY_FIELD: idempotency_key},
        "deadline_ms": deadline_ms,
    }
    request = _make_request(
        "/v1/execute",
        caller,
        body,
        {"idempotency-key": idempotency_key},
    )
    return await _send(
        deployment, vm, request, over_http, idempotency_key=idempotency_key
    )


async def _send(
    deployment: cluster.Cluster,
    vm: str,
    request: web_api.Request,
    over_http: bool,
    wanted: str = "",
    idempotency_key: str = "",
) -> history.RequestOutcome:
    """Sends a request and records the answer, or that there is none."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    if over_http:
        response = await _send_over_http(deployment, vm, request)
    else:
        response = await deployment.send_request(vm, request)
    received = _read_answer(
        response, vm, sent_s, loop.time(), wanted, idempotency_key
    )
    deployment.history.outcomes.append(received)
    return received


def _get_service(deployment: cluster.Cluster, name: str) -> layouts.Service:
    """Returns the service of a name; the empty name means the first one."""
    if not name:
        return deployment.layout.services[0]
    return deployment.layout.get_service(name)


async def _send_over_http(
    deployment: cluster.Cluster, vm: str, request: web_api.Request
) -> web_api.Response:
    """Sends a request to a VM over a new HTTP connection."""
    address = deployment.vms[vm].list_entry.http_address
    opened = await web_connection.connect(address, 1.0)
    if opened.is_error():
        return web_api.Response(status=0, headers=(("refused", "1"),))
    connection = opened.ok
    try:
        return await connection.exchange(
            request.method,
            request.path,
            list(request.headers.items()),
            request.body,
        )
    except (web_connection.ConnectionBrokenError, web_connection.NotSentError):
        return web_api.Response(status=0)
    finally:
        connection.abort()


def _make_request(
    path: str,
    caller: str,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
) -> web_api.Request:
    """Makes the HTTP request of a caller."""
    return web_api.Request(
        "POST",
        path,
        {},
        {"authorization": f"Bearer {caller}", **(headers or {})},
        msgspec.json.encode(body),
    )


def _read_answer(
    response: web_api.Response,
    vm: str,
    sent_s: float,
    received_s: float,
    wanted: str,
    idempotency_key: str,
) -> history.RequestOutcome:
    """Converts a response to the record of what the caller received."""
    if response.status == 0:
        refused = bool(response.headers)
        return history.RequestOutcome(
            sent_s,
            received_s,
            vm,
            answered=False,
            connected=not refused,
            idempotency_key=idempotency_key,
        )
    body = msgspec.json.decode(response.body)
    ok = response.status == 200
    items = body.get("items", [])
    return history.RequestOutcome(
        sent_s,
        received_s,
        vm,
        answered=True,
        code="ok" if ok else body["code"],
        ran="ran" if ok else body["ran"],
        request_id=body.get("request_id", ""),
        idempotency_key=idempotency_key,
        version=body.get("version", 0),
        coverage=body.get("coverage", 0.0),
        complete=body.get("complete", False),
        missing=tuple((low, high) for low, high in body.get("missing", [])),
        item_keys=tuple(item["key"] for item in items),
        expected_query=wanted if ok else "",
        item_tags=tuple(item["tag"] for item in items),
    )
