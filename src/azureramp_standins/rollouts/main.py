"""The command of `scripts/rollouts`."""

from __future__ import annotations

import concurrent.futures
import os
from collections.abc import Iterator

import click

from azureramp_standins.rollouts import play, versions

HEADER = "vms seed kind fault: state, ended s, share, calls, stopped s, served"


@click.command()
@click.option("--vms", type=click.IntRange(min=1), default=3, show_default=True)
@click.option("--seed", type=int, default=0, show_default=True)
@click.option(
    "--versions",
    "count",
    type=click.IntRange(min=1),
    default=12,
    show_default=True,
    help="Number of roll-outs, with consecutive seeds.",
)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.value for kind in versions.Kind]),
    help="Kinds of versions to roll out, in turn; all if omitted.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice([*(fault.value for fault in play.Fault), "any"]),
    default=("none",),
    show_default=True,
    help="Faults to inject during the roll-outs, in turn.",
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
    """Simulates roll-outs on test doubles in virtual time.

    Each seed is one roll-out of a good or bad version. The exit code is 1 if a
    rule was broken.
    """
    chosen = [versions.Kind(each) for each in kinds] or list(versions.Kind)
    chosen_faults = list_faults(faults)
    plans = [
        play.Parameters(
            vms,
            number,
            chosen[number % len(chosen)],
            chosen_faults[(number // len(chosen)) % len(chosen_faults)],
            per_second,
        )
        for number in range(seed, seed + count)
    ]
    click.echo(HEADER)
    outcomes: list[tuple[play.Parameters, play.Outcome]] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = pool.map(play.simulate, plans)
        for plan, outcome in zip(plans, results, strict=True):
            outcomes.append((plan, outcome))
            click.echo(describe(plan, outcome))
    for line in summarize(outcomes):
        click.echo(line)
    count_delays_s = sorted(
        each for _, outcome in outcomes for each in outcome.count_delays_s
    )
    if count_delays_s:
        click.echo(describe_delays(count_delays_s))
    broken = sum(len(outcome.violations) for _, outcome in outcomes)
    click.echo(f"rules broken: {broken}")
    raise SystemExit(1 if broken else 0)


def list_faults(names: tuple[str, ...]) -> list[play.Fault]:
    """Returns the faults with these names; `any` means all but `none`."""
    if "any" in names:
        return [each for each in play.Fault if each is not play.Fault.NONE]
    return [play.Fault(name) for name in names]


def describe(plan: play.Parameters, outcome: play.Outcome) -> str:
    """Formats a roll-out as a line of the output."""
    stopped = "-"
    if outcome.stop_delay_s is not None:
        stopped = f"{outcome.stop_delay_s:.2f}"
    broken = (
        f"; BROKEN: {', '.join(outcome.violations)}"
        if outcome.violations
        else ""
    )
    return (
        f"{plan.vms} {plan.seed} {plan.kind.value} {plan.fault.value}:"
        f" {outcome.state}, {outcome.ended_s:.1f}, {outcome.share:.3f},"
        f" {outcome.calls_to_new}, {stopped},"
        f" {outcome.success_share:.3f}{broken}"
    )


def describe_delays(delays_s: list[float]) -> str:
    """Formats percentiles of the driver's delays in counting bad answers.

    Args:
        delays_s: The delays in seconds, sorted; printed in milliseconds.
    """
    found = [
        f"{name} {delays_s[round(share * (len(delays_s) - 1))] * 1000:.0f}"
        for name, share in (("p50", 0.5), ("p95", 0.95), ("longest", 1.0))
    ]
    return f"bad answers counted by the driver after, ms: {', '.join(found)}"


def summarize(
    outcomes: list[tuple[play.Parameters, play.Outcome]],
) -> Iterator[str]:
    """Yields a line for each kind: how many roll-outs ended as expected."""
    for kind in versions.Kind:
        of_kind = [each for plan, each in outcomes if plan.kind is kind]
        if not of_kind:
            continue
        wanted = "completed" if kind is versions.Kind.GOOD else "rolled_back"
        in_time = sum(
            each.state == wanted and each.ended_s <= play.DURATION_S
            for each in of_kind
        )
        served = sum(each.success_share for each in of_kind) / len(of_kind)
        share = max(each.share for each in of_kind)
        yield (
            f"{kind.value}: {wanted} in time {in_time} of {len(of_kind)},"
            f" served {served:.4f}, largest share {share:.3f}"
        )


if __name__ == "__main__":
    main()
