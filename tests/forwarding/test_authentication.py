"""Tests of keys: who may send, and what searchers are told of the caller."""

from __future__ import annotations

import asyncio

import pytest

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
        assert (await scene.send_request("vm-0", "/one/a", key="k-yard")).status
        scene.configuration["Tenants"][0]["ApiKeys"] = ["k-yard-new"]
        scene.write_configuration()
        await deployment.wait_for_updates(UPDATE_S)
        old = await scene.send_request("vm-0", "/one/a", key="k-yard")
        new = await scene.send_request("vm-0", "/one/a", key="k-yard-new")
        assert (old.status, new.status) == (401, 200)

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
