"""The settings file that the platform writes for a process."""

from __future__ import annotations

import dataclasses
import math
import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

import expression
import msgspec

from azureramp.controllers.forwarding import board
from azureramp.policy import (
    account_limits,
    allowances,
    competition,
    exposure,
)


class ListenBody(msgspec.Struct, rename="pascal"):
    """The addresses to listen on, each as `IP:port`.

    Attributes:
        front: For callers' requests.
        ready: For the platform's readiness checks.
        control: For requests of other VMs.
        directory: For callers that look up the addresses to connect to.
    """

    front: str = ""
    ready: str = ""
    directory: str = msgspec.field(default="", name="directory")
    control: str = ""


class BoundsBody(msgspec.Struct, rename="pascal"):
    """The operators' limits that the tier itself enforces.

    Attributes:
        cold_overage: Factor applied to the requests per second that a cold
            searcher's service permits.
        cold_slack: Requests per second allowed in addition.
        retry_budget_ratio: Maximum extra calls per request.
        budget_window_s: The window in which extra calls are counted, in
            seconds.
        retry_budget_slack: Extra calls allowed regardless of the number of
            requests.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        ttl_max_s: Maximum time that callers may cache the advertised
            addresses, in seconds.
        exposure_share: Maximum share of a service's requests that may go to a
            new version before it has proved itself.
        exposure_slack: Number of requests allowed in addition.
        rollback_ms: Maximum time from a new version's 50th bad answer to its
            last request, in milliseconds.
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
    quota_window_s: float = msgspec.field(default=5.0, name="QuotaWindowS")
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    revoke_when_partitioned: bool = False
    revoke_ms: float = 5_000.0


class ProcessLimitsBody(msgspec.Struct, rename="pascal"):
    """The resources that the VM grants the process.

    Attributes:
        cpu_share: Share of a core.
        cores: Relative speed of that core, not the number of cores.
        max_fds: Maximum number of open file descriptors.
        memory_mb: Maximum size of the process, in MB.
        link_mbps: Bandwidth of the VM's link, in Mbit/s; 0 if not stated.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 1024
    memory_mb: float = 300.0
    link_mbps: float = 0.0


class StoreBody(msgspec.Struct, rename="pascal"):
    """The platform's store.

    Attributes:
        address: The store's `IP:port`.
    """

    address: str


class SettingsBody(msgspec.Struct, rename="pascal"):
    """The settings file; unknown fields are ignored.

    Attributes:
        node: This VM's name.
        zone: The VM's availability zone.
        platform: The store.
        seeds: The peer addresses of some VMs, `IP:port`; they may be down.
        serves: The roles of the process; unknown ones are ignored.
        heartbeat_ms: Interval of the searchers' heartbeats, in milliseconds.
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
    heartbeat_ms: float = 1_200.0
    bootstrap: bool = False


CALLERS_ROLE = "frontend"
DIRECTORY_ROLE = "directory"

DIRECTORY_SUFFIX = "/directory"
"""Appended to the VM's name in a process that only advertises addresses, so
that it isn't treated as the process that serves the VM's callers."""


@dataclasses.dataclass(slots=True, frozen=True)
class EnvironmentSettings:
    """azureramp's own settings, read from environment variables.

    Attributes:
        admission: Where requests compete for searchers; see `competition`.
        max_connections: Maximum number of connections that others open; 0 to
            derive it from the settings file.
        metrics_port: Port that serves the metrics; 0 to serve none.
        requests_memory_mb: Memory for requests and answers, in MB; 0 to derive
            it from the settings file.
        statsd_address: `IP:port` of a statsd server; empty for none.
    """

    admission: competition.Scope = competition.Scope.ACCOUNTS
    metrics_port: int = 0
    statsd_address: str = ""
    max_connections: int = 0
    requests_memory_mb: int = 0


PATH_VARIABLE = "AZURERAMP_CONFIG"
DEFAULT_PATH = "/etc/azureramp/settings.toml"

ADMISSION_VARIABLE = "AZURERAMP_ADMISSION"
METRICS_PORT_VARIABLE = "AZURERAMP_METRICS_PORT"
MAX_CONNECTIONS_VARIABLE = "AZURERAMP_MAX_CONNECTIONS"
REQUESTS_MEMORY_VARIABLE = "AZURERAMP_REQUESTS_MEMORY_MB"
STATSD_ADDRESS_VARIABLE = "AZURERAMP_STATSD_ADDRESS"


MAX_CONNECTIONS = 1_000_000
MAX_MEMORY_MB = 1_000_000
"""Largest values that may be set."""


class Settings(msgspec.Struct, frozen=True):
    """The settings of a process, converted to azureramp's types.

    Attributes:
        identity: The identity of this process.
        bounds: The operators' limits.
        front_address: `IP:port` for callers' requests; empty if not served.
        ready_address: `IP:port` for the platform's readiness checks; empty if
            not served.
        directory_address: `IP:port` for callers' address lookups; empty if
            not served.
        store_address: `IP:port` of the platform's store.
        seeds: The peer addresses of some VMs, `IP:port`.
        descriptors: Maximum number of open file descriptors.
        memory_mb: Maximum size of the process, in MB.
        environment: azureramp's own settings.
    """

    identity: board.Identity
    bounds: board.Bounds
    front_address: str
    ready_address: str
    directory_address: str
    store_address: str
    seeds: tuple[str, ...]
    descriptors: int
    memory_mb: float = 300.0
    environment: EnvironmentSettings = EnvironmentSettings()


def read(
    path: pathlib.Path, environment: Mapping[str, str]
) -> expression.Result[Settings, str]:
    """Reads and checks a settings file and azureramp's own variables.

    Args:
        path: The file.
        environment: The process's environment.

    Returns:
        The settings, or one line that names the invalid field and its value.
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
    from_environment = read_environment(environment)
    if from_environment.is_error():
        return expression.Error(from_environment.error)
    return expression.Ok(_to_settings(body, from_environment.ok))


def get_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_change_time(path: pathlib.Path) -> int:
    """Returns a file's modification time in ns; 0 if it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def read_environment(
    environment: Mapping[str, str],
) -> expression.Result[EnvironmentSettings, str]:
    """Reads and checks azureramp's own variables.

    Args:
        environment: The process's environment.

    Returns:
        The settings, or one line that names the invalid variable and its
        value.
    """
    numbers: dict[str, int] = {}
    for variable, most in (
        (METRICS_PORT_VARIABLE, 65_535),
        (MAX_CONNECTIONS_VARIABLE, MAX_CONNECTIONS),
        (REQUESTS_MEMORY_VARIABLE, MAX_MEMORY_MB),
    ):
        text = environment.get(variable, "0")
        if not text.isascii() or not text.isdigit() or int(text) > most:
            return expression.Error(
                f"{variable}: {text!r}; allowed: 0 to {most}"
            )
        numbers[variable] = int(text)
    scopes = {scope.value: scope for scope in competition.Scope}
    admission = environment.get(
        ADMISSION_VARIABLE, competition.Scope.ACCOUNTS.value
    )
    if admission not in scopes:
        return expression.Error(
            f"{ADMISSION_VARIABLE}: {admission!r}; allowed: {', '.join(scopes)}"
        )
    address = environment.get(STATSD_ADDRESS_VARIABLE, "")
    if address and not is_address(address):
        return expression.Error(
            f"{STATSD_ADDRESS_VARIABLE}: {address!r}; allowed: IP:port"
        )
    return expression.Ok(
        EnvironmentSettings(
            scopes[admission],
            numbers[METRICS_PORT_VARIABLE],
            address,
            numbers[MAX_CONNECTIONS_VARIABLE],
            numbers[REQUESTS_MEMORY_VARIABLE],
        )
    )


def is_address(value: str) -> bool:
    """Returns True if a value has the form `IP:port`."""
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def find_problem(body: SettingsBody) -> str:
    """Returns an error message that names the invalid field; empty if none."""
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
        return "Node and Zone: empty; allowed: a non-empty name"
    bounds = body.bounds
    numbers = {
        "Bounds.RetryBudgetRatio": bounds.retry_budget_ratio,
        "Bounds.RetryBudgetSlack": bounds.retry_budget_slack,
        "Bounds.ColdOverage": bounds.cold_overage,
        "Bounds.ColdSlack": bounds.cold_slack,
        "Bounds.ExposureShare": bounds.exposure_share,
        "Bounds.ExposureSlack": bounds.exposure_slack,
        "Bounds.QuotaOverage": bounds.quota_overage,
        "Bounds.QuotaSlack": bounds.quota_slack,
    }
    for field, number in numbers.items():
        if number < 0:
            return f"{field}: {number}; allowed: 0 or more"
    spans = {
        "Bounds.BudgetWindowS": bounds.budget_window_s,
        "Bounds.GraceS": bounds.grace_s,
        "Bounds.ttl_max_s": bounds.ttl_max_s,
        "Bounds.RollbackMs": bounds.rollback_ms,
        "Bounds.QuotaWindowS": bounds.quota_window_s,
        "Bounds.RevokeMs": bounds.revoke_ms,
        "HeartbeatMs": body.heartbeat_ms,
        "Limits.MemoryMb": body.limits.memory_mb,
    }
    for field, number in spans.items():
        if number <= 0:
            return f"{field}: {number}; allowed: more than 0"
    return ""


def _to_settings(
    body: SettingsBody, environment: EnvironmentSettings
) -> Settings:
    """Converts a checked settings file."""
    listen, bounds = body.listen_addrs, body.bounds
    serves_callers = CALLERS_ROLE in body.serves
    serves_directory = DIRECTORY_ROLE in body.serves
    name = body.node if serves_callers else body.node + DIRECTORY_SUFFIX
    extra = allowances.Limit(
        ratio=bounds.retry_budget_ratio,
        window_s=bounds.budget_window_s,
        fixed=bounds.retry_budget_slack,
    )
    return Settings(
        identity=board.Identity(
            vm=name,
            zone=body.zone,
            caller_address=listen.front if serves_callers else "",
            peer_address=listen.control if serves_callers else "",
            cores=body.limits.cpu_share * body.limits.cores,
            link_mbps=max(0.0, body.limits.link_mbps),
            first_start=body.bootstrap,
            serves_callers=serves_callers,
        ),
        bounds=board.Bounds(
            extra=extra,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            grace_s=bounds.grace_s,
            address_lifetime_s=bounds.ttl_max_s,
            exposure=exposure.ExposureLimit(
                share=bounds.exposure_share,
                fixed=bounds.exposure_slack,
                stop_s=bounds.rollback_ms / 1000,
            ),
            account_limits=account_limits.Tolerance(
                window_s=bounds.quota_window_s,
                overage=bounds.quota_overage,
                slack=bounds.quota_slack,
            ),
            heartbeat_s=body.heartbeat_ms / 1000,
            keys_expire_s=(
                bounds.revoke_ms / 1000
                if bounds.revoke_when_partitioned
                else math.inf
            ),
        ),
        front_address=listen.front if serves_callers else "",
        ready_address=listen.ready if serves_callers else "",
        directory_address=listen.directory if serves_directory else "",
        store_address=body.platform.address,
        seeds=tuple(body.seeds),
        descriptors=body.limits.max_fds,
        memory_mb=body.limits.memory_mb,
        environment=environment,
    )
