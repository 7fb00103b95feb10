"""The table, the JSON and the picture of a measurement."""

from __future__ import annotations

import pathlib

import msgspec

from azureramp_standins.measuring import running

COLUMNS = (
    ("layout", "layout"),
    ("load", "load"),
    ("stragglers", "strag."),
    ("incident", "incident"),
    ("variant", "variant"),
    ("requests", "requests"),
    ("p50_ms", "p50 ms"),
    ("p99_ms", "p99 ms"),
    ("p999_ms", "p99.9 ms"),
    ("p99_urgent_ms", "p99 urgent"),
    ("complete_urgent", "complete urgent"),
    ("coverage_mean", "cov. mean"),
    ("coverage_min", "cov. min"),
    ("calls_per_needed", "calls/needed"),
    ("cold_most", "cold most"),
    ("cold_exceeded", "cold over"),
    ("refused", "refused desk/ledger/statements"),
    ("last_work_s", "last work s"),
    ("cut", "cut"),
    ("violations", "violations"),
    ("cpu_ms_per_call", "CPU ms/call"),
)


def format_table(rows: list[running.Row]) -> str:
    """Makes a Markdown table."""
    lines = [
        "| " + " | ".join(title for _, title in COLUMNS) + " |",
        "|" + "---|" * len(COLUMNS),
    ]
    for row in rows:
        cells = [_format(getattr(row, field)) for field, _ in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _format(value: object) -> str:
    """Makes one cell."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case dict():
            return "/".join(f"{each}" for each in value.values()) or "0"
        case _:
            return str(value)


def write(rows: list[running.Row], folder: pathlib.Path, name: str) -> None:
    """Writes the JSON, the table and the picture."""
    folder.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    (folder / f"{name}.json").write_bytes(data + b"\n")
    (folder / f"{name}.md").write_text(format_table(rows))
    draw(rows, folder / f"{name}.png")


def draw(rows: list[running.Row], path: pathlib.Path) -> None:
    """Draws tail latency and extra calls by load, for each variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4.5))
    chosen = [r for r in rows if r.stragglers and r.incident == "none"]
    for variant in dict.fromkeys(row.variant for row in chosen):
        own = sorted(
            (r for r in chosen if r.variant == variant), key=lambda r: r.load
        )
        loads = [100 * row.load for row in own]
        left.plot(loads, [r.p99_ms for r in own], marker="o", label=variant)
        right.plot(
            loads, [r.calls_per_needed for r in own], marker="o", label=variant
        )
    left.set(
        xlabel="load (%)",
        ylabel="p99 of answers (ms)",
        yscale="log",
        title="Tail latency with 1 % stragglers",
    )
    right.set(
        xlabel="load (%)",
        ylabel="calls for each needed call",
        title="Extra load on searchers",
    )
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
