"""Flags that several commands share, each an environment variable too."""

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
class Common:
    """What every command needs.

    Attributes:
        addresses: `IP:port` of entry VMs, tried in order.
        token: The operators' token.
        language: `en` or `hu`.
        timeout_s: Longest wait for one answer, in seconds.
    """

    addresses: tuple[str, ...]
    token: str
    language: str
    timeout_s: float


class Address(click.ParamType[Any]):
    """An `IP:port`."""

    name = "IP:port"
    allowed = "an IP address with a port of 1 to 65535, as 10.0.0.1:8080"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Checks one address."""
        if not settings.is_address(str(value)):
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return str(value)

    def split_envvar_value(self, rv: str) -> list[str]:
        """Splits a variable with several addresses at commas and spaces."""
        return [part for part in re.split(r"[,\s]+", rv) if part]


class Number(click.ParamType[Any]):
    """A whole number within bounds."""

    name = "number"

    def __init__(self, low: int, high: int) -> None:
        """Keeps the bounds, both allowed."""
        self.low = low
        self.high = high

    @property
    def allowed(self) -> str:
        """What a value may be."""
        return f"a whole number of {self.low} to {self.high}"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> int:
        """Checks one number."""
        text = str(value)
        if not re.fullmatch(r"-?[0-9]{1,19}", text, re.ASCII):
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        number = int(text)
        if not self.low <= number <= self.high:
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return number


class Choice(click.ParamType[Any]):
    """One of some words."""

    name = "word"

    def __init__(self, *words: str) -> None:
        """Keeps the words."""
        self.words = words

    @property
    def allowed(self) -> str:
        """What a value may be."""
        return "one of " + ", ".join(self.words)

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Checks one word."""
        if value not in self.words:
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return str(value)


_OPTIONS = (
    click.option(
        "--address",
        "addresses",
        envvar="AZURERAMP_ADDRESS",
        type=Address(),
        multiple=True,
        required=True,
        help="An entry VM's address; several are tried in order.",
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
        help="Language of the texts; codes are the same in both.",
    ),
    click.option(
        "--timeout-ms",
        envvar="AZURERAMP_TIMEOUT_MS",
        type=Number(1, 600_000),
        default=10_000,
        show_default=True,
        help="Longest wait for one answer of a VM, in milliseconds.",
    ),
)


def add_common(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the shared flags; the function gets them as `common`."""

    @functools.wraps(command)
    def run(
        *,
        addresses: tuple[str, ...],
        token: str,
        language: str,
        timeout_ms: int,
        **arguments: Any,
    ) -> Any:
        common = Common(addresses, token, language, timeout_ms / 1000)
        return command(common=common, **arguments)

    for option in reversed(_OPTIONS):
        run = option(run)
    return run


def name_variables(command: click.Command) -> None:
    """Gives each flag that has no environment variable yet its own.

    It is named after the command and the flag: `AZURERAMP_APPLY_DRY_RUN`.
    """
    for param in command.params:
        if isinstance(param, click.Option) and param.envvar is None:
            flag = max(param.opts, key=len).lstrip("-")
            words = f"{ENVIRONMENT_PREFIX}_{command.name}_{flag}"
            param.envvar = words.replace("-", "_").upper()
