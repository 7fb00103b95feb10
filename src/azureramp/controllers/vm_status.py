"""Creates the status of a VM, and of the others as it sees them."""

from __future__ import annotations

import asyncio
import math

from azureramp import blackboard
from azureramp.controllers import configuration as configuration_module
from azureramp.controllers import resource_answers


def make_status(
    board: blackboard.Blackboard,
    configuration: configuration_module.ConfigurationController,
    requested: int | None,
) -> resource_answers.StatusAnswer:
    """Makes the answer to a status request.

    Args:
        board: The VM's state.
        configuration: The VM's configuration controller.
        requested: The revision whose progress is requested; None for the
            VM's own revision.
    """
    now_s = asyncio.get_running_loop().time()
    own = board.settings
    revision = board.configuration.revision
    requested = revision if requested is None else requested
    members = sorted(
        (
            *(
                _make_member(member, now_s)
                for name, member in board.members.items()
                if name != own.vm
            ),
            _make_own(board),
        ),
        key=lambda member: member.vm,
    )
    without = tuple(
        member.vm for member in members if member.revision < requested
    )
    return resource_answers.StatusAnswer(
        vm=own.vm,
        zone=own.zone,
        serving=board.serving.value,
        incarnation=board.incarnation,
        revision=revision,
        confirmed_age_ms=_to_age_ms(now_s - board.confirmed_s),
        accepted_revision=board.accepted_revision,
        running=board.running_requests,
        asked_revision=requested,
        state=_decide_state(board, configuration, requested, bool(without)),
        in_force=len(members) - len(without),
        listed=len(members),
        without=without,
        members=tuple(members),
    )


def _decide_state(
    board: blackboard.Blackboard,
    configuration: configuration_module.ConfigurationController,
    requested: int,
    is_lacking: bool,
) -> resource_answers.ChangeState:
    """Returns the state of a revision.

    A VM without an accepted revision stops accepting work when the window of
    its last proof of contact or confirmation ends. After that window the
    change is in force on every VM that accepts work.
    """
    now_s = asyncio.get_running_loop().time()
    window_s = board.settings.confirm_ms / 1000
    accepted_s = configuration.get_acceptance_time_s(requested)
    if board.configuration.revision < requested:
        return resource_answers.ChangeState.UNKNOWN
    if math.isinf(accepted_s):
        return resource_answers.ChangeState.STORED
    if is_lacking and now_s <= accepted_s + window_s:
        return resource_answers.ChangeState.ACCEPTED
    return resource_answers.ChangeState.IN_FORCE


def _make_member(
    member: blackboard.Member, now_s: float
) -> resource_answers.MemberStatus:
    return resource_answers.MemberStatus(
        vm=member.vm.name,
        zone=member.vm.zone,
        address=member.vm.http_address,
        state=member.state.value,
        ready=member.ready,
        revision=member.acknowledged_revision,
        heard_age_ms=_to_age_ms(now_s - member.last_contact_s),
    )


def _make_own(board: blackboard.Blackboard) -> resource_answers.MemberStatus:
    return resource_answers.MemberStatus(
        vm=board.settings.vm,
        zone=board.settings.zone,
        address=board.settings.http_address,
        state=blackboard.MemberState.LIVE.value,
        ready=board.serving is blackboard.Serving.READY,
        revision=board.configuration.revision,
        heard_age_ms=0.0,
    )


def _to_age_ms(age_s: float) -> float | None:
    return round(age_s * 1000, 3) if math.isfinite(age_s) else None
