"""Command-line program of `scripts/matrix`."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import pathlib
import random
import sys

import click
import msgspec

from azureramp_standins.matrix import cells, faults, steps

VERDICT_LABELS = {
    cells.Verdict.HELD: "held",
    cells.Verdict.BROKEN: "BROKEN",
    cells.Verdict.NOT_RUN: "not run",
    cells.Verdict.CANNOT_OCCUR: "-",
}


def choose_pairs(count: int, seed: int) -> list[tuple[tuple[str, str], str]]:
    """Chooses pairs of faults and a step for each pair at random.

    Args:
        count: Number of pairs.
        seed: Seed of the random choice.

    Returns:
        The pairs of fault names, each with the name of its step.
    """
    rng = random.Random(seed)
    reachable = [step for step in steps.STEPS if step != "query.pin"]
    chosen = []
    for _ in range(count):
        first, second = rng.sample(list(faults.FAULTS), 2)
        chosen.append(((first, second), rng.choice(reachable)))
    return chosen


def run_cell(cell: tuple[tuple[str, ...], str, int]) -> cells.Result:
    """Runs one cell; an exception makes its verdict broken."""
    names, step, seed = cell
    try:
        return cells.run_cell(names, step, seed)
    except Exception as error:
        messages = (f"{type(error).__name__}: {error}",)
        return cells.Result(
            "+".join(names), step, cells.Verdict.BROKEN, messages
        )


def format_grid(results: list[cells.Result]) -> str:
    """Makes a Markdown table with a row per fault and a column per step."""
    rows = list(dict.fromkeys(result.fault for result in results))
    columns = [
        step for step in steps.STEPS if any(r.step == step for r in results)
    ]
    label_by_cell = {
        (r.fault, r.step): VERDICT_LABELS[r.verdict] for r in results
    }
    lines = [
        "| fault | " + " | ".join(columns) + " |",
        "|---|" + "---|" * len(columns),
    ]
    for row in rows:
        labels = [label_by_cell.get((row, column), "") for column in columns]
        lines.append(f"| {row} | " + " | ".join(labels) + " |")
    return "\n".join(lines)


@click.command()
@click.option(
    "--fault",
    "chosen_faults",
    multiple=True,
    type=click.Choice(list(faults.FAULTS)),
    help="Faults to inject; all by default.",
)
@click.option(
    "--step",
    "chosen_steps",
    multiple=True,
    type=click.Choice(list(steps.STEPS)),
    help="Steps at which to inject them; all by default.",
)
@click.option(
    "--pairs",
    type=int,
    default=0,
    show_default=True,
    help="Run this number of random pairs of faults instead.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--jobs",
    type=int,
    default=6,
    show_default=True,
    help="Number of cells that run in parallel.",
)
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="File for the results as JSON.",
)
def main(
    chosen_faults: tuple[str, ...],
    chosen_steps: tuple[str, ...],
    pairs: int,
    seed: int,
    jobs: int,
    output: pathlib.Path | None,
) -> None:
    """Runs the faults at the steps and prints the grid of verdicts.

    The exit code is 1 if a cell is broken, otherwise 0.
    """
    chosen: list[tuple[tuple[str, ...], str, int]] = (
        [(names, step, seed) for names, step in choose_pairs(pairs, seed)]
        if pairs
        else [
            ((fault,), step, seed)
            for fault in chosen_faults or faults.FAULTS
            for step in chosen_steps or steps.STEPS
        ]
    )
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        results = list(pool.map(run_cell, chosen))
    click.echo(format_grid(results))
    broken = [r for r in results if r.verdict is cells.Verdict.BROKEN]
    for result in broken:
        click.echo(f"\n{result.fault} at {result.step}:")
        for line in result.words:
            click.echo(f"  {line}")
    counts = {
        verdict.value: sum(r.verdict is verdict for r in results)
        for verdict in cells.Verdict
    }
    click.echo(f"\n{counts}")
    if output is not None:
        output.write_bytes(msgspec.json.encode(results))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
