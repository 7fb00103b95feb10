"""Tests of keys: who may send, and what searchers are told of the caller."""

from __future__ import annotations

import asyncio
import dataclasses
import io
from typing import Any

import pytest

from azureramp import explanations, log_lines, logs
from azureramp.platform import store
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection
from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes

UPDATE_S = 1.5
"""Wait until a new configuration is in force, in seconds."""


async def declare_accounts(scene: deployment.Deployment) -> None:
    scene.add_account("yard", "k-yard", "k-yard-new")
    scene.add_account("dealer", "k-dealer", "k-both")
    scene.add_account("clone", "k-both", "")
    scene.add_route("/open/", Backend=scenes.SINGLE_SERVICE, Public=True)
    scene.write_configuration()
    await deployment.wait_for_updates(UPDATE_S)


async def send_all(
    scene: deployment.Deployment, vm: str, *keys: str, target: str = "/one/a"
) -> list[int]:
    """Sends a request with each key and returns the statuses."""
    return [
        (await scene.send_request(vm, target, key=key)).status for key in keys
    ]


def expire_keys(scene: deployment.Deployment, after_s: float) -> None:
    """Makes all VMs refuse keys after a time without the store."""
    for program in scene.daemons.values():
        program.board.bounds = dataclasses.replace(
            program.board.bounds, keys_expire_s=after_s
        )


def list_received(scene: deployment.Deployment) -> list[dict[str, str]]:
    """Returns the headers of all requests that reached searchers."""
    return [
        {name.lower(): value for name, value in received.headers.items()}
        for each in scene.searchers.values()
        for received in each.requests
    ]


@pytest.mark.parametrize(
    ("target", "key", "status", "account"),
    [
        ("/one/a", "k-yard", 200, "yard"),
        ("/one/a", "k-yard-new", 200, "yard"),
        ("/one/a", "k-unknown", 401, None),
        ("/one/a", "", 401, None),
        ("/one/a", "k-both", 401, None),
        ("/all/a", "k-dealer", 200, "dealer"),
        ("/open/a", "", 200, None),
        ("/open/a", "k-unknown", 200, None),
        ("/open/a", "k-yard", 200, "yard"),
    ],
)
def test_searchers_are_told_the_account_and_never_the_key(
    target: str, key: str, status: int, account: str | None
) -> None:
    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        response = await scene.send_request(
            "vm-0", target, key=key, headers=(("Azureramp-Tenant", "forged"),)
        )
        assert response.status == status
        received = list_received(scene)
        assert bool(received) == (status == 200)
        for fields in received:
            assert "authorization" not in fields
            assert fields.get("azureramp-tenant") == account

    scenes.run(run)


def test_without_accounts_the_callers_own_headers_are_forwarded() -> None:
    async def run(scene: deployment.Deployment) -> None:
        await scene.send_request("vm-0", "/one/a", key="own")
        assert list_received(scene)[0]["authorization"] == "Token own"

    scenes.run(run)


def test_request_on_an_open_connection_is_judged_by_the_keys_in_force() -> None:
    """Guards against a revoked key that works on as long as its connection."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        opened = await web_connection.connect(scene.get_address("vm-0"), 1.0)
        connection = opened.ok

        async def send(request_id: str, key: str) -> int:
            fields = (
                ("Azureramp-Request-Id", request_id),
                ("Authorization", f"Token {key}"),
            )
            response = await connection.exchange(
                "GET", "/one/a", fields, b"", host=deployment.HOST
            )
            return response.status

        assert await send("r1", "k-yard") == 200
        scene.configuration["Tenants"][0]["ApiKeys"] = ["k-yard-new"]
        scene.write_configuration()
        await deployment.wait_for_updates(UPDATE_S)
        assert await send("r2", "k-yard") == 401
        assert await send("r3", "k-yard-new") == 200
        connection.abort()

    scenes.run(run)


def test_retry_is_not_sent_with_a_key_revoked_in_the_meantime() -> None:
    """Guards against a hedge or retry that outlives its key."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        for each in scene.searchers.values():
            each.script = searcher.Reaction(delay_s=2.5, status=500).always
        scene.configuration["Routes"][1] |= {
            "TimeoutMs": 8000,
            "TargetLatencyMs": 20000,
        }
        scene.write_configuration()
        await deployment.wait_for_updates(UPDATE_S)
        sending = asyncio.create_task(
            scene.send_request("vm-0", "/one/a", key="k-yard", deadline_ms=9000)
        )
        await asyncio.sleep(0.2)
        scene.configuration["Tenants"] = []
        scene.write_configuration()
        response = await sending
        assert response.status >= 500
        assert len(list_received(scene)) == 1

    scenes.run(run)


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ([("Authorization", "Token k-yard")], 200),
        ([("AUTHORIZATION", "tOKEN k-yard")], 200),
        ([("Authorization", "Token   k-yard")], 200),
        ([("Authorization", "Token k-YARD")], 401),
        ([("Authorization", "Token k-yard k-yard")], 401),
        ([("Authorization", "Tokenk-yard")], 401),
        ([("Authorization", "k-yard")], 401),
        ([("Authorization", "Bearer k-yard")], 401),
        ([("Authorization", "Token " + "k" * 9000)], 401),
        ([("Authorization", "Token k-yard")] * 2, 401),
        ([("Authorization", "Token k-yard"), ("Authorization", "x")], 401),
        ([("Proxy-Authorization", "Token k-yard")], 401),
        (
            [
                ("Connection", "authorization, azureramp-tenant"),
                ("Authorization", "Token k-yard"),
            ],
            200,
        ),
    ],
)
def test_ways_to_send_a_key(
    headers: list[tuple[str, str]], status: int
) -> None:
    """Guards against keys that are refused, or forwarded, for their form."""
    output = io.StringIO()

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        response = await scene.send_request("vm-0", "/one/a", headers=headers)
        assert response.status == status
        received = list_received(scene)
        assert [fields["azureramp-tenant"] for fields in received] == (
            ["yard"] if status == 200 else []
        )
        assert "k-yard" not in str(received)
        metrics = await read_metrics(scene)
        assert b"k-yard" not in metrics + response.body

    with logs.JsonLinesHandler("vm-0", output).applicationbound():
        scenes.run(run)
    assert "request" in output.getvalue()
    assert "k-yard" not in output.getvalue()


async def read_metrics(scene: deployment.Deployment) -> bytes:
    """Returns the metrics page of a VM."""
    answers = scene.daemons["vm-0"]._answers
    request = web_api.Request("GET", "/metrics", {}, {})
    return (await answers.handle_metrics(request)).body


def test_old_and_new_key_are_valid_together_until_the_old_one_is_removed() -> (
    None
):
    """Guards against a rotation in which callers are refused."""

    async def run(scene: deployment.Deployment) -> None:
        for keys, expected in (
            (["old"], [200, 401]),
            (["old", "new"], [200, 200]),
            (["new"], [401, 200]),
            ([], [401, 401]),
        ):
            scene.configuration["Tenants"] = [{"Name": "a", "ApiKeys": keys}]
            scene.write_configuration()
            await deployment.wait_for_updates(UPDATE_S)
            assert await send_all(scene, "vm-0", "old", "new") == expected

    scenes.run(run)


def test_invalid_account_leaves_the_rest_of_the_configuration_in_force() -> (
    None
):
    """Guards against one account's error that keeps all VMs on old keys."""
    output = io.StringIO()
    broken: list[dict[str, Any]] = [
        {"Name": "typed", "ApiKeys": "k-secret"},
        {"Name": "typed", "ApiKeys": ["k-secret", 5]},
        {"Name": "two\r\nlines", "ApiKeys": ["k-secret"]},
        {"ApiKeys": ["k-secret"]},
    ]

    async def run(scene: deployment.Deployment) -> None:
        scene.add_account("two words", "k-fine")
        scene.configuration["Tenants"] += broken
        scene.write_configuration()
        await deployment.wait_for_updates(UPDATE_S)
        assert await send_all(scene, "vm-0", "k-fine", "k-secret") == [200, 401]

    with logs.JsonLinesHandler("vm-0", output).applicationbound():
        scenes.run(run)
    warnings = [
        row for row in output.getvalue().splitlines() if "accounts (4)" in row
    ]
    assert len(warnings) == 1
    assert "k-secret" not in output.getvalue()


def test_vm_without_configuration_never_answers_401() -> None:
    """Guards against callers that give up since they met a starting VM."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        scene.store.faults.busy = True
        for program in scene.daemons.values():
            await program.abort()
        await scene.add_vm("vm-9", "zone-0")
        response = await scene.send_request("vm-9", "/one/a", key="k-unknown")
        assert response.status == 503
        assert response.body == b"no_configuration"

    scenes.run(run)


@pytest.mark.parametrize(
    ("expires", "known", "unknown", "public"),
    [(True, 503, 503, 200), (False, 200, 503, 200)],
)
def test_vm_without_store_contact(
    expires: bool, known: int, unknown: int, public: int
) -> None:
    """Guards against revoked keys that a VM which was cut off still accepts.

    Where keys don't expire it serves on. An unknown key isn't refused for
    good in either case, since it may be newer than the VM's configuration.
    """

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        if expires:
            expire_keys(scene, 3.0)
        scene.store.faults.silent = True
        await deployment.wait_for_updates(6.0)
        assert await send_all(scene, "vm-0", "k-yard", "k-unknown", "") == [
            known,
            unknown,
            503 if expires else 401,
        ]
        assert await send_all(scene, "vm-0", "", target="/open/a") == [public]
        scene.store.faults.silent = False
        await deployment.wait_for_updates(4.0)
        assert await send_all(scene, "vm-0", "k-yard", "k-unknown") == [
            200,
            401,
        ]

    scenes.run(run)


def test_vm_that_a_relay_feeds_counts_the_relays_contact() -> None:
    """Guards against a VM that refuses keys although it hears of changes."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        expire_keys(scene, 3.0)
        follower = next(
            program
            for program in scene.daemons.values()
            if not program.board.reads_from_store
        )
        unreachable = store.PlatformStore("127.0.0.1:1")
        await follower._store.close()
        follower._feed._store = follower._members._store = unreachable
        follower._roster._store = unreachable
        await deployment.wait_for_updates(8.0)
        vm = follower.board.identity.vm
        assert await send_all(scene, vm, "k-yard", "k-unknown") == [200, 401]

    scenes.run(run, vms=6)


def test_outcomes_are_counted_by_account_only_if_there_are_accounts() -> None:
    async def run(scene: deployment.Deployment) -> None:
        await scene.send_request("vm-0", "/one/a")
        assert b"account_outcomes" not in await read_metrics(scene)
        await declare_accounts(scene)
        await send_all(scene, "vm-0", "k-yard", "k-yard", "k-unknown")
        rows = (await read_metrics(scene)).decode().splitlines()
        assert [
            row for row in rows if row.startswith("azureramp_account_o")
        ] == [
            'azureramp_account_outcomes{account="(none)",'
            'reason="unauthenticated"} 1',
            'azureramp_account_outcomes{account="yard",reason="answered"} 2',
        ]

    scenes.run(run)


def test_call_that_waited_for_a_connection_is_judged_again() -> None:
    """Guards against a key that is revoked while its call waits in a queue."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        for each in scene.searchers.values():
            each.script = searcher.Reaction(delay_s=0.9).always
        for target in scene.daemons["vm-0"].board.targets.values():
            target.pool.set_limit(1)
        running = asyncio.create_task(
            scene.send_request("vm-0", "/one/a", key="k-dealer")
        )
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(
            scene.send_request("vm-0", "/one/a", key="k-yard")
        )
        await asyncio.sleep(0.05)
        assert len(list_received(scene)) == 1
        del scene.configuration["Tenants"][0]
        scene.write_configuration()
        assert (await waiting).status == 503
        assert (await running).status == 200
        await asyncio.sleep(1.0)
        accounts = [each["azureramp-tenant"] for each in list_received(scene)]
        assert accounts == ["dealer"]

    scenes.run(run, searchers=1)


def test_refusal_is_explained_from_the_logs_of_the_vm() -> None:
    """Guards against log lines that `azureramp explain` no longer reads."""
    output = io.StringIO()

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        await scene.send_request(
            "vm-0", "/one/a", key="k-unknown", request_id="mine"
        )

    with logs.JsonLinesHandler("vm-0", output).applicationbound():
        scenes.run(run)
    lines = log_lines.parse(output.getvalue().splitlines())
    explanation = explanations.explain(lines, "mine")
    assert explanation is not None
    assert "holds its key alone" in explanation.cause
    assert explanation.in_force is not None
    version = explanation.request.fields["configuration"]
    assert explanation.in_force.version == version
