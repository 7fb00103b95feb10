"""Measures the cost of the control plane's state in one process.

`python -m azureramp_standins.measuring.control_state` builds configurations of
the size of a cell and of the whole fleet. It measures their memory and the
processor time to decode them, to choose the owners and to build the topology
that queries use.
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

SEARCHERS_PER_SERVER = 2
SEARCHER_COUNTS = (400, 4_000, 40_000)
"""Searchers of one cell, of ten cells, and of the fleet in two years."""

VMS = 68


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one size; `state_bytes` is measured by tracemalloc."""

    searchers: int
    encoded_bytes: int
    state_bytes: int
    decode_ms: float
    owners_ms: float
    topology_ms: float


def measure(searchers: int) -> Row:
    """Measures one size.

    Args:
        searchers: Number of searchers, two per backend server.

    Returns:
        The result.
    """
    servers = searchers // SEARCHERS_PER_SERVER
    service = layouts.Service(servers=servers, shards=searchers, replicas=1)
    layout = layouts.Layout(vms=VMS, services=(service,))
    encoded = [
        msgspec.json.encode(resource)
        for resource in layouts.make_resources(layout)
    ]
    gc.collect()
    tracemalloc.start()
    decoded = _decode(encoded)
    gc.collect()
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del decoded
    configuration, decode_ms = _time(lambda: _decode(encoded))
    zones = {
        searcher.name: server.zone
        for server in configuration.get_backend_servers().values()
        for searcher in server.searchers
    }
    candidates = [
        ownership.OwnerCandidate(f"vm-{n}", layout.zones[n % len(layout.zones)])
        for n in range(VMS)
    ]
    _, owners_ms = _time(
        lambda: ownership.choose_owners(zones, candidates, frozenset())
    )
    _, topology_ms = _time(lambda: topology.build_topology(configuration))
    return Row(
        searchers=searchers,
        encoded_bytes=sum(map(len, encoded)),
        state_bytes=state_bytes,
        decode_ms=round(decode_ms, 1),
        owners_ms=round(owners_ms, 1),
        topology_ms=round(topology_ms, 1),
    )


def _decode(encoded: list[bytes]) -> resources.Configuration:
    """Decodes a configuration from its encoded resources."""
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


def _time(function: Callable[[], Any]) -> tuple[Any, float]:
    """Calls a function; returns its result and processor time in ms."""
    start_s = time.process_time()
    result = function()
    return result, (time.process_time() - start_s) * 1000


@click.command()
def main() -> None:
    """Measures the control plane's state at several sizes.

    Each result is printed as a line of JSON.
    """
    for size in SEARCHER_COUNTS:
        click.echo(msgspec.json.encode(measure(size)).decode())


if __name__ == "__main__":
    main()
