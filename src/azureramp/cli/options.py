"""Flags shared by several commands, and their environment variables."""

from __future__ import annotations

import dataclasses
import functools
import re
from collections.abc import Callable
from typing import Any

import click

from azureramp import settings

ENVIRONMENT_PREFIX = "AZURERAMP"


@dataclasses.dataclass(slots=True, frozen=True)
class CommonOptions:
    """The options shared by all commands.

    Attributes:
        addresses: The addresses of entry VMs as `IP:port`, tried in order.
        token: The operators' token.
        language: The language of messages, `en` or `hu`.
        timeout_s: Timeout of one call, in seconds.
    """

    addresses: tuple[str, ...]
    token: str
    language: str
    timeout_s: float


class Address(click.ParamType[Any]):
    """Parameter type of an address, `IP:port`."""

    name = "IP:port"
    allowed = "an IP address with a port from 1 to 65535, such as 10.0.0.1:8080"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Validates one address."""
        if not settings.is_address(str(value)):
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return str(value)

    def split_envvar_value(self, rv: str) -> list[str]:
        """Splits the value of a variable at commas and whitespace."""
        return [part for part in re.split(r"[,\s]+", rv) if part]


class IntegerRange(click.ParamType[Any]):
    """Parameter type of an integer within bounds."""

    name = "number"

    def __init__(self, low: int, high: int) -> None:
        """Initializes the type with inclusive bounds."""
        self.low = low
        self.high = high

    @property
    def allowed(self) -> str:
        """The description of the allowed values."""
        return f"a whole number from {self.low} to {self.high}"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> int:
        """Parses and validates one integer."""
        text = str(value)
        if not re.fullmatch(r"-?[0-9]{1,19}", text, re.ASCII):
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        number = int(text)
        if not self.low <= number <= self.high:
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return number


class Choice(click.ParamType[Any]):
    """Parameter type of one word out of a fixed set."""

    name = "word"

    def __init__(self, *words: str) -> None:
        """Initializes the type with the allowed words."""
        self.words = words

    @property
    def allowed(self) -> str:
        """The description of the allowed values."""
        return "one of " + ", ".join(self.words)

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Validates one word."""
        if value not in self.words:
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return str(value)


_COMMON_OPTIONS = (
    click.option(
        "--address",
        "addresses",
        envvar="AZURERAMP_ADDRESS",
        type=Address(),
        multiple=True,
        required=True,
        help="Address of an entry VM; several are tried in order.",
    ),
    click.option(
        "--token",
        envvar="AZURERAMP_TOKEN",
        required=True,
        help="The operators' token.",
    ),
    click.option(
        "--language",
        envvar="AZURERAMP_LANGUAGE",
        type=Choice("en", "hu"),
        default="en",
        show_default=True,
        help="Language of the messages; codes are the same in both.",
    ),
    click.option(
        "--timeout-ms",
        envvar="AZURERAMP_TIMEOUT_MS",
        type=IntegerRange(1, 600_000),
        default=10_000,
        show_default=True,
        help="Timeout of one call to a VM, in milliseconds.",
    ),
)


def add_common_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the shared flags to a command, passed to it as `common`."""

    @functools.wraps(command)
    def run(
        *,
        addresses: tuple[str, ...],
        token: str,
        language: str,
        timeout_ms: int,
        **arguments: Any,
    ) -> Any:
        common = CommonOptions(addresses, token, language, timeout_ms / 1000)
        return command(common=common, **arguments)

    for option in reversed(_COMMON_OPTIONS):
        run = option(run)
    return run


def set_variable_names(command: click.Command) -> None:
    """Sets the environment variable of each flag that has none yet.

    It is named after the command and the flag: `AZURERAMP_APPLY_DRY_RUN`.
    """
    for param in command.params:
        if isinstance(param, click.Option) and param.envvar is None:
            flag = max(param.opts, key=len).lstrip("-")
            words = f"{ENVIRONMENT_PREFIX}_{command.name}_{flag}"
            param.envvar = words.replace("-", "_").upper()
