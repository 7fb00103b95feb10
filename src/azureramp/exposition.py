"""Renders the metrics in the Prometheus text exposition format 0.0.4.

Implemented here because the format takes a few lines per metric, while the
usual client library adds 4 MB to each VM and 0.16 s to each start.
"""

from __future__ import annotations

from azureramp import account_metrics, metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def render(values: metrics.Metrics) -> bytes:
    """Renders all metrics that have a value, ordered by name."""
    lines: list[str] = []
    for name, metric in sorted(metrics.TABLE.items()):
        exposed_name = f"{metrics.PREFIX}_{name.replace('.', '_')}"
        body = _render_one(exposed_name, metric, values)
        if body:
            kind = _KINDS[metric.type]
            lines.append(f"# HELP {exposed_name} {metric.help}")
            lines.append(f"# TYPE {exposed_name} {kind}")
            lines += body
    return ("\n".join(lines) + "\n").encode("utf-8")


_KINDS = {
    metrics.Type.COUNTER: "counter",
    metrics.Type.GAUGE: "gauge",
    metrics.Type.TIMER: "histogram",
    metrics.Type.ACCOUNT_COUNTER: "counter",
}


def _render_one(
    exposed_name: str, metric: metrics.Metric, values: metrics.Metrics
) -> list[str]:
    """Returns the lines of one metric's values; empty if it has none."""
    match metric.type:
        case metrics.Type.COUNTER:
            if metric.name not in values.counts:
                return []
            return [f"{exposed_name} {values.counts[metric.name]}"]
        case metrics.Type.GAUGE:
            if metric.name not in values.gauges:
                return []
            return [f"{exposed_name} {values.gauges[metric.name]:g}"]
        case metrics.Type.TIMER:
            histogram = values.histograms.get(metric.name)
            return (
                []
                if histogram is None
                else _render_buckets(exposed_name, histogram)
            )
        case metrics.Type.ACCOUNT_COUNTER:
            if metric.name == "account.outcomes":
                return _render_accounts(
                    exposed_name, "reason", values.account_outcomes
                )
            return _render_accounts(exposed_name, "decision", values.accounts)


def _render_accounts(
    exposed_name: str, label: str, values: account_metrics.AccountCounts
) -> list[str]:
    """Returns the lines of counts by account and a second label."""
    return [
        f"{exposed_name}{{account={_quote(account)},{label}={_quote(kind)}}}"
        f" {count}"
        for (account, kind), count in sorted(values.counts.items())
    ]


def _quote(value: str) -> str:
    """Returns the value of a label in quotes."""
    for character, escaped in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n")):
        value = value.replace(character, escaped)
    return f'"{value}"'


def _render_buckets(
    exposed_name: str, histogram: metrics.Histogram
) -> list[str]:
    """Returns the lines of a histogram; the bucket counts are cumulative."""
    lines: list[str] = []
    total = 0
    for upper_bound, count in zip(
        (*metrics.BUCKETS_MS, "+Inf"), histogram.counts, strict=True
    ):
        total += count
        lines.append(f'{exposed_name}_bucket{{le="{upper_bound}"}} {total}')
    lines.append(f"{exposed_name}_sum {histogram.sum_ms:g}")
    lines.append(f"{exposed_name}_count {total}")
    return lines
