"""The commands of the tool against whole operators' interfaces."""

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
    checking,
    client,
    delete,
    exits,
    files,
    get,
    options,
    selecting,
    status,
    timeline,
    watch,
    zones,
)
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.web import server as web_server
from azureramp_standins import virtual
from tests.controllers import configured

# The in-memory sockets say that they have no options of TCP.
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

Story = Callable[[configured.Deployment, options.Common], Awaitable[None]]


def run(story: Story) -> None:
    """Runs a story with three VMs that serve operators."""

    async def whole() -> None:
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
        common = options.Common(addresses, configured.TOKEN, "en", 5.0)
        await story(deployment, common)
        for server in servers:
            await server.stop(1.0)
        await deployment.stop()

    virtual.run(whole())


@pytest.fixture
def declared(tmp_path: pathlib.Path) -> list[files.Declared]:
    path = tmp_path / "file.yaml"
    path.write_text(FILE, encoding="utf-8")
    return sorted(
        files.read(str(path)).ok,
        key=lambda item: files.get_order(item.resource),
    )


def test_a_file_is_applied_in_order_and_waited_for(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        assert await apply.run(common, declared, wait_s=5.0) == exits.Exit.OK
        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[0] for line in lines[:4]] == ["stored"] * 4
        assert lines[-1].startswith("in_force revision=")
        assert "in_force_on=3/3" in lines[-1]
        assert await apply.run(common, declared) == exits.Exit.OK
        assert capsys.readouterr().out.count("unchanged") == 4

    run(story)


def test_a_dry_run_checks_what_refers_to_each_other_and_changes_nothing(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        code = await checking.run(common, declared, True)
        assert code == exits.Exit.OK
        out = capsys.readouterr().out
        assert out.count("valid ") == 4
        assert "+  - name: oltás-1-a" in out or "+- name: oltás-1-a" in out
        assert not deployment.processes[0].board.configuration.get_zones()
        code = await checking.run(common, declared[2:], False)
        assert code == exits.Exit.REFUSED
        err = capsys.readouterr().err
        assert "zone: unknown_reference" in err

    run(story)


def test_what_get_prints_can_be_changed_and_applied(
    declared: list[files.Declared],
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    """Two operators print the same zone, change it, and apply their files.

    The second must not overwrite the first's change unseen.
    """

    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared)
        capsys.readouterr()
        await get.run(common, "availability_zone", "d")
        text = capsys.readouterr().out
        assert yaml.safe_load(text)["revision"] > 0
        path = tmp_path / "zone.yaml"
        path.write_text(text.replace("in_service", "out"))
        changed = files.read(str(path)).ok
        assert await apply.run(common, changed) == exits.Exit.OK
        assert await apply.run(common, changed) == exits.Exit.CONFLICT
        err = capsys.readouterr().err
        assert err.startswith("conflict availability_zone/d not_run - ")
        assert '"state":"out"' in err

    run(story)


def test_a_zone_is_drained_and_restored(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared)
        code = await zones.change(common, "d", OUT, 5.0)
        assert code == exits.Exit.OK
        for process in deployment.processes:
            assert process.get_zones_out() == {"d"}
        code = await zones.change(common, "misspelt", OUT, 5.0)
        assert code == exits.Exit.NOT_FOUND
        code = await zones.change(
            common, "d", resources.ZoneState.IN_SERVICE, 5.0
        )
        assert code == exits.Exit.OK
        assert deployment.processes[2].get_zones_out() == set()

    run(story)


def test_a_change_that_a_silent_vm_lacks_is_in_force_once_it_must_have_stopped(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    """vm-2 is cut off when a zone is taken out.

    The operator sees that it lacks the change, and `in_force` only when vm-2
    can't send work on the old configuration any more.
    """

    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        deployment.cut(2)
        deployment.set_down(2)
        capsys.readouterr()
        assert await zones.change(common, "d", OUT, 5.0) == exits.Exit.OK
        assert not deployment.processes[2].may_work()
        lines = capsys.readouterr().out.splitlines()
        codes = [line.split()[0] for line in lines]
        assert codes[0] == "stored"
        assert codes[-2:] == ["accepted", "in_force"]
        assert "without=vm-2" in lines[-1]

    run(story)


def test_an_interrupted_change_is_settled_at_the_next_vm(
    declared: list[files.Declared],
) -> None:
    """The first VM dies after the write and before its answer.

    The tool sends the change to the next one, which must recognise it and
    not report a conflict with the operator's own change.
    """

    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        process = deployment.processes[0]
        process.store.faults.lost_replies = 1000
        short = options.Common(common.addresses, common.token, "en", 0.5)
        assert await apply.run(short, declared[:1]) == exits.Exit.OK

    run(story)


def test_a_deletion_is_refused_while_something_refers_to_it(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared)
        hungarian = options.Common(common.addresses, common.token, "hu", 5.0)
        code = await delete.run(hungarian, "availability_zone", "d")
        assert code == exits.Exit.REFUSED
        err = capsys.readouterr().err
        assert "name: still_referenced - Még hivatkozik rá:" in err
        code = await delete.run(common, "shard_map", "arrears.1", wait_s=5.0)
        assert code == exits.Exit.OK

    run(story)


def test_a_watch_resumes_after_a_revision_with_what_was_deleted(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        capsys.readouterr()
        assert await watch.run(common, count=4) == exits.Exit.OK
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

    run(story)


def test_a_watch_that_a_restarted_vm_can_not_resume_is_told_everything(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    """A VM that was replaced does not know what was deleted before it began.

    A client that resumes there must not keep the deleted resource for good.
    """

    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared, wait_s=5.0)
        after = deployment.processes[0].board.configuration.revision
        await delete.run(common, "shard_map", "arrears.1", wait_s=5.0)
        process = await deployment.restart(0)
        await asyncio.sleep(1.0)
        server = web_server.Server("127.0.0.1:9000", process.api.handle)
        await server.start()
        one = options.Common((server.address,), common.token, "en", 5.0)
        capsys.readouterr()
        await watch.run(one, after, 3)
        lines = capsys.readouterr().out.splitlines()
        assert "reset" in json.loads(lines[0])
        await server.stop(1.0)

    run(story)


def test_a_timeline_merges_all_vms_and_names_the_missing_ones(
    declared: list[files.Declared], capsys: pytest.CaptureFixture[str]
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        await apply.run(common, declared)
        await zones.change(common, "d", OUT, 5.0)
        deployment.vmlist.vms["vm-2"] = vmlist_api.Vm(
            "vm-2", "c", "127.0.0.1:9999", "vm-2"
        )
        await asyncio.sleep(5.0)
        capsys.readouterr()
        wanted = selecting.Wanted(zone="d")
        assert await timeline.run(common, wanted) == exits.Exit.OK
        printed = capsys.readouterr()
        assert "no_answer vms=vm-2" in printed.err
        assert "configuration.accepted resource_kind=availability_zone" in (
            printed.out
        )
        assert {line.split()[1] for line in printed.out.splitlines()} == {
            "vm-0",
            "vm-1",
        }

    run(story)


@pytest.mark.parametrize(
    ("token", "addresses", "code", "ran"),
    [
        ("wrong", None, "unauthenticated", "not_run"),
        (configured.TOKEN, ("127.0.0.1:9",), "connection_lost", "not_run"),
    ],
)
def test_a_failure_is_told_by_code_and_exit(
    token: str,
    addresses: tuple[str, ...] | None,
    code: str,
    ran: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        wrong = options.Common(addresses or common.addresses, token, "en", 1.0)
        ended = await status.run(wrong)
        assert ended == exits.get_exit(code)
        assert capsys.readouterr().err.startswith(f"{code} {ran} - ")

    run(story)


def test_the_next_vm_is_asked_when_one_is_gone() -> None:
    async def story(
        deployment: configured.Deployment, common: options.Common
    ) -> None:
        there = options.Common(
            ("127.0.0.1:9", *common.addresses), common.token, "en", 1.0
        )
        result = await client.Client(there).call(
            responses.ErrorAnswer, "GET", "/v1/nothing"
        )
        assert result.error.code == "not_found"

    run(story)
