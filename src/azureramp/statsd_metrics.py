"""Creates the metrics of a process, which are optionally sent to statsd."""

from __future__ import annotations

import statsd

from azureramp import metrics


def make_metrics(address: str) -> metrics.Metrics:
    """Creates the metrics of a process.

    Args:
        address: `IP:port` of a statsd server; empty to keep the metrics in
            memory only.
    """
    if not address:
        return metrics.Metrics()
    host, _, port = address.rpartition(":")
    sender = statsd.StatsClient(host, int(port), prefix=metrics.PREFIX)
    return metrics.Metrics(sender)
