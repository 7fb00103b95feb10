"""Requests to one searcher, which are repeated only where that is allowed."""

from __future__ import annotations

import asyncio

import pytest

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


def count_runs(scene: deployment.Deployment, service: str) -> int:
    return sum(
        len(each.requests)
        for each in scene.searchers.values()
        if each.service == service
    )


def set_script(
    scene: deployment.Deployment, service: str, act: searcher.Reaction
) -> None:
    for each in scene.searchers.values():
        if each.service == service:
            each.script = lambda seen: act


def test_the_request_and_the_answer_pass_unchanged() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        act = searcher.Reaction(body=b"\x00whole\xff")
        set_script(scene, scenes.SINGLE_SERVICE, act)
        answer = await scene.send_request(
            "vm-0", "/once/a%2Fb?x=1&x=2", "POST", b"grant", request_id="r-7"
        )
        assert answer.status == 200
        assert answer.body == b"\x00whole\xff"
        headers = scenes.get_headers(answer)
        assert headers["azureramp-request-id"] == "r-7"
        assert headers["azureramp-server-stamp"].startswith("statements-")
        (seen,) = [
            each
            for name in ("statements-0", "statements-1")
            for each in scene.searchers[name].requests
        ]
        assert seen.target == "/once/a%2Fb?x=1&x=2"
        assert seen.method == "POST"
        assert seen.body == b"grant"
        assert seen.headers["host"] == deployment.HOST
        assert 900 < int(seen.headers["azureramp-deadline-ms"]) < 1000

    scenes.run(scenario)


def test_a_lost_answer_of_a_request_that_runs_once_is_unknown() -> None:
    """Guards against filing a grant twice, the worst fault for a household.

    The searcher runs the request and its connection is reset before the answer.
    No other searcher may get the request, and the answer to the caller must not
    state that it has not run.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        set_script(
            scene,
            scenes.SINGLE_SERVICE,
            searcher.Reaction(connection_action="reset"),
        )
        answer = await scene.send_request("vm-0", "/once/x", "POST", b"grant")
        assert answer.status == 502
        assert count_runs(scene, scenes.SINGLE_SERVICE) == 1

    scenes.run(scenario)


def test_a_slow_request_that_runs_once_is_not_hedged() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        set_script(scene, scenes.SINGLE_SERVICE, searcher.Reaction(delay_s=0.5))
        answer = await scene.send_request("vm-0", "/once/x", "POST", b"grant")
        assert answer.status == 200
        assert count_runs(scene, scenes.SINGLE_SERVICE) == 1

    scenes.run(scenario)


def test_a_rejected_request_that_runs_once_goes_to_another() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        def reject_first(seen: searcher.ReceivedRequest) -> searcher.Reaction:
            if count_runs(scene, scenes.SINGLE_SERVICE) == 1:
                return searcher.Reaction(status=503, not_run=True, signed=False)
            return searcher.Reaction(body=b"done")

        for index in range(2):
            scene.searchers[f"statements-{index}"].script = reject_first
        answer = await scene.send_request("vm-0", "/once/x", "POST", b"grant")
        assert answer.status == 200
        assert answer.body == b"done"
        assert count_runs(scene, scenes.SINGLE_SERVICE) == 2

    scenes.run(scenario)


def test_a_request_that_no_searcher_ran_is_refused_as_not_run() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        act = searcher.Reaction(status=503, not_run=True, signed=False)
        set_script(scene, scenes.SINGLE_SERVICE, act)
        answer = await scene.send_request("vm-0", "/once/x", "POST", b"grant")
        assert answer.status == 503
        assert float(scenes.get_headers(answer)["retry-after"]) > 0

    scenes.run(scenario)


def test_a_repeatable_request_survives_a_reset() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        def reset_first(seen: searcher.ReceivedRequest) -> searcher.Reaction:
            if count_runs(scene, scenes.SINGLE_SERVICE) == 1:
                return searcher.Reaction(connection_action="reset")
            return searcher.Reaction(body=b"done")

        for index in range(2):
            scene.searchers[f"statements-{index}"].script = reset_first
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.body == b"done"

    scenes.run(scenario)


@pytest.mark.parametrize(
    "act",
    [
        searcher.Reaction(
            raw=b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        ),
        searcher.Reaction(raw=b"no answer at all\r\n\r\n"),
        searcher.Reaction(request_id="another", body=b"not yours"),
        searcher.Reaction(signed=False, body=b"nobody's"),
        searcher.Reaction(framed=False, body=b"cut", connection_action="reset"),
    ],
    ids=["truncated", "garbage", "another-id", "unsigned", "cut-unframed"],
)
def test_an_incomplete_or_foreign_answer_is_not_used(
    act: searcher.Reaction,
) -> None:
    """Guards against showing a caller another caller's data, or partial data.

    A faulty searcher truncates an answer, sends invalid bytes, or returns
    another request's answer. None of it may reach a caller, whether the other
    searcher answers or not.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        set_script(scene, scenes.SINGLE_SERVICE, act)
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.status in (502, 504)
        assert b"half" not in answer.body
        assert b"yours" not in answer.body

    scenes.run(scenario)


def test_a_duplicate_answer_is_skipped() -> None:
    """A faulty searcher answers an earlier request twice.

    The second answer arrives in place of the next caller's, which follows it.
    It is recognized by its id, and a request that may run only once gets its
    own answer.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        late = (
            b"HTTP/1.1 200 OK\r\nAzureramp-Request-Id: old\r\n"
            b"Azureramp-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nold"
        )
        own = (
            b"HTTP/1.1 200 OK\r\nAzureramp-Request-Id: mine\r\n"
            b"Azureramp-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nmine"
        )
        set_script(
            scene, scenes.SINGLE_SERVICE, searcher.Reaction(raw=late + own)
        )
        answer = await scene.send_request(
            "vm-0", "/once/x", "POST", b"grant", request_id="mine"
        )
        assert answer.status == 200
        assert answer.body == b"mine"

    scenes.run(scenario)


def test_bytes_after_an_answer_end_the_connection() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        act = searcher.Reaction(body=b"first", extra=b"HTTP/1.1 200 OK\r\n\r\n")
        set_script(scene, scenes.SINGLE_SERVICE, act)
        for _ in range(3):
            answer = await scene.send_request("vm-0", "/one/x")
            assert answer.body == b"first"
        for index in range(2):
            asked = scene.searchers[f"statements-{index}"]
            assert asked.accepted_connections >= len(asked.requests)

    scenes.run(scenario)


def test_an_answer_without_a_length_ends_with_its_stream() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        act = searcher.Reaction(
            framed=False, body=b"whole", connection_action="close"
        )
        set_script(scene, scenes.SINGLE_SERVICE, act)
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.body == b"whole"

    scenes.run(scenario)


def test_a_searcher_that_took_over_an_address_is_not_used() -> None:
    """A searcher stops, and a searcher of another service gets its address.

    The entry still names the old searcher. The new one rejects the call because
    of the id in it, and the call goes to another searcher of the right service.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        scene.searchers["statements-0"].id = "someone-else"
        for _ in range(4):
            answer = await scene.send_request(
                "vm-0", "/once/x", "POST", b"grant"
            )
            assert answer.status == 200
        assert len(scene.searchers["statements-0"].requests) <= 1

    scenes.run(scenario)


def test_a_request_is_answered_at_its_routes_timeout() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        set_script(
            scene,
            scenes.SINGLE_SERVICE,
            searcher.Reaction(connection_action="hang"),
        )
        began_s = asyncio.get_running_loop().time()
        answer = await scene.send_request("vm-0", "/one/x", deadline_ms=5000)
        took_s = asyncio.get_running_loop().time() - began_s
        assert answer.status == 504
        assert 0.99 < took_s < 1.1

    scenes.run(scenario)


def test_a_request_without_a_route_is_not_found() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        answer = await scene.send_request("vm-0", "/none/x")
        assert answer.status == 404

    scenes.run(scenario)


def test_a_call_that_never_got_a_connection_has_not_run() -> None:
    """Guards against an unknown outcome for an order that was never sent.

    All connections to the only searcher are occupied by calls that hang. The
    order waits for one until its deadline, and no byte of it is written: the
    dispatcher may send it again.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        set_script(
            scene,
            scenes.SINGLE_SERVICE,
            searcher.Reaction(connection_action="hang"),
        )
        target = next(iter(scene.daemons["vm-0"].board.targets.values()))
        before = [
            asyncio.ensure_future(
                scene.send_request("vm-0", "/once/x", "POST", b"a")
            )
            for _ in range(target.pool.limit)
        ]
        await deployment.wait_for_updates(0.05)
        late = await scene.send_request(
            "vm-0", "/once/x", "POST", b"order", deadline_ms=300, request_id="l"
        )
        assert late.status == 503
        assert float(scenes.get_headers(late)["retry-after"]) > 0
        for task in before:
            assert (await task).status == 504
        seen = scene.searchers["statements-0"].requests
        assert "l" not in {each.id for each in seen}

    scenes.run(scenario, searchers=1)


def test_a_lookup_goes_to_failing_searchers_if_all_are_failing() -> None:
    """Guards against refusing lookups although their searchers are running.

    Both searchers lose some of their answers, including those to the last two
    calls. A lookup may be repeated, so it is sent anyway; a grant, whose
    outcome would be unknown if its answer got lost too, is refused without
    running.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        lost = searcher.Reaction(delay_s=0.01, connection_action="reset")
        set_script(scene, scenes.SINGLE_SERVICE, lost)
        for _ in range(4):
            await scene.send_request("vm-0", "/one/x")
        set_script(scene, scenes.SINGLE_SERVICE, searcher.Reaction())
        before = count_runs(scene, scenes.SINGLE_SERVICE)
        grant = await scene.send_request("vm-0", "/once/x", "POST", b"grant")
        assert grant.status == 503
        assert count_runs(scene, scenes.SINGLE_SERVICE) == before
        assert (await scene.send_request("vm-0", "/one/x")).status == 200

    scenes.run(scenario)
