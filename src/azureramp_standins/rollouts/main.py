"""The command of `scripts/rollouts`."""

from __future__ import annotations

import concurrent.futures
import os
from collections.abc import Iterator

import click

from azureramp_standins.rollouts import play, versions

HEAD = "vms seed kind fault: state, ended s, share, calls, stopped s, served"


@click.command()
@click.option("--vms", type=click.IntRange(min=1), default=3, show_default=True)
@click.option("--seed", type=int, default=0, show_default=True)
@click.option(
    "--versions",
    "count",
    type=click.IntRange(min=1),
    default=12,
    show_default=True,
    help="How many roll-outs; each has the next seed.",
)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.value for kind in versions.Kind]),
    help="Only versions of these kinds; all in turn if left out.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice([*(fault.value for fault in play.Fault), "any"]),
    default=("none",),
    show_default=True,
    help="What goes wrong beside them; one of them after the other.",
)
@click.option("--per-second", default=20.0, show_default=True)
@click.option(
    "--jobs",
    type=click.IntRange(min=1),
    default=max(1, (os.cpu_count() or 2) // 2),
    show_default=True,
)
def main(
    vms: int,
    seed: int,
    count: int,
    kinds: tuple[str, ...],
    faults: tuple[str, ...],
    per_second: float,
    jobs: int,
) -> None:
    """Plays roll-outs on the stand-ins in virtual time.

    Each seed is one roll-out of a good or bad version. The exit code is 1 if a
    rule was broken.
    """
    chosen = [versions.Kind(each) for each in kinds] or list(versions.Kind)
    harms = list_faults(faults)
    plans = [
        play.Plan(
            vms,
            number,
            chosen[number % len(chosen)],
            harms[(number // len(chosen)) % len(harms)],
            per_second,
        )
        for number in range(seed, seed + count)
    ]
    click.echo(HEAD)
    outcomes: list[tuple[play.Plan, play.Outcome]] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = pool.map(play.play, plans)
        for plan, outcome in zip(plans, results, strict=True):
            outcomes.append((plan, outcome))
            click.echo(describe(plan, outcome))
    for line in summarize(outcomes):
        click.echo(line)
    heard_s = sorted(
        each for _, outcome in outcomes for each in outcome.heard_s
    )
    if heard_s:
        click.echo(describe_delays(heard_s))
    broken = sum(len(outcome.broken) for _, outcome in outcomes)
    click.echo(f"rules broken: {broken}")
    raise SystemExit(1 if broken else 0)


def list_faults(names: tuple[str, ...]) -> list[play.Fault]:
    """Lists the faults by their names; `any` stands for all."""
    if "any" in names:
        return [each for each in play.Fault if each is not play.Fault.NONE]
    return [play.Fault(name) for name in names]


def describe(plan: play.Plan, outcome: play.Outcome) -> str:
    """Describes a roll-out in a line."""
    stopped = "-"
    if outcome.stopped_s is not None:
        stopped = f"{outcome.stopped_s:.2f}"
    broken = f"; BROKEN: {', '.join(outcome.broken)}" if outcome.broken else ""
    return (
        f"{plan.vms} {plan.seed} {plan.kind.value} {plan.fault.value}:"
        f" {outcome.state}, {outcome.ended_s:.1f}, {outcome.share:.3f},"
        f" {outcome.to_new}, {stopped}, {outcome.served:.3f}{broken}"
    )


def describe_delays(delays_s: list[float]) -> str:
    """Describes how late the driver counted bad answers, in ms."""
    found = [
        f"{name} {delays_s[round(share * (len(delays_s) - 1))] * 1000:.0f}"
        for name, share in (("p50", 0.5), ("p95", 0.95), ("longest", 1.0))
    ]
    return f"bad answers counted by the driver after, ms: {', '.join(found)}"


def summarize(
    outcomes: list[tuple[play.Plan, play.Outcome]],
) -> Iterator[str]:
    """Says for each kind how many roll-outs ended as they should, in time."""
    for kind in versions.Kind:
        mine = [each for plan, each in outcomes if plan.kind is kind]
        if not mine:
            continue
        wanted = "completed" if kind is versions.Kind.GOOD else "rolled_back"
        right = sum(
            each.state == wanted and each.ended_s <= play.DURATION_S
            for each in mine
        )
        served = sum(each.served for each in mine) / len(mine)
        share = max(each.share for each in mine)
        yield (
            f"{kind.value}: {wanted} in time {right} of {len(mine)},"
            f" served {served:.4f}, largest share {share:.3f}"
        )


if __name__ == "__main__":
    main()
