"""Logs which searchers this VM takes for slow, since when and from whom."""

from __future__ import annotations

import asyncio

import logbook

from azureramp.controllers.forwarding import board as board_module

INTERVAL_S = 5.0
"""Time between two lines, in seconds."""

SLOW_FROM = 2.0
"""Figure from which on a searcher is listed, as a multiple of the usual
time."""

MAX_AGE_S = 10.0
"""Maximum age of a listed figure, in seconds."""

MAX_LISTED = 40
"""Maximum number of searchers in a line; the slowest are listed."""

MESSAGE = "slow searchers"

_logger = logbook.Logger("azureramp.searchers")


async def run(board: board_module.Board) -> None:
    """Logs a line periodically until cancelled, if any searcher is slow."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(INTERVAL_S)
        known, rows = list_slow(board, loop.time())
        if rows:
            _logger.info(
                MESSAGE,
                extra={
                    "known": known,
                    "slow": rows[:MAX_LISTED],
                    "left_out": max(0, len(rows) - MAX_LISTED),
                },
            )


def list_slow(board: board_module.Board, now_s: float) -> tuple[int, list[str]]:
    """Lists the searchers that reported to be slow, the slowest first.

    Args:
        board: The process's state.
        now_s: The current time, in seconds.

    Returns:
        The number of searchers of which any figure is known, and a text for
        each slow one: `searcher service figure age source`, the age in
        milliseconds; the source is `own` or the name of the VM that told it.
    """
    known = 0
    slow: list[tuple[float, str]] = []
    for target in board.targets.values():
        server = target.stats.server
        if not server.is_known():
            continue
        known += 1
        figure, reported_s = server.get_latest()
        age_s = now_s - reported_s
        if figure < SLOW_FROM or age_s > MAX_AGE_S:
            continue
        told = server.told
        if told is None or reported_s == server.reported_s:
            source = "own"
        else:
            source = told.vm
        searcher = target.searcher
        text = (
            f"{searcher.id} {searcher.service} {figure:.2f}"
            f" {age_s * 1000:.0f} {source}"
        )
        slow.append((figure, text))
    slow.sort(key=lambda each: -each[0])
    return known, [text for _, text in slow]
