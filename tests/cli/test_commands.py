"""Tests of the tool's commands against VMs that serve the resource API."""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import Awaitable, Callable

import pytest
import yaml

from azureramp import resources, responses
from azureramp.cli import (
    apply,
    client,
    delete,
    dry_run,
    event_filter,
    exit_codes,
    get,
    options,
    resource_files,
    status,
    timeline,
    watch,
    zones,
)
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.web import server as web_server
from azureramp_standins import virtual
from tests.controllers import configured

# The in-memory sockets warn that they do not support TCP options.
pytestmark = pytest.mark.filterwarnings(
    "ignore::async_solipsism.exceptions.SolipsismWarning"
)

OUT = resources.ZoneState.OUT

FILE = """
kind: availability_zone
name: d
---
kind: backend_server
name: oltás-1
service: claims
zone: d
searchers:
  - {name: oltás-1-a, address: "10.0.0.1:80"}
---
- kind: service
  name: claims
  indexes: [arrears]
- kind: shard_map
  name: arrears.1
  index: arrears
  version: 1
  shards:
    - {name: s0, low: 0, high: 10, size: 3, searchers: [oltás-1-a]}
"""

Scenario = Callable[
    [configured.Deployment, options.CommonOptions], Awaitable[None]
]


def run(scenario: Scenario) -> None:
    """Runs a scenario against three VMs that serve the resource API."""

    async def run_scenario() -> None:
        deployment = configured.Deployment(3)
        await deployment.start()
        servers = [
            web_server.Server(
                process.board.settings.http_address, process.api.handle
            )
            for process in deployment.processes
        ]
        for server in servers:
            await server.start()
        addresses = tuple(server.address for server in servers)
        common = options.CommonOptions(addresses, configured.TOKEN, "en", 5.0)
        await scenario(deployment, common)
        for server in servers:
            await server.stop(1.0)
        await deployment.stop()

    virtual.run(run_scenario())


@pytest.fixture
def declared(tmp_path: pathlib.Path) -> list[resource_files.DeclaredResource]:
    path = tmp_path / "file.yaml"
    path.write_text(FILE, encoding="utf-8")
    return sorted(
        resource_files.read(str(path)).ok,
        key=lambda item: resource_files.get_dependency_rank(item.resource),
    )


def test_apply_writes_in_dependency_order_and_waits_until_in_force(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        assert (
            await apply.run(common, declared, wait_s=5.0)
            == exit_codes.ExitCode.OK
        )
        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[0] for line in lines[:4]] == ["stored"] * 4
        assert lines[-1].startswith("in_force revision=")
        assert "in_force_on=3/3" in lines[-1]
        assert await apply.run(common, declared) == exit_codes.ExitCode.OK
        assert capsys.readouterr().out.count("unchanged") == 4

    run(scenario)


def test_dry_run_resolves_references_within_the_file_and_changes_nothing(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        code = await dry_run.run(common, declared, True)
        assert code == exit_codes.ExitCode.OK
        out = capsys.readouterr().out
        assert out.count("valid ") == 4
        assert "+  - name: oltás-1-a" in out or "+- name: oltás-1-a" in out
        assert not deployment.processes[0].board.configuration.get_zones()
        code = await dry_run.run(common, declared[2:], False)
        assert code == exit_codes.ExitCode.REFUSED
        err = capsys.readouterr().err
        assert "zone: unknown_reference" in err

    run(scenario)


def test_output_of_get_can_be_edited_and_applied(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost updates between two operators.

    Both print the same zone, edit it and apply their files. The second apply
    must report a conflict instead of silently overwriting the first change.
    """

    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared)
        capsys.readouterr()
        await get.run(common, "availability_zone", "d")
        text = capsys.readouterr().out
        assert yaml.safe_load(text)["revision"] > 0
        path = tmp_path / "zone.yaml"
        path.write_text(text.replace("in_service", "out"))
        changed = resource_files.read(str(path)).ok
        assert await apply.run(common, changed) == exit_codes.ExitCode.OK
        assert await apply.run(common, changed) == exit_codes.ExitCode.CONFLICT
        err = capsys.readouterr().err
        assert err.startswith("conflict availability_zone/d not_run - ")
        assert '"state":"out"' in err

    run(scenario)


def test_zone_is_drained_and_restored(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared)
        code = await zones.change_state(common, "d", OUT, 5.0)
        assert code == exit_codes.ExitCode.OK
        for process in deployment.processes:
            assert process.get_zones_out() == {"d"}
        code = await zones.change_state(common, "misspelt", OUT, 5.0)
        assert code == exit_codes.ExitCode.NOT_FOUND
        code = await zones.change_state(
            common, "d", resources.ZoneState.IN_SERVICE, 5.0
        )
        assert code == exit_codes.ExitCode.OK
        assert deployment.processes[2].get_zones_out() == set()

    run(scenario)


def test_change_missing_on_unreachable_vm_is_in_force_once_that_vm_stops_work(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """vm-2 is disconnected when a zone is taken out of service.

    The output must name vm-2 as the VM without the change, and `in_force`
    must not appear until vm-2 can no longer dispatch work under the old
    configuration.
    """

    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        deployment.cut(2)
        deployment.set_down(2)
        capsys.readouterr()
        assert (
            await zones.change_state(common, "d", OUT, 5.0)
            == exit_codes.ExitCode.OK
        )
        assert not deployment.processes[2].may_work()
        lines = capsys.readouterr().out.splitlines()
        codes = [line.split()[0] for line in lines]
        assert codes[0] == "stored"
        assert codes[-2:] == ["accepted", "in_force"]
        assert "without=vm-2" in lines[-1]

    run(scenario)


def test_change_with_lost_answer_is_confirmed_by_next_vm(
    declared: list[resource_files.DeclaredResource],
) -> None:
    """The first VM's replies from the store are lost, so it never answers.

    The tool sends the change to the next VM, which must recognize that the
    change was already written, and not report a conflict with it.
    """

    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        process = deployment.processes[0]
        process.store.faults.lost_replies = 1000
        short_timeout = options.CommonOptions(
            common.addresses, common.token, "en", 0.5
        )
        assert (
            await apply.run(short_timeout, declared[:1])
            == exit_codes.ExitCode.OK
        )

    run(scenario)


def test_deletion_of_referenced_resource_is_refused(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared)
        hungarian = options.CommonOptions(
            common.addresses, common.token, "hu", 5.0
        )
        code = await delete.run(hungarian, "availability_zone", "d")
        assert code == exit_codes.ExitCode.REFUSED
        err = capsys.readouterr().err
        assert "name: still_referenced - Még hivatkozik rá:" in err
        code = await delete.run(common, "shard_map", "arrears.1", wait_s=5.0)
        assert code == exit_codes.ExitCode.OK

    run(scenario)


def test_watch_resumed_after_revision_includes_deletions(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        capsys.readouterr()
        assert await watch.run(common, count=4) == exit_codes.ExitCode.OK
        lines = capsys.readouterr().out.splitlines()
        after = json.loads(lines[-1])["revision"]
        task = asyncio.create_task(watch.run(common, after, 1))
        await asyncio.sleep(1.0)
        await delete.run(common, "shard_map", "arrears.1", wait_s=5.0)
        capsys.readouterr()
        await task
        await watch.run(common, after, 1)
        line = json.loads(capsys.readouterr().out)
        assert (line["kind"], line["resource"]) == ("shard_map", None)

    run(scenario)


def test_watch_resumed_on_restarted_vm_begins_with_reset(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A restarted VM does not know which resources were deleted before.

    A client that resumes its watch there must get a reset and the full list;
    otherwise it would keep the deleted resource indefinitely.
    """

    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        after = deployment.processes[0].board.configuration.revision
        await delete.run(common, "shard_map", "arrears.1", wait_s=5.0)
        process = await deployment.restart(0)
        await asyncio.sleep(1.0)
        server = web_server.Server("127.0.0.1:9000", process.api.handle)
        await server.start()
        restarted = options.CommonOptions(
            (server.address,), common.token, "en", 5.0
        )
        capsys.readouterr()
        await watch.run(restarted, after, 3)
        lines = capsys.readouterr().out.splitlines()
        assert "reset" in json.loads(lines[0])
        await server.stop(1.0)

    run(scenario)


def test_timeline_merges_all_vms_and_names_missing_ones(
    declared: list[resource_files.DeclaredResource],
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        await apply.run(common, declared)
        await zones.change_state(common, "d", OUT, 5.0)
        deployment.vmlist.vms["vm-2"] = vmlist_api.Vm(
            "vm-2", "c", "127.0.0.1:9999", "vm-2"
        )
        await asyncio.sleep(5.0)
        capsys.readouterr()
        wanted = event_filter.EventFilter(zone="d")
        assert await timeline.run(common, wanted) == exit_codes.ExitCode.OK
        printed = capsys.readouterr()
        assert "no_answer vms=vm-2" in printed.err
        assert "configuration.accepted resource_kind=availability_zone" in (
            printed.out
        )
        assert {line.split()[1] for line in printed.out.splitlines()} == {
            "vm-0",
            "vm-1",
        }

    run(scenario)


@pytest.mark.parametrize(
    ("token", "addresses", "code", "ran"),
    [
        ("wrong", None, "unauthenticated", "not_run"),
        (configured.TOKEN, ("127.0.0.1:9",), "connection_lost", "not_run"),
    ],
)
def test_failure_is_reported_by_error_code_and_exit_code(
    token: str,
    addresses: tuple[str, ...] | None,
    code: str,
    ran: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        wrong = options.CommonOptions(
            addresses or common.addresses, token, "en", 1.0
        )
        ended = await status.run(wrong)
        assert ended == exit_codes.get_exit_code(code)
        assert capsys.readouterr().err.startswith(f"{code} {ran} - ")

    run(scenario)


def test_next_vm_is_called_when_one_is_unreachable() -> None:
    async def scenario(
        deployment: configured.Deployment, common: options.CommonOptions
    ) -> None:
        with_unreachable_first = options.CommonOptions(
            ("127.0.0.1:9", *common.addresses), common.token, "en", 1.0
        )
        result = await client.Client(with_unreachable_first).call(
            responses.ErrorAnswer, "GET", "/v1/nothing"
        )
        assert result.error.code == "not_found"

    run(scenario)
