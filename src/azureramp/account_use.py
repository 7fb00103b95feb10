"""Collects the use of client accounts from the VMs' logs and metrics."""

from __future__ import annotations

import collections
import dataclasses
import re
from collections.abc import Iterable

from azureramp import account_causes, log_lines, loss_causes, metrics

MAX_REFUSALS = 3
"""Maximum number of an account's last refusals that are kept."""

REFUSED_OUTCOMES = account_causes.OUTCOMES | {
    "shed",
    "overloaded",
    "quarantined",
    "shards_unreachable",
    "deadline_too_short",
}
"""The outcomes of requests that were refused and did not run."""

_SERIES = re.compile(
    r"azureramp_account_outcomes\{"
    r'account="((?:[^"\\]|\\.)*)",reason="([^"]*)"\} (\d+)'
)
_ESCAPED = re.compile(r"\\(.)")
_LIMIT = re.compile(r"limit \S+/s and [^;]+")


@dataclasses.dataclass(slots=True)
class VmUse:
    """An account's requests at one VM.

    Attributes:
        outcomes: Number of requests by outcome.
        limit_change: When the account last reached its limit there, or was
            within it again; None if the logs don't say.
    """

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    limit_change: account_causes.LimitChange | None = None


@dataclasses.dataclass(slots=True)
class AccountUse:
    """An account's requests at all VMs.

    Attributes:
        limit: Its limit, as its newest line states it; empty if none does.
        vms: Its requests by VM.
        last_refusals: The lines of its last refused requests, oldest first.
    """

    limit: str = ""
    vms: dict[str, VmUse] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(VmUse)
    )
    last_refusals: collections.deque[log_lines.Line] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_REFUSALS)
    )

    def sum_outcomes(self) -> collections.Counter[str]:
        """Returns the number of requests by outcome, at all VMs."""
        total: collections.Counter[str] = collections.Counter()
        for use in self.vms.values():
            total += use.outcomes
        return total


def collect(
    lines: Iterable[log_lines.Line],
    pages: Iterable[tuple[str, Iterable[str]]] = (),
) -> dict[str, AccountUse]:
    """Collects the use of all accounts.

    Args:
        lines: The log lines of the VMs, by time.
        pages: The rows of the metrics pages of some VMs, with the VM's name.
            Their counts replace those of the VM's log lines, which are
            sampled.

    Returns:
        The use by account; the account with most refused requests first.
    """
    accounts: dict[str, AccountUse] = collections.defaultdict(AccountUse)
    for line in lines:
        if line.channel == loss_causes.REQUEST_CHANNEL:
            _add_request(accounts, line)
        elif change := account_causes.parse_limit_change(line):
            account = accounts[change.account]
            account.vms[line.vm].limit_change = change
            _set_limit(account, change.inputs)
    for vm, rows in pages:
        _add_page(accounts, vm, rows)
    order = sorted(
        accounts,
        key=lambda name: (
            *_rank(accounts[name]),
            name == metrics.NO_ACCOUNT,
        ),
    )
    return {name: accounts[name] for name in order}


def count_refused(outcomes: collections.Counter[str]) -> int:
    """Returns the number of refused requests among some outcomes."""
    return sum(outcomes[each] for each in REFUSED_OUTCOMES)


def _rank(account: AccountUse) -> tuple[int, int]:
    """Returns the sort key of an account."""
    outcomes = account.sum_outcomes()
    return -count_refused(outcomes), -outcomes.total()


def _add_request(accounts: dict[str, AccountUse], line: log_lines.Line) -> None:
    """Adds a request's line; lines from before any accounts are skipped."""
    name = str(line.fields.get("account", ""))
    outcome = str(line.fields.get("outcome", ""))
    if not name and outcome not in account_causes.OUTCOMES:
        return
    account = accounts[name or metrics.NO_ACCOUNT]
    account.vms[line.vm].outcomes[outcome] += 1
    if outcome in REFUSED_OUTCOMES:
        account.last_refusals.append(line)
        _set_limit(account, str(line.fields.get("detail", "")))


def _set_limit(account: AccountUse, inputs: str) -> None:
    """Sets an account's limit if the inputs of a decision state it."""
    if found := _LIMIT.search(inputs):
        account.limit = found[0]


def _add_page(
    accounts: dict[str, AccountUse], vm: str, rows: Iterable[str]
) -> None:
    """Replaces the counts of a VM by those of its metrics page."""
    for account in accounts.values():
        if vm in account.vms:
            account.vms[vm].outcomes.clear()
    for row in rows:
        if found := _SERIES.match(row):
            name = _ESCAPED.sub(_unescape, found[1])
            accounts[name].vms[vm].outcomes[found[2]] = int(found[3])


def _unescape(found: re.Match[str]) -> str:
    """Returns the character that an escape sequence of a label stands for."""
    return "\n" if found[1] == "n" else found[1]
