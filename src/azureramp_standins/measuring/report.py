"""Writes a measurement as a table, as JSON and as a chart."""

from __future__ import annotations

import pathlib
from typing import Any

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
    """Makes a Markdown table of the rows."""
    lines = [
        "| " + " | ".join(title for _, title in COLUMNS) + " |",
        "|" + "---|" * len(COLUMNS),
    ]
    for row in rows:
        cells = [_format(getattr(row, field)) for field, _ in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _format(value: object) -> str:
    """Formats a cell."""
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
    """Writes the JSON file, the table and the chart into a directory.

    Args:
        rows: The rows.
        folder: The directory, which is created if missing.
        name: Name of the files, without suffix.
    """
    folder.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    (folder / f"{name}.json").write_bytes(data + b"\n")
    (folder / f"{name}.md").write_text(format_table(rows))
    draw_chart(rows, folder / f"{name}.png")


def draw_chart(rows: list[running.Row], path: pathlib.Path) -> None:
    """Draws tail latency and calls per needed call against the load.

    There is a line per variant and a row of charts per layout.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    chosen = [r for r in rows if r.stragglers and r.incident == "none"]
    layouts = list(dict.fromkeys(row.layout for row in chosen))
    figure, axes = pyplot.subplots(
        len(layouts), 2, figsize=(11, 4 * len(layouts)), squeeze=False
    )
    for (left, right), layout in zip(axes, layouts, strict=True):
        layout_rows = [row for row in chosen if row.layout == layout]
        _draw_lines(left, layout_rows, "p99_urgent_ms")
        _draw_lines(right, layout_rows, "calls_per_needed")
        left.set(
            ylabel="p99 of urgent answers (ms)",
            yscale="log",
            title=f"{layout}: tail with 1 % stragglers",
        )
        right.set(
            ylabel="calls per needed call",
            title=f"{layout}: extra load on searchers",
        )
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _draw_lines(axes: Any, rows: list[running.Row], field: str) -> None:
    """Draws a field against the load, with a line per variant."""
    for variant in dict.fromkeys(row.variant for row in rows):
        points = sorted(
            (100 * row.load, getattr(row, field))
            for row in rows
            if row.variant == variant
        )
        axes.plot(*zip(*points, strict=True), marker="o", label=variant)
    axes.set(xlabel="load (%)")
    axes.grid(alpha=0.3)
    axes.legend()
