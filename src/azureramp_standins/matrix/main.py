"""The command behind `scripts/matrix`."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import pathlib
import random
import sys

import click
import msgspec

from azureramp_standins.matrix import cells, faults, steps

SIGNS = {
    cells.Verdict.HELD: "held",
    cells.Verdict.BROKEN: "BROKEN",
    cells.Verdict.NOT_RUN: "not run",
    cells.Verdict.CANNOT_OCCUR: "-",
}


def choose_pairs(count: int, seed: int) -> list[tuple[tuple[str, str], str]]:
    """Chooses pairs of faults, and a step for each.

    Args:
        count: How many.
        seed: Of the choice.
    """
    rng = random.Random(seed)
    reachable = [step for step in steps.STEPS if step != "query.pin"]
    chosen = []
    for _ in range(count):
        first, second = rng.sample(list(faults.FAULTS), 2)
        chosen.append(((first, second), rng.choice(reachable)))
    return chosen


def run_cell(cell: tuple[tuple[str, ...], str, int]) -> cells.Result:
    """Runs one cell; what it raises counts as broken."""
    names, step, seed = cell
    try:
        return cells.run(names, step, seed)
    except Exception as error:
        words = (f"{type(error).__name__}: {error}",)
        return cells.Result("+".join(names), step, cells.Verdict.BROKEN, words)


def format_grid(results: list[cells.Result]) -> str:
    """Makes a Markdown table, a row a fault and a column a step."""
    rows = list(dict.fromkeys(result.fault for result in results))
    columns = [
        step for step in steps.STEPS if any(r.step == step for r in results)
    ]
    found = {(r.fault, r.step): SIGNS[r.verdict] for r in results}
    lines = [
        "| fault | " + " | ".join(columns) + " |",
        "|---|" + "---|" * len(columns),
    ]
    for row in rows:
        signs = [found.get((row, column), "") for column in columns]
        lines.append(f"| {row} | " + " | ".join(signs) + " |")
    return "\n".join(lines)


@click.command()
@click.option(
    "--fault",
    "chosen_faults",
    multiple=True,
    type=click.Choice(list(faults.FAULTS)),
    help="Faults; all by default.",
)
@click.option(
    "--step",
    "chosen_steps",
    multiple=True,
    type=click.Choice(list(steps.STEPS)),
    help="Steps; all by default.",
)
@click.option(
    "--pairs",
    type=int,
    default=0,
    show_default=True,
    help="Run so many seeded pairs of faults instead.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--jobs",
    type=int,
    default=6,
    show_default=True,
    help="Cells that run side by side.",
)
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="File for the results, as JSON.",
)
def main(
    chosen_faults: tuple[str, ...],
    chosen_steps: tuple[str, ...],
    pairs: int,
    seed: int,
    jobs: int,
    output: pathlib.Path | None,
) -> None:
    """Runs every fault at every step and prints the grid.

    Exit codes: 0 if all held, 1 if any is broken.
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
        for words in result.words:
            click.echo(f"  {words}")
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
