"""Which VMs callers are told to connect to."""

from __future__ import annotations

from collections.abc import Iterable

from azureramp import catalog

MOST_TOLD = 64
"""Most addresses in an answer; callers read no more."""


def choose(
    members: Iterable[catalog.Member], most: int = MOST_TOLD
) -> tuple[catalog.Member, ...]:
    """Chooses the VMs to tell of, in the order of their names.

    Args:
        members: The VMs that are known.
        most: How many to tell at most.
    """
    staying = [member for member in members if not member.leaving]
    staying.sort(key=lambda member: member.vm)
    return tuple(staying[:most])
