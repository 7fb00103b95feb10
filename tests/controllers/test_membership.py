"""The membership controller."""

from __future__ import annotations

import asyncio

import async_solipsism

from azureramp.ports.peers import memory
from tests.controllers import vms

CONFIGURATION = vms.make_configuration(("s1", "z1"), ("s2", "z2"), ("s3", "z3"))


def test_vms_agree_on_owners_and_hold_a_lease_after_a_start() -> None:
    async def run() -> None:
        listed = [vms.make_vm(f"vm{n}", f"z{n % 3 + 1}") for n in range(4)]
        listing = vms.ListFake(*listed)
        network = memory.Network()
        nodes = [vms.Node(network, vm, listing, CONFIGURATION) for vm in listed]
        for node in nodes:
            await node.start()
        await asyncio.sleep(5.0)
        now_s = asyncio.get_running_loop().time()
        owners = nodes[0].board.owners
        assert len(owners) == 6
        assert owners["s2-a"] == "vm1"
        for node in nodes:
            assert node.board.owners == owners
            assert node.board.lease_until_s > now_s
            assert set(node.board.may_start_s) == {
                searcher
                for searcher, owner in owners.items()
                if owner == node.board.settings.vm
            }
            assert all(at <= now_s for at in node.board.may_start_s.values())
        for node in nodes:
            await node.stop()

    loop = async_solipsism.EventLoop()
    loop.run_until_complete(run())
    loop.close()
