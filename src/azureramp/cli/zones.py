"""State changes of zones, for `drain-zone` and `restore-zone`."""

from __future__ import annotations

from azureramp import errors, resources
from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, options, output, resource_calls

KIND = "availability_zone"


async def change_state(
    common: options.CommonOptions,
    name: str,
    state: resources.ZoneState,
    wait_s: float | None = None,
) -> exit_codes.ExitCode:
    """Writes the state of a zone and optionally waits until it is in force.

    Args:
        common: The options shared by all commands.
        name: The name of the zone. It must exist: if the command created
            a zone for a misspelled name, the intended zone would appear to
            be out of service.
        state: The new state of the zone.
        wait_s: Maximum time to wait until the change is in force, in seconds;
            None returns once the change is stored.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    subject = f"{KIND}/{name}"
    found = await resource_calls.get(client, KIND, name)
    if found.is_error():
        return output.print_error(found.error, common, subject)
    if found.ok is None:
        missing = client_module.make_error_answer(errors.Kind.NOT_FOUND)
        return output.print_error(missing, common, subject)
    revision = found.ok.revision
    zone = resources.Zone(name=name, state=state)
    if found.ok.resource == zone:
        output.print_state("unchanged", common, subject, state.value)
    else:
        written = await resource_calls.put(client, zone, revision)
        if written.is_error():
            return output.print_error(written.error, common, subject)
        revision = written.ok.revision
        output.print_state(
            "stored", common, subject, state.value, f"revision={revision}"
        )
    if wait_s is not None:
        return await resource_calls.wait_in_force(client, revision, wait_s)
    return exit_codes.ExitCode.OK
