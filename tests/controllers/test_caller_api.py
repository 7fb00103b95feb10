"""The callers' HTTP interface."""

from __future__ import annotations

import random

import msgspec
import pytest

from azureramp import blackboard, errors, messages, resources
from azureramp.controllers import caller_api
from azureramp.ports.web import api as web_api
from tests.controllers import query_cell

BODY = {
    "service": "claims",
    "index": "cover",
    "query": {"member": 1},
    "deadline_ms": 500,
}


def make_request(
    path: str = "/v1/query",
    body: object = BODY,
    token: str = query_cell.TOKEN,
    method: str = "POST",
    **headers: str,
) -> web_api.Request:
    fields = {"authorization": f"Bearer {token}"}
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return web_api.Request(method, path, {}, fields, data)


async def call(
    cell: query_cell.Cell, request: web_api.Request
) -> web_api.Response:
    api = caller_api.make(cell.board, cell.coordinator, random.Random(1))
    return await api.handle(request)


def test_a_known_caller_gets_its_whole_answer() -> None:
    async def main() -> web_api.Response:
        return await call(query_cell.Cell(), make_request())

    response = query_cell.run(main())
    answer = msgspec.json.decode(response.body, type=messages.QueryAnswer)

    assert response.status == 200
    assert answer.complete


@pytest.mark.parametrize(
    ("request_", "kind"),
    [
        (make_request(token="wrong"), errors.Kind.UNAUTHENTICATED),
        (make_request(token=""), errors.Kind.UNAUTHENTICATED),
        (make_request(method="GET"), errors.Kind.METHOD_NOT_ALLOWED),
        (make_request("/v1/else"), errors.Kind.NOT_FOUND),
        (make_request(body=b"{"), errors.Kind.BAD_REQUEST),
        (make_request(body=BODY | {"x": 1}), errors.Kind.BAD_REQUEST),
        (make_request(body=BODY | {"deadline_ms": 0}), errors.Kind.BAD_REQUEST),
        (make_request(body=BODY | {"service": "x"}), errors.Kind.FORBIDDEN),
        (make_request(body=BODY | {"index": "x"}), errors.Kind.FORBIDDEN),
        (make_request(body=b" " * 300_000), errors.Kind.TOO_LARGE),
        (make_request("/v1/execute"), errors.Kind.BAD_REQUEST),
    ],
)
def test_a_bad_request_gets_its_code_and_reaches_no_searcher(
    request_: web_api.Request, kind: errors.Kind
) -> None:
    async def main() -> tuple[web_api.Response, int]:
        cell = query_cell.Cell()
        return await call(cell, request_), cell.count_calls()

    response, calls = query_cell.run(main())

    assert msgspec.json.decode(response.body)["code"] == kind.value
    assert response.status == errors.ANSWERS[kind].status
    assert calls == 0


@pytest.mark.parametrize(
    ("serving", "kind"),
    [
        (blackboard.Serving.STARTING, errors.Kind.STALE_CONFIGURATION),
        (blackboard.Serving.STALE, errors.Kind.STALE_CONFIGURATION),
        (blackboard.Serving.ZONE_OUT, errors.Kind.ZONE_OUT),
        (blackboard.Serving.LEAVING, errors.Kind.LEAVING),
    ],
)
def test_a_vm_that_takes_no_work_names_other_addresses(
    serving: blackboard.Serving, kind: errors.Kind
) -> None:
    async def main() -> web_api.Response:
        cell = query_cell.Cell()
        cell.board.serving = serving
        return await call(cell, make_request())

    response = query_cell.run(main())
    body = msgspec.json.decode(response.body, type=messages.ErrorAnswer)

    assert body.code == kind.value
    assert body.ran == "not_run"
    assert body.addresses


def test_addresses_never_name_a_zone_that_is_out() -> None:
    async def main() -> web_api.Response:
        cell = query_cell.Cell()
        cell.put(resources.Zone(name="zone-1", state=resources.ZoneState.OUT))
        return await call(cell, make_request("/v1/addresses", method="GET"))

    response = query_cell.run(main())
    answer = msgspec.json.decode(response.body, type=messages.AddressAnswer)

    assert sorted(answer.addresses) == ["http-vm-0", "http-vm-2"]
