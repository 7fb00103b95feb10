"""A test double of the platform: key-value service and VM list, with faults.

Start it with `python -m azureramp_standins.platform --address IP:port`. The
protocol is in docs/reference/platform.md. All data is kept in memory.
"""

from __future__ import annotations

import asyncio
import contextlib

import click
import msgspec

from azureramp.ports.store import api, protocol
from azureramp.ports.store import state as store_state
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.web import api as web_api
from azureramp.ports.web import server as web_server
from azureramp_standins import platform_meter

MAX_WAIT_S = 60.0
"""Maximum wait of a watch, in seconds."""


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The injected faults; the body of `POST /faults`, which replaces them all.

    Attributes:
        down: True to answer every call of the key-value service with 503.
        slow_ms: Delay of each call of the key-value service, in milliseconds.
        lost_replies: How many of the next writes take effect without an
            answer.
        lost_requests: How many of the next writes have neither effect nor
            answer.
        late_ms: If positive, writes get no answer and take effect after this
            delay, in milliseconds.
        past: The number of revisions by which reads are stale.
        list_down: True to answer reads of the VM list with 503.
        list_lag_ms: The age of the VM list in answers, in milliseconds.
    """

    down: bool = False
    slow_ms: int = 0
    lost_replies: int = 0
    lost_requests: int = 0
    late_ms: int = 0
    past: int = 0
    list_down: bool = False
    list_lag_ms: int = 0


class Platform:
    """The platform's state and HTTP interface.

    Attributes:
        faults: The injected faults.
        call_meter: Counts the calls.
        server: The HTTP server.
        state: The state of the key-value service.
    """

    __slots__ = (
        "_list_history",
        "_vms",
        "call_meter",
        "faults",
        "server",
        "state",
    )

    def __init__(self, address: str) -> None:
        """Makes a platform without keys and VMs; see `make`."""
        self.faults = Faults()
        self.call_meter = platform_meter.CallMeter()
        self.state = store_state.State()
        self.server = web_server.Server(address, self.handle)
        self._vms: dict[str, vmlist_api.Vm] = {}
        self._list_history: list[tuple[float, tuple[vmlist_api.Vm, ...]]] = []

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one request."""
        try:
            if request.path.startswith("/v1/"):
                return await self._handle_store(request)
            if request.path.startswith("/vms"):
                return self._handle_vm_list(request)
            return self._handle_control(request)
        except (KeyError, ValueError, msgspec.DecodeError) as error:
            return _make_response(
                400, {"detail": f"{type(error).__name__}: {error}"}
            )

    def _handle_control(self, request: web_api.Request) -> web_api.Response:
        """Serves the interface for call counts and fault injection."""
        match request.method, request.path:
            case "GET", "/stats":
                return _make_response(200, self.call_meter.get_stats())
            case "GET", "/faults":
                return _make_response(200, self.faults)
            case "POST", "/faults":
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return _make_response(200, self.faults)
        return _make_response(404, {"detail": "no such path"})

    def _handle_vm_list(self, request: web_api.Request) -> web_api.Response:
        """Serves the VM list; faults affect only reads of it."""
        name = request.path.removeprefix("/vms").lstrip("/")
        match request.method:
            case "GET" if not name:
                self.call_meter.count("list")
                if self.faults.list_down:
                    return _make_response(503, {"detail": "the list is down"})
                return _make_response(200, self._get_vm_list())
            case "PUT" if name:
                vm = msgspec.json.decode(request.body, type=vmlist_api.Vm)
                self._vms[name] = msgspec.structs.replace(vm, name=name)
            case "DELETE" if name:
                self._vms.pop(name, None)
            case _:
                return _make_response(405, {"detail": "method not allowed"})
        vms = tuple(self._vms[each] for each in sorted(self._vms))
        self._list_history.append((asyncio.get_running_loop().time(), vms))
        return _make_response(200, vms)

    def _get_vm_list(self) -> tuple[vmlist_api.Vm, ...]:
        """Returns the VM list of `list_lag_ms` ago."""
        now_s = asyncio.get_running_loop().time()
        at_s = now_s - self.faults.list_lag_ms / 1000
        for changed_s, vms in reversed(self._list_history):
            if changed_s <= at_s:
                return vms
        return ()

    async def _handle_store(self, request: web_api.Request) -> web_api.Response:
        """Serves the key-value service, subject to the injected faults."""
        self.call_meter.count(_classify_call(request))
        self.state.expire_leases(asyncio.get_running_loop().time())
        if self.faults.down:
            await self._delay()
            return _make_response(503, {"detail": "the store is down"})
        query = request.query
        if request.method == "GET":
            await self._delay()
        match request.method, request.path:
            case "GET", protocol.KEYS if "key" in query:
                entry = self.state.read(query["key"], self._get_read_revision())
                if entry is None:
                    return _make_response(
                        404, {"revision": self.state.revision}
                    )
                return _make_response(200, entry)
            case "GET", protocol.KEYS:
                listing = self.state.list(
                    query["prefix"], self._get_read_revision()
                )
                return _make_response(200, listing)
            case (("PUT" | "DELETE"), protocol.KEYS):
                # The write takes effect even if its client times out while
                # the answer is delayed.
                response = await self._write(request)
                await self._delay()
                return response
            case "GET", protocol.WATCH:
                return await self._watch(request)
            case (("POST" | "PUT"), protocol.LEASES):
                return self._handle_lease(request)
        return _make_response(404, {"detail": "no such path"})

    async def _delay(self) -> None:
        """Waits for the injected delay."""
        await asyncio.sleep(self.faults.slow_ms / 1000)

    def _get_read_revision(self) -> int | None:
        """Returns the revision for stale reads; None for current reads."""
        if not self.faults.past:
            return None
        return max(self.state.revision - self.faults.past, 0)

    async def _write(self, request: web_api.Request) -> web_api.Response:
        """Writes or deletes a key, subject to the faults of writes."""
        query = request.query
        key = query["key"]
        expected = int(query["expected"])
        value = request.body if request.method == "PUT" else None
        lease = query.get("lease", "")
        if value is not None and len(value) > api.MAX_VALUE_BYTES:
            return _make_response(413, {"detail": "the value is too large"})
        faults = self.faults
        if faults.late_ms > 0:
            asyncio.get_running_loop().call_later(
                faults.late_ms / 1000,
                self.state.write,
                key,
                value,
                expected,
                lease,
            )
            await _never_answer()
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            await _never_answer()
        outcome = self.state.write(key, value, expected, lease)
        if faults.lost_replies > 0:
            faults.lost_replies -= 1
            await _never_answer()
        match outcome:
            case api.Written():
                return _make_response(200, outcome)
            case api.Conflict(current=current):
                return _make_response(409, {"present": current})
        return _make_response(404, {"detail": "no such lease"})

    async def _watch(self, request: web_api.Request) -> web_api.Response:
        """Waits for changes."""
        loop = asyncio.get_running_loop()
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        deadline_s = loop.time() + min(wait_s, MAX_WAIT_S)
        self.call_meter.waiting += 1
        try:
            while True:
                self.state.expire_leases(loop.time())
                listing = self.state.list_changes(prefix, after)
                remaining_s = deadline_s - loop.time()
                if self.faults.down:
                    return _make_response(503, {"detail": "the store is down"})
                if listing.entries or remaining_s <= 0:
                    return _make_response(200, listing)
                expiry_s = self.state.get_next_lease_expiry_s()
                if expiry_s is not None:
                    remaining_s = min(remaining_s, expiry_s - loop.time())
                await self.state.wait_for_change(remaining_s)
        finally:
            self.call_meter.waiting -= 1

    def _handle_lease(self, request: web_api.Request) -> web_api.Response:
        """Grants or renews a lease."""
        now_s = asyncio.get_running_loop().time()
        if request.method == "POST":
            ttl_s = int(request.query["ttl_ms"]) / 1000
            lease = self.state.grant_lease(ttl_s, now_s)
            return _make_response(200, {"lease": lease})
        lease = request.query["lease"]
        renewed = self.state.renew_lease(lease, now_s)
        return _make_response(200 if renewed else 404, {"lease": lease})


def make(address: str) -> Platform:
    """Makes a platform that does not listen yet.

    Args:
        address: `IP:port` to listen on.
    """
    return Platform(address)


def _classify_call(request: web_api.Request) -> str:
    """Returns the kind under which a call is counted."""
    if request.path == protocol.WATCH:
        return "watches"
    if request.path == protocol.LEASES:
        return "leases"
    return "reads" if request.method == "GET" else "writes"


async def _never_answer() -> None:
    """Waits until the server cancels the call as its client disconnects."""
    await asyncio.get_running_loop().create_future()


def _make_response(status: int, body: object) -> web_api.Response:
    """Makes a JSON response; bytes are encoded as base64."""
    return web_api.Response(status, msgspec.json.encode(body))


async def _run(address: str) -> None:
    """Serves until the process is terminated."""
    platform = make(address)
    await platform.server.start()
    await asyncio.get_running_loop().create_future()


@click.command()
@click.option("--address", required=True, help="IP:port to listen on.")
def main(address: str) -> None:
    """Runs the test double of the platform."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(address))


if __name__ == "__main__":
    main()
