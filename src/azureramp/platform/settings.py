"""The settings file that the platform writes for a process."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

import expression
import msgspec

from azureramp.controllers.forwarding import board
from azureramp.policy import allowances, exposure


class ListenBody(msgspec.Struct, rename="pascal"):
    """The addresses to listen on, `IP:port`.

    Attributes:
        front: For callers.
        ready: For the platform's readiness checks.
        control: For other VMs.
        directory: For callers that ask where to connect.
    """

    front: str = ""
    ready: str = ""
    directory: str = msgspec.field(default="", name="directory")
    control: str = ""


class BoundsBody(msgspec.Struct, rename="pascal"):
    """The operators' bounds, those that the tier keeps by itself.

    Attributes:
        cold_overage: Factor on a cold searcher's requests a second.
        cold_slack: Requests a second added to that.
        retry_budget_ratio: Extra calls for each request.
        budget_window_s: The span in which extra calls are counted.
        retry_budget_slack: Extra calls allowed whatever the requests.
        grace_s: Time from SIGTERM to SIGKILL.
        ttl_max_s: Longest that callers keep an address answer.
        exposure_share: Most requests to a new version of a service that isn't
            proved, as a share of all.
        exposure_slack: Requests added to that.
        rollback_ms: Time from the 50th bad answer to the last request.
    """

    retry_budget_ratio: float = 0.1
    budget_window_s: float = msgspec.field(default=10.0, name="BudgetWindowS")
    retry_budget_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    grace_s: float = msgspec.field(default=6.0, name="GraceS")
    ttl_max_s: float = msgspec.field(default=5.0, name="ttl_max_s")
    exposure_share: float = 0.05
    exposure_slack: float = 0.0
    rollback_ms: float = 5_000.0


class ProcessLimitsBody(msgspec.Struct, rename="pascal"):
    """What the VM gives the process.

    Attributes:
        cpu_share: Share of a core.
        cores: How many times as fast that core is, not how many there are.
        max_fds: Most descriptors.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 1024


class StoreBody(msgspec.Struct, rename="pascal"):
    """Where the platform's store is.

    Attributes:
        address: Its `IP:port`.
    """

    address: str


class SettingsBody(msgspec.Struct, rename="pascal"):
    """The file; fields that are not known are passed over.

    Attributes:
        node: This VM's name.
        zone: Its availability zone.
        platform: The store.
        seeds: Where some VMs listen to others, `IP:port`; they may be down.
        serves: What the process serves; other words are passed over.
        bootstrap: True if the whole tier starts for the first time.
    """

    node: str
    zone: str
    listen_addrs: ListenBody
    platform: StoreBody = msgspec.field(name="platform")
    bounds: BoundsBody = msgspec.field(default_factory=BoundsBody)
    limits: ProcessLimitsBody = msgspec.field(default_factory=ProcessLimitsBody)
    seeds: list[str] = []
    serves: tuple[str, ...] = ("frontend", "directory")
    bootstrap: bool = False


CALLERS_ROLE = "frontend"
DIRECTORY_ROLE = "directory"

DIRECTORY_SUFFIX = "/directory"
"""What follows the VM's name in that of its process that only tells callers
where to connect, so that it isn't taken for the one that serves them."""


@dataclasses.dataclass(slots=True, frozen=True)
class OwnSettings:
    """Settings of the project's own, from the environment.

    Attributes:
        metrics_port: Where the metrics are served; 0 for nowhere.
        statsd_address: `IP:port` of a statsd server; empty for none.
    """

    metrics_port: int = 0
    statsd_address: str = ""


PATH_VARIABLE = "AZURERAMP_CONFIG"
DEFAULT_PATH = "/etc/azureramp/settings.toml"

METRICS_PORT = "AZURERAMP_METRICS_PORT"
STATSD_ADDRESS = "AZURERAMP_STATSD_ADDRESS"


class Settings(msgspec.Struct, frozen=True):
    """What the file says, in the project's types.

    Attributes:
        identity: Who this process is.
        bounds: What the operators bound.
        front_address: Where callers connect; empty for nowhere.
        ready_address: Where the platform asks for readiness; empty for
            nowhere.
        directory_address: Where callers ask for addresses; empty for nowhere.
        store_address: The platform's store.
        seeds: Where some VMs listen to others.
        descriptors: Most descriptors of the process.
        own: The project's own settings.
    """

    identity: board.Identity
    bounds: board.Bounds
    front_address: str
    ready_address: str
    directory_address: str
    store_address: str
    seeds: tuple[str, ...]
    descriptors: int
    own: OwnSettings = OwnSettings()


def read(
    path: pathlib.Path, environment: Mapping[str, str]
) -> expression.Result[Settings, str]:
    """Reads and checks a settings file and the project's own variables.

    Args:
        path: The file.
        environment: The process's environment.

    Returns:
        The settings, or one line that names the wrong field and value.
    """
    try:
        text = path.read_text("utf-8")
        fields: dict[str, Any] = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return expression.Error(f"{path}: {error}")
    try:
        body = msgspec.convert(fields, SettingsBody)
    except msgspec.ValidationError as error:
        return expression.Error(f"{path}: {error}")
    problem = find_problem(body)
    if problem:
        return expression.Error(f"{path}: {problem}")
    own = read_own(environment)
    if own.is_error():
        return expression.Error(own.error)
    return expression.Ok(_to_settings(body, own.ok))


def get_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_change_time(path: pathlib.Path) -> int:
    """Returns when a file last changed, in ns; 0 if there is none."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def read_own(
    environment: Mapping[str, str],
) -> expression.Result[OwnSettings, str]:
    """Reads and checks the project's own variables.

    Returns:
        The settings, or one line that names the wrong variable and value.
    """
    port = environment.get(METRICS_PORT, "0")
    if not port.isascii() or not port.isdigit() or int(port) > 65535:
        return expression.Error(
            f"{METRICS_PORT}: {port!r}; allowed: 0 to 65535"
        )
    address = environment.get(STATSD_ADDRESS, "")
    if address and not is_address(address):
        return expression.Error(
            f"{STATSD_ADDRESS}: {address!r}; allowed: IP:port"
        )
    return expression.Ok(OwnSettings(int(port), address))


def is_address(value: str) -> bool:
    """Tells whether a word is `IP:port`."""
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def find_problem(body: SettingsBody) -> str:
    """Returns what is wrong with settings, naming the field; empty if fine."""
    listen = body.listen_addrs
    addresses = {"platform.Address": body.platform.address}
    if CALLERS_ROLE in body.serves:
        addresses["ListenAddrs.Front"] = listen.front
        addresses["ListenAddrs.Ready"] = listen.ready
    if DIRECTORY_ROLE in body.serves:
        addresses["ListenAddrs.directory"] = listen.directory
    if len(addresses) == 1:
        return f"Serves: {body.serves}; allowed: frontend, directory or both"
    for field, value in addresses.items():
        if not is_address(value):
            return f"{field}: {value!r}; allowed: IP:port"
    if not body.node or not body.zone:
        return "Node and Zone: empty; allowed: a name"
    bounds = body.bounds
    numbers = {
        "Bounds.RetryBudgetRatio": bounds.retry_budget_ratio,
        "Bounds.RetryBudgetSlack": bounds.retry_budget_slack,
        "Bounds.ColdOverage": bounds.cold_overage,
        "Bounds.ColdSlack": bounds.cold_slack,
        "Bounds.ExposureShare": bounds.exposure_share,
        "Bounds.ExposureSlack": bounds.exposure_slack,
    }
    for field, number in numbers.items():
        if number < 0:
            return f"{field}: {number}; allowed: 0 or more"
    spans = {
        "Bounds.BudgetWindowS": bounds.budget_window_s,
        "Bounds.GraceS": bounds.grace_s,
        "Bounds.ttl_max_s": bounds.ttl_max_s,
        "Bounds.RollbackMs": bounds.rollback_ms,
    }
    for field, number in spans.items():
        if number <= 0:
            return f"{field}: {number}; allowed: more than 0 seconds"
    return ""


def _to_settings(body: SettingsBody, own: OwnSettings) -> Settings:
    """Makes the settings of a checked file."""
    listen, bounds = body.listen_addrs, body.bounds
    serves_callers = CALLERS_ROLE in body.serves
    serves_directory = DIRECTORY_ROLE in body.serves
    name = body.node if serves_callers else body.node + DIRECTORY_SUFFIX
    extra = allowances.Terms(
        ratio=bounds.retry_budget_ratio,
        window_s=bounds.budget_window_s,
        fixed=bounds.retry_budget_slack,
    )
    return Settings(
        identity=board.Identity(
            vm=name,
            zone=body.zone,
            front_address=listen.front if serves_callers else "",
            peer_address=listen.control if serves_callers else "",
            cores=body.limits.cpu_share * body.limits.cores,
            first_start=body.bootstrap,
            serves_callers=serves_callers,
        ),
        bounds=board.Bounds(
            extra=extra,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            grace_s=bounds.grace_s,
            address_lifetime_s=bounds.ttl_max_s,
            exposure=exposure.Terms(
                share=bounds.exposure_share,
                fixed=bounds.exposure_slack,
                stop_s=bounds.rollback_ms / 1000,
            ),
        ),
        front_address=listen.front if serves_callers else "",
        ready_address=listen.ready if serves_callers else "",
        directory_address=listen.directory if serves_directory else "",
        store_address=body.platform.address,
        seeds=tuple(body.seeds),
        descriptors=body.limits.max_fds,
        own=own,
    )
