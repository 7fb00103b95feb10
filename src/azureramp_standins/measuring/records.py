"""Measures in virtual time the platform calls that idempotency records need.

Latency of claims, stored bytes and memory are measured too.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import pathlib
import random
import statistics
from typing import cast

import click

from azureramp import (
    blackboard,
    metrics,
    settings,
    timelines,
)
from azureramp.controllers import idempotency, record_outcomes
from azureramp.policy import idempotency as idempotency_policy
from azureramp.policy import record_limits
from azureramp.ports.store import api, counting, memory
from azureramp.ports.store import state as store_state
from azureramp_standins import virtual
from azureramp_standins.measuring import grouped_trial, tables

VMS = 8
RATES = (1, 10, 100, 500)
RECORDS = 3000
"""Number of records; at the lower rates, `MAX_DURATION_S` ends a run."""

MAX_DURATION_S = 120.0
ROUND_TRIP_S = 0.004
RESULT = b'[{"grant":1234567}]'
EXECUTION_S = 0.05
"""Time from a claim to its outcome, in seconds."""


@dataclasses.dataclass(slots=True)
class StorageMethod:
    """A method of storing the records.

    Attributes:
        name: Name in the table.
        group: Maximum number of outcomes that share a write.
        flush_s: Minimum time between two writes of outcomes, in seconds.
        buckets: Number of logs; 0 stores one record per key.
        linger_s: Time for which a log's segment waits for further changes, in
            seconds.
    """

    name: str
    group: int = idempotency_policy.MAX_GROUP_CLAIMS
    flush_s: float = record_outcomes.FLUSH_INTERVAL_S
    buckets: int = 0
    linger_s: float = 0.0


STORAGE_METHODS = (
    StorageMethod("one write an outcome", group=1, flush_s=0.0),
    StorageMethod("outcomes grouped, 50 ms", flush_s=0.05),
    StorageMethod("outcomes grouped, 100 ms"),
    StorageMethod("outcomes grouped, 250 ms", flush_s=0.25),
    StorageMethod("log, 1 bucket, 0 ms", buckets=1),
    StorageMethod("log, 1 bucket, 20 ms", buckets=1, linger_s=0.02),
    StorageMethod("log, 1 bucket, 50 ms", buckets=1, linger_s=0.05),
    StorageMethod("log, 8 buckets, 20 ms", buckets=8, linger_s=0.02),
    StorageMethod("log, 8 buckets, 50 ms", buckets=8, linger_s=0.05),
)


class VmRecords:
    """The idempotency records of one VM."""

    def __init__(
        self,
        number: int,
        state: store_state.State,
        method: StorageMethod,
        seed: int,
    ) -> None:
        """Initializes the records and starts their task."""
        daemon = settings.Settings(
            vm=f"vm-{number}",
            zone="a",
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            store_address="127.0.0.1:3",
            vmlist_address="127.0.0.1:4",
        )
        self.counters = metrics.Metrics()
        self.memory = memory.MemoryStore(
            state, memory.Faults(delay_s=ROUND_TRIP_S)
        )
        self.grouped: grouped_trial.GroupedStore | None = None
        store = counting.CountingStore(self.memory, self.counters)
        if method.buckets:
            self.grouped = grouped_trial.GroupedStore(
                store, daemon.vm, method.buckets, method.linger_s
            )
        board = blackboard.Blackboard(
            daemon, 1, timelines.Timeline(daemon.vm), self.counters
        )
        self.records = idempotency.make(
            board,
            # GroupedStore implements only those methods of a store that the
            # records use.
            cast("api.Store", self.grouped or store),
            random.Random(f"{seed}.{number}"),
        )
        self.task = asyncio.ensure_future(self.records.run())


async def measure(
    method: StorageMethod, rate: int, seed: int
) -> dict[str, float | str]:
    """Measures one storage method at one rate of claims per second.

    Returns:
        The row of the table.
    """
    rng = random.Random(seed)
    state = store_state.State()
    # The rate limit of claims is lifted, so that it doesn't affect the results.
    record_limits.MAX_RECORDS_PER_S = math.inf
    idempotency_policy.MAX_GROUP_CLAIMS = method.group
    record_outcomes.FLUSH_INTERVAL_S = method.flush_s
    vms = [VmRecords(number, state, method, seed) for number in range(VMS)]
    loop = asyncio.get_running_loop()
    took_ms: list[float] = []
    tasks: set[asyncio.Task[None]] = set()
    failures = 0

    async def request(number: int) -> None:
        nonlocal failures
        vm = vms[rng.randrange(VMS)]
        start_s = loop.time()
        result = await vm.records.claim("office", f"{number}", 1, f"{number}")
        if result.is_error():
            failures += 1
            return
        assert isinstance(result.ok, idempotency.Claimed)
        took_ms.append((loop.time() - start_s) * 1000)
        await asyncio.sleep(EXECUTION_S)
        if vm.grouped is None:
            await vm.records.finish(result.ok, RESULT)
            return
        # A log has no groups: outcomes share segments with claims.
        outcome = idempotency_policy.make_finished(RESULT)
        nonce = result.ok.record.nonce
        data = idempotency_policy.encode_group({nonce: outcome})
        await vm.grouped.write(f"outcome/{nonce}", data, 0)

    number = 0
    while number < RECORDS and loop.time() < MAX_DURATION_S:
        await asyncio.sleep(rng.expovariate(rate))
        tasks.add(asyncio.ensure_future(request(number)))
        number += 1
    duration_s = loop.time()
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)
    counts: dict[str, int] = {}
    for vm in vms:
        for name, count in vm.counters.counts.items():
            counts[name] = counts.get(name, 0) + count
    reads = counts.get("store.reads", 0) + counts.get("store.watches", 0)
    took_ms.sort()
    stored = sum(
        len(entry.value or b"") + len(entry.key)
        for entry in state.list("/").entries
    )
    max_in_memory = max(
        vm.grouped.count_claims() if vm.grouped else 0 for vm in vms
    )
    return {
        "way": method.name,
        "claims_per_s": rate,
        "records": len(took_ms),
        "refused": failures,
        "writes_per_record": counts["store.writes"] / len(took_ms),
        "reads_per_record": reads / len(took_ms),
        "writes_per_s": counts["store.writes"] / duration_s,
        "reads_per_s": reads / duration_s,
        "claim_p50_ms": statistics.median(took_ms),
        "claim_p99_ms": took_ms[int(len(took_ms) * 0.99)],
        "stored_bytes_per_record": stored / len(took_ms),
        "records_in_memory": max_in_memory,
    }


@click.command()
@click.option("--seed", default=1, help="Seed of the arrivals.")
@click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=pathlib.Path),
    help="File to which the rows are written as JSON too.",
)
def main(seed: int, json_path: pathlib.Path | None) -> None:
    """Measures all storage methods at all rates and prints a table."""
    tables.print_rows(
        (
            virtual.run(measure(method, rate, seed))
            for method in STORAGE_METHODS
            for rate in RATES
        ),
        json_path,
    )


if __name__ == "__main__":
    main()
