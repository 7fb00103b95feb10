"""Counts by client account."""

from __future__ import annotations

from azureramp import account_metrics, exposition, metrics


def test_the_number_of_named_accounts_is_bounded() -> None:
    """Guards against a series for each of 100,000 accounts."""
    counts = account_metrics.AccountCounts(max_names=5)
    for number in range(1000):
        counts.count(f"account-{number % 500}", "admitted")
    names = {account for account, _ in counts.counts}
    assert len(names - {account_metrics.REST}) <= 5
    assert sum(counts.counts.values()) == 1000


def test_large_accounts_and_those_near_their_limit_are_named() -> None:
    """Guards against a flood that is hidden among the others."""
    counts = account_metrics.AccountCounts(max_names=2)
    for number in range(600):
        counts.count(f"small-{number % 60}", "admitted")
        counts.count("large", "admitted")
        counts.count("flood", "refused", near_limit=True)
    assert counts.counts["large", "admitted"] > 500
    assert counts.counts["flood", "refused"] > 500


def test_names_are_quoted_in_the_exposition() -> None:
    """Guards against an account's name that breaks the page of metrics."""
    values = metrics.Metrics()
    values.accounts.count('a"b\\c', "refused")
    assert (
        rb'azureramp_account_requests{account="a\"b\\c",decision="refused"} 1'
        in exposition.render(values)
    )
