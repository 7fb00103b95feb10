"""Tests of the VMs that decide on client accounts."""

from __future__ import annotations

import asyncio

import expression

from azureramp import errors
from azureramp.controllers.forwarding import account_decider
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import account_buckets, limit_shares
from azureramp.ports.vms import account_messages as messages
from azureramp.ports.web import api as web_api
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes, test_account_limits

State = account_buckets.State


class Links:
    """Calls between deciders in one process.

    Attributes:
        deciders: The deciders by peer address.
    """

    def __init__(self) -> None:
        self.deciders: dict[str, account_decider.AccountDecider] = {}

    async def call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.Failure]:
        request = web_api.Request("POST", path, {}, {}, body)
        response = await self.deciders[address].handle(request)
        return expression.Ok(response.body)

    async def close(self) -> None:
        pass


class Vm:
    """A decider with a board of its own, which lists the VMs it is told."""

    def __init__(
        self, scene: deployment.Deployment, name: str, links: Links
    ) -> None:
        board = scene.daemons[name].board
        now_s = asyncio.get_running_loop().time()
        self.board = board_module.Board(
            board.identity, board.bounds, board.metrics, now_s
        )
        self.board.configuration = board.configuration
        self.board.members = dict(board.members)
        self.decider = account_decider.AccountDecider(self.board, links)
        links.deciders[board.identity.peer_address] = self.decider
        self.uses = 0

    def advertise(self, *names: str) -> None:
        self.board.advertised = {
            name: self.board.members[name] for name in names
        }
        self.decider.observe(asyncio.get_running_loop().time())

    async def wait_for_decision(self, seconds: float) -> State:
        """Reports a use until it is decided on; returns the last state."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        self.uses += 1
        use = messages.Use("yard", self.uses, self.uses - 1)
        while True:
            self.decider.observe(loop.time())
            state = self.decider.decide("process", use, loop.time()).state
            if state is State.LENDING or loop.time() >= until_s:
                return state
            await asyncio.sleep(0.1)


def test_an_owner_gets_an_account_back_from_a_vm_that_it_never_listed() -> None:
    """Guards against an owner that waits for a VM whose address it lacks.

    An owner that is cut off from the store gives its account to the next one,
    which is not on any list that it has seen.
    """

    async def run(scene: deployment.Deployment) -> None:
        await test_account_limits.declare_accounts(scene)
        links = Links()
        first = Vm(scene, "vm-0", links)
        second = Vm(scene, "vm-1", links)
        for vm in (first, second):
            vm.advertise("vm-0")
        wait_s = 2 * limit_shares.MAX_UPDATE_DELAY_S
        assert await first.wait_for_decision(wait_s) is State.LENDING
        second.advertise("vm-1")
        assert await second.wait_for_decision(wait_s) is State.LENDING
        second.advertise("vm-0")
        assert await first.wait_for_decision(wait_s) is State.LENDING

    scenes.run(run, vms=2, searchers=1)
