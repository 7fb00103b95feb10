"""What the servers of a process share: memory, turns and connections."""

from __future__ import annotations

import dataclasses

from azureramp.policy import log_sampling
from azureramp.ports.web import connection_table, memory, turns

RECEIVE_BYTES = 65_536
"""Maximum size of the data that is received at once, in bytes."""

CONNECTION_BYTES = 16_384
"""Memory of an idle connection that a client opened, in bytes."""

CONNECTIONS_MEMORY_SHARE = 0.2
"""Share of the process's memory for the connections that clients open."""

REQUESTS_MEMORY_SHARE = 0.4
"""Share of the process's memory for requests and answers."""

MIN_CONNECTIONS = 100

REJECTIONS_PER_S = 5.0
REJECTIONS_BURST = 20.0
"""Rate limit of the log lines on requests that can't be read."""

REFUSALS_PER_S = 100.0
REFUSALS_BURST = 100.0
"""Rate limit of the answers to requests for which there is no room."""


def make_log_limiter() -> log_sampling.LogLimiter:
    """Makes the rate limit of the log lines."""
    return log_sampling.LogLimiter(REJECTIONS_PER_S, REJECTIONS_BURST)


def make_refusal_limiter() -> log_sampling.LogLimiter:
    """Makes the rate limit of the refusals."""
    return log_sampling.LogLimiter(REFUSALS_PER_S, REFUSALS_BURST)


def make_buffer() -> memoryview:
    """Makes the buffer that data is received into."""
    return memoryview(bytearray(RECEIVE_BYTES))


@dataclasses.dataclass(slots=True)
class Resources:
    """What the servers of a process share.

    Attributes:
        budget: The memory for requests and answers.
        turns: The order of costly work.
        connections: The connections to all servers.
        log_limiter: Limits the log lines on requests that can't be read.
        refusals: Limits the answers to requests for which there is no room;
            beyond it their connections are closed.
        buffer: Where the data of all connections is received.
    """

    budget: memory.Budget = dataclasses.field(default_factory=memory.Budget)
    turns: turns.Turns = dataclasses.field(default_factory=turns.Turns)
    connections: connection_table.ConnectionTable = dataclasses.field(
        default_factory=connection_table.ConnectionTable
    )
    log_limiter: log_sampling.LogLimiter = dataclasses.field(
        default_factory=make_log_limiter
    )
    refusals: log_sampling.LogLimiter = dataclasses.field(
        default_factory=make_refusal_limiter
    )
    buffer: memoryview = dataclasses.field(default_factory=make_buffer)


def make(
    memory_mb: float, connections: int, requests_memory_mb: float = 0.0
) -> Resources:
    """Makes what the servers of a process share.

    Args:
        memory_mb: Maximum size of the process, in MB.
        connections: Maximum number of connections; the process's memory may
            lower it.
        requests_memory_mb: Memory for requests and answers, in MB; 0 for its
            usual share.
    """
    memory_bytes = memory_mb * 1_000_000
    most = round(memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES)
    requests_bytes = requests_memory_mb * 1_000_000
    return Resources(
        memory.Budget(
            round(requests_bytes or memory_bytes * REQUESTS_MEMORY_SHARE)
        ),
        turns.Turns(),
        connection_table.ConnectionTable(
            max(MIN_CONNECTIONS, min(connections, most))
        ),
    )
