"""The daemon's settings, validated at startup."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
import unicodedata
from collections.abc import Mapping

import expression


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one daemon, from its flags and environment variables.

    Attributes:
        vm: This VM's name.
        zone: The name of its availability zone.
        http_address: `IP:port` for callers and operators.
        peer_address: `IP:port` for the other daemons.
        store_address: `IP:port` of the platform's key-value service.
        vmlist_address: `IP:port` of the platform's VM list.
        statsd_address: `IP:port` of the statsd server; empty for none.
        peer_key: The key of the peer messages' MAC.
        operator_token_sha256: Lower-case hexadecimal SHA-256 of the
            operators' token.
        heartbeat_ms: Time between heartbeats.
        lease_ms: Duration of the heartbeat lease.
        suspect_ms: Silence after which a VM is no longer treated as live.
        probe_ms: Time between health checks of an owned searcher.
        address_lifetime_ms: How long an address answer may be cached.
        confirm_ms: Maximum age of a valid confirmation of the configuration.
        drain_ms: Hard limit of a graceful shutdown.
        list_lag_ms: Maximum lag of the VM list.
        watchers: Number of VMs of a cell that watch the configuration.
        memory_mb: Maximum size of the process, in MB.
        max_connections: Maximum number of connections of callers.
    """

    vm: str
    zone: str
    http_address: str
    peer_address: str
    store_address: str
    vmlist_address: str
    statsd_address: str = ""
    peer_key: str = ""
    operator_token_sha256: str = ""
    heartbeat_ms: int = 250
    lease_ms: int = 1500
    suspect_ms: int = 1000
    probe_ms: int = 500
    address_lifetime_ms: int = 5000
    confirm_ms: int = 2000
    drain_ms: int = 30000
    list_lag_ms: int = 5000
    watchers: int = 2
    memory_mb: int = 300
    max_connections: int = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class String:
    """A setting that is a string.

    Attributes:
        may_be_empty: True if the empty string is allowed.
    """

    may_be_empty: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A setting that is `IP:port`.

    Attributes:
        may_be_empty: True if the empty string is allowed.
    """

    may_be_empty: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Sha256:
    """A setting that is a SHA-256 in hexadecimal."""


@dataclasses.dataclass(slots=True, frozen=True)
class Integer:
    """A setting that is a whole number.

    Attributes:
        low: The minimum.
        high: The maximum.
    """

    low: int
    high: int


ValueType = String | Address | Sha256 | Integer


@dataclasses.dataclass(slots=True, frozen=True)
class Option:
    """One setting as a flag and an environment variable.

    Attributes:
        field: The field of `Settings`.
        value_type: The values that are allowed.
        help: The help text.
        default: The default value; None if the setting is required.
    """

    field: str
    value_type: ValueType
    help: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """The flag, such as `--http-address`."""
        return "--" + self.field.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as `AZURERAMP_HTTP_ADDRESS`."""
        return "AZURERAMP_" + self.field.upper()


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """An invalid setting.

    Attributes:
        option: The option.
        value: The given value; None if there was none.
        allowed: A description of the allowed values.
    """

    option: Option
    value: str | None
    allowed: str

    def __str__(self) -> str:
        """Returns one line with the flag, variable, value and rule."""
        shown_value = "no value" if self.value is None else f"{self.value!r}"
        return (
            f"{self.option.flag} ({self.option.variable}): {shown_value}; "
            f"allowed: {self.allowed}"
        )


def _make_ms(
    field: str, low: int, high: int, default: int, words: str
) -> Option:
    """Creates an option for a duration in milliseconds."""
    return Option(field, Integer(low, high), words, str(default))


OPTIONS: tuple[Option, ...] = (
    Option("vm", String(), "This VM's name."),
    Option("zone", String(), "The name of its availability zone."),
    Option("http_address", Address(), "IP:port for callers and operators."),
    Option("peer_address", Address(), "IP:port for the other daemons."),
    Option("store_address", Address(), "IP:port of the key-value service."),
    Option("vmlist_address", Address(), "IP:port of the VM list."),
    Option(
        "statsd_address",
        Address(may_be_empty=True),
        "IP:port of the statsd server; empty for none.",
        "",
    ),
    Option("peer_key", String(), "Key of the peer messages' MAC."),
    Option(
        "operator_token_sha256",
        Sha256(),
        "SHA-256 of the operators' token, in hexadecimal.",
    ),
    _make_ms("heartbeat_ms", 10, 10_000, 250, "Time between heartbeats."),
    _make_ms("lease_ms", 100, 60_000, 1500, "Duration of the heartbeat lease."),
    _make_ms(
        "suspect_ms",
        50,
        60_000,
        1000,
        "Silence after which a VM is no longer treated as live.",
    ),
    _make_ms("probe_ms", 50, 60_000, 500, "Time between health checks."),
    _make_ms(
        "address_lifetime_ms",
        100,
        600_000,
        5000,
        "How long an address answer may be cached.",
    ),
    _make_ms(
        "confirm_ms",
        100,
        60_000,
        2000,
        "Maximum age of a valid confirmation of the configuration.",
    ),
    _make_ms(
        "drain_ms", 0, 3_600_000, 30_000, "Hard limit of a graceful shutdown."
    ),
    _make_ms("list_lag_ms", 0, 600_000, 5000, "Maximum lag of the VM list."),
    Option(
        "watchers",
        Integer(1, 16),
        "Number of VMs of a cell that watch the configuration.",
        "2",
    ),
    Option(
        "memory_mb",
        Integer(64, 1_000_000),
        "Maximum size of the process, in MB; two fifths are for requests.",
        "300",
    ),
    Option(
        "max_connections",
        Integer(1, 1_000_000),
        "Maximum number of callers' connections; memory_mb may lower it.",
        "2000",
    ),
)


def parse(
    values: Mapping[str, str | None],
) -> expression.Result[Settings, Problem]:
    """Validates the values of all settings.

    Args:
        values: The given values by field; for None or a missing field the
            default applies.

    Returns:
        The settings, or the first problem.
    """
    checked: dict[str, str | int] = {}
    for option in OPTIONS:
        value = values.get(option.field)
        if value is None:
            value = option.default
        result = _check(option, value)
        if isinstance(result, Problem):
            return expression.Error(result)
        checked[option.field] = result
    built = Settings(**checked)  # type: ignore[arg-type]
    if built.lease_ms <= 2 * built.heartbeat_ms:
        option = next(o for o in OPTIONS if o.field == "lease_ms")
        words = f"more than twice --heartbeat-ms ({built.heartbeat_ms})"
        return expression.Error(Problem(option, str(built.lease_ms), words))
    return expression.Ok(built)


def _check(option: Option, value: str | None) -> str | int | Problem:
    """Validates one value; returns it in its final type, or a problem."""
    match option.value_type:
        case String(may_be_empty):
            if value is not None and (value or may_be_empty):
                return unicodedata.normalize("NFC", value)
            return Problem(option, value, "a string that is not empty")
        case Address(may_be_empty):
            if value == "" and may_be_empty:
                return value
            if value is not None and is_address(value):
                return value
            return Problem(option, value, "IP:port, such as 127.0.0.1:8700")
        case Sha256():
            if value is not None and re.fullmatch(r"[0-9a-f]{64}", value):
                return value
            return Problem(option, value, "64 lower-case hexadecimal digits")
        case Integer(low, high):
            if value is not None and re.fullmatch(r"[0-9]{1,9}", value):
                number = int(value)
                if low <= number <= high:
                    return number
            words = f"a whole number from {low} to {high}"
            return Problem(option, value, words)


def is_address(value: str) -> bool:
    """Returns True if a string is `IP:port`, with an IPv6 IP in brackets."""
    host, _, port = value.rpartition(":")
    if host.startswith("[") != host.endswith("]"):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return bool(re.fullmatch(r"[0-9]{1,5}", port)) and 0 < int(port) < 65536
