"""Reads and writes of resources that several commands share."""

from __future__ import annotations

import asyncio
import secrets

import expression
import msgspec

from azureramp import errors, resources, responses
from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, output
from azureramp.controllers import resource_answers

POLL_INTERVAL_S = 0.1
"""Time between two status requests, in seconds."""

_EntryResult = expression.Result[resources.Versioned, responses.ErrorAnswer]


async def put(
    client: client_module.Client,
    resource: resources.AnyResource,
    expected: int,
) -> _EntryResult:
    """Writes a resource if its current revision is the expected one."""
    kind = resources.get_kind(resource)
    result = await client.call(
        resource_answers.ChangeAnswer,
        "PUT",
        f"/v1/resources/{kind}/{resource.name}",
        {"expected": expected, "change_id": secrets.token_hex(16)},
        msgspec.json.encode(resource),
    )
    return result.map(lambda answer: answer.entry)


async def delete(
    client: client_module.Client, kind: str, name: str, expected: int
) -> _EntryResult:
    """Deletes a resource if its current revision is the expected one."""
    result = await client.call(
        resource_answers.ChangeAnswer,
        "DELETE",
        f"/v1/resources/{kind}/{name}",
        {"expected": expected},
    )
    return result.map(lambda answer: answer.entry)


async def get(
    client: client_module.Client, kind: str, name: str
) -> expression.Result[resources.Versioned | None, responses.ErrorAnswer]:
    """Reads a resource; returns None if it does not exist."""
    result = await client.call(
        resources.Versioned, "GET", f"/v1/resources/{kind}/{name}"
    )
    if result.is_error():
        if result.error.code == errors.Kind.NOT_FOUND.value:
            return expression.Ok(None)
        return expression.Error(result.error)
    return expression.Ok(result.ok)


async def wait_in_force(
    client: client_module.Client, revision: int, wait_s: float
) -> exit_codes.ExitCode:
    """Polls until a revision is in force, printing each change of state.

    Any VM may answer. One that has not received the revision yet reports
    the state `unknown`, and polling continues.

    Args:
        client: The client to call the VMs with.
        revision: The revision to wait for.
        wait_s: Maximum time to wait, in seconds.

    Returns:
        `OK`, or `NOT_IN_FORCE` after `wait_s`.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    shown: tuple[str, ...] = ()
    while True:
        result = await client.call(
            resource_answers.StatusAnswer,
            "GET",
            "/v1/status",
            {"revision": revision},
        )
        if result.is_ok():
            status = result.ok
            code = status.state.value
            words = _format_status(status)
            if (code, *words) != shown:
                output.print_state(code, client.common, *words)
                shown = (code, *words)
            if status.state is resource_answers.ChangeState.IN_FORCE:
                return exit_codes.ExitCode.OK
        if loop.time() >= deadline_s:
            output.print_state(
                "not_in_force",
                client.common,
                f"revision={revision}",
                f"wait_s={wait_s:g}",
                err=True,
            )
            return exit_codes.ExitCode.NOT_IN_FORCE
        await asyncio.sleep(POLL_INTERVAL_S)


def _format_status(status: resource_answers.StatusAnswer) -> tuple[str, ...]:
    """Returns the `key=value` words printed after the state."""
    words = [
        f"revision={status.asked_revision}",
        f"in_force_on={status.in_force}/{status.listed}",
    ]
    if status.without:
        words.append(f"without={','.join(status.without)}")
    return tuple(words)
