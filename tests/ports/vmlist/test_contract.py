"""Tests of the contract of the VM list, in memory and over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import async_solipsism
import msgspec
import pytest

from azureramp import errors
from azureramp.ports.vmlist import api, http, memory
from azureramp.ports.web import pool
from azureramp_standins import platform

ADDRESS = "127.0.0.1:7001"

VMS = tuple(
    api.Vm(name, "észak", f"10.0.0.{n}:80", f"10.0.0.{n}:81", n == 2)
    for n, name in enumerate(("a", "b", "c"))
)

SetVms = Callable[[tuple[api.Vm, ...]], Awaitable[None]]
Check = Callable[[api.VmList, SetVms, Callable[[], None]], Awaitable[None]]


async def run_in_memory(check: Check) -> None:
    vmlist = memory.MemoryVmList()

    async def set_vms(vms: tuple[api.Vm, ...]) -> None:
        vmlist.vms = {vm.name: vm for vm in vms}

    def take_down() -> None:
        vmlist.down = True

    await check(vmlist, set_vms, take_down)


async def run_over_http(check: Check) -> None:
    standin = platform.make(ADDRESS)
    await standin.server.start()
    vmlist = http.HttpVmList(ADDRESS)
    control = pool.Pool(ADDRESS)

    async def set_vms(vms: tuple[api.Vm, ...]) -> None:
        for vm in (await vmlist.read()).ok:
            await control.exchange("DELETE", f"/vms/{vm.name}")
        for vm in vms:
            body = msgspec.json.encode(vm)
            await control.exchange("PUT", f"/vms/{vm.name}", body)

    def take_down() -> None:
        standin.faults.list_down = True

    try:
        await check(vmlist, set_vms, take_down)
    finally:
        control.close()
        await vmlist.close()
        await standin.server.stop(1.0)


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


@pytest.mark.parametrize("port", [run_in_memory, run_over_http])
def test_list_contains_the_vms_by_name_until_it_is_down(
    port: Callable[[Check], Coroutine[Any, Any, None]],
) -> None:
    async def check(
        vmlist: api.VmList, set_vms: SetVms, take_down: Callable[[], None]
    ) -> None:
        assert (await vmlist.read()).ok == ()
        await set_vms(VMS[::-1])
        assert (await vmlist.read()).ok == VMS
        await set_vms(VMS[1:])
        assert (await vmlist.read()).ok == VMS[1:]
        take_down()
        failed = await vmlist.read()
        assert failed.error.kind is errors.Kind.STORE_UNAVAILABLE

    run(port(check))


def test_lagging_list_returns_earlier_vms() -> None:
    async def check() -> None:
        standin = platform.make(ADDRESS)
        await standin.server.start()
        vmlist = http.HttpVmList(ADDRESS)
        control = pool.Pool(ADDRESS)
        standin.faults.list_lag_ms = 5000
        await control.exchange("PUT", "/vms/a", msgspec.json.encode(VMS[0]))

        assert (await vmlist.read()).ok == ()
        await asyncio.sleep(5.0)
        assert (await vmlist.read()).ok == VMS[:1]
        control.close()
        await vmlist.close()
        await standin.server.stop(1.0)

    run(check())
