"""What the state of the control plane costs in one process.

`python -m azureramp_standins.measuring.control_state` builds the configuration
of a cell and of the whole fleet, and measures memory, the time to decode it,
to choose the owners and to build what a query looks at.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import click
import msgspec

from azureramp import resources
from azureramp.policy import ownership, topology
from azureramp_standins import layout as layouts

SEARCHERS_A_SERVER = 2
SIZES = (400, 4_000, 40_000)
"""Searchers of one cell, of ten, and of the fleet in two years."""

VMS = 68


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What one size gave; bytes as tracemalloc counts them."""

    searchers: int
    encoded_bytes: int
    state_bytes: int
    decode_ms: float
    owners_ms: float
    topology_ms: float


def measure(searchers: int) -> Row:
    """Measures one size.

    Args:
        searchers: How many searchers there are, two a backend server.
    """
    servers = searchers // SEARCHERS_A_SERVER
    service = layouts.Service(servers=servers, shards=searchers, replicas=1)
    layout = layouts.Layout(vms=VMS, services=(service,))
    encoded = [
        msgspec.json.encode(resource)
        for resource in layouts.make_resources(layout)
    ]
    gc.collect()
    tracemalloc.start()
    kept = _decode(encoded)
    gc.collect()
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    configuration, decode_ms = _time(lambda: _decode(encoded))
    zones = {
        searcher.name: server.zone
        for server in configuration.get_backend_servers().values()
        for searcher in server.searchers
    }
    candidates = [
        ownership.Candidate(f"vm-{n}", layout.zones[n % len(layout.zones)])
        for n in range(VMS)
    ]
    _, owners_ms = _time(
        lambda: ownership.choose_owners(zones, candidates, frozenset())
    )
    _, topology_ms = _time(lambda: topology.build(configuration))
    return Row(
        searchers=searchers,
        encoded_bytes=sum(map(len, encoded)),
        state_bytes=state_bytes,
        decode_ms=round(decode_ms, 1),
        owners_ms=round(owners_ms, 1),
        topology_ms=round(topology_ms, 1),
    )


def _decode(encoded: list[bytes]) -> resources.Configuration:
    """Decodes a configuration as it comes from the store."""
    decoder = msgspec.json.Decoder(resources.AnyResource)
    configuration = resources.Configuration()
    for revision, data in enumerate(encoded, 1):
        resource = decoder.decode(data)
        kind = str(type(resource).__struct_config__.tag)
        configuration.entries[(kind, resource.name)] = resources.Versioned(
            resource, kind, resource.name, revision
        )
    configuration.revision = len(encoded)
    return configuration


def _time(work: Callable[[], Any]) -> tuple[Any, float]:
    """Runs something; returns its result and its processor time in ms."""
    began_s = time.process_time()
    result = work()
    return result, (time.process_time() - began_s) * 1000


@click.command()
def main() -> None:
    """Measures the control plane's state at several sizes."""
    for size in SIZES:
        click.echo(msgspec.json.encode(measure(size)).decode())


if __name__ == "__main__":
    main()
