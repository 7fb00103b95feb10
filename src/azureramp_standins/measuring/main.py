"""Command-line program of `scripts/measure`."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import pathlib

import click

from azureramp_standins.measuring import report, running, scenarios


@click.command()
@click.option(
    "--layout",
    type=click.Choice(list(scenarios.LAYOUTS)),
    multiple=True,
    help="Deployments to measure; all by default.",
)
@click.option(
    "--variant",
    "variants",
    multiple=True,
    type=click.Choice([v.value for v in scenarios.Variant]),
    help="Variants to measure; all by default.",
)
@click.option(
    "--load",
    "loads",
    type=float,
    multiple=True,
    help="Loads to measure, such as 0.8; all by default.",
)
@click.option(
    "--seconds",
    type=float,
    default=10.0,
    show_default=True,
    help="Duration of each load, in virtual seconds.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--jobs",
    type=int,
    default=4,
    show_default=True,
    help="Number of rows that run in parallel.",
)
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="Directory for the JSON file, the table and the chart.",
)
def main(
    layout: tuple[str, ...],
    variants: tuple[str, ...],
    loads: tuple[float, ...],
    seconds: float,
    seed: int,
    jobs: int,
    output: pathlib.Path | None,
) -> None:
    """Measures the query path over in-memory ports, in virtual time."""
    chosen = [
        scenario
        for name in layout or scenarios.LAYOUTS
        for scenario in scenarios.make_all(seconds, seed, name)
        if not variants or scenario.variant.value in variants
        if not loads or scenario.load in loads
    ]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        rows = list(pool.map(running.run, chosen))
    click.echo(report.format_table(rows))
    if output is not None:
        report.write(rows, output, "query-path")


if __name__ == "__main__":
    main()
