"""One VM's credit when requests are given up before they are sent."""

from __future__ import annotations

from azureramp.policy import account_credit

WINDOW_S = 5.0


def test_what_is_given_back_makes_no_other_use_count_for_less_time() -> None:
    """Guards against more uses in a window than the credit."""
    credit = account_credit.AccountCredit()
    assert credit.use(0.0, WINDOW_S, 2.0)
    assert credit.use(0.05, WINDOW_S, 2.0)
    credit.give_back()
    assert credit.use(0.06, WINDOW_S, 2.0)
    assert not credit.use(WINDOW_S + 0.04, WINDOW_S, 2.0)


def test_what_was_reported_is_not_given_back() -> None:
    """Guards against old tokens, taken for a report whose answer was lost."""
    credit = account_credit.AccountCredit()
    assert credit.use(0.0, WINDOW_S, 2.0)
    settled = credit.get_asked(0)
    credit.skip(0)
    credit.give_back()
    assert credit.get_asked(1) == 2
    assert credit.settle(settled) == 0


def test_a_use_after_a_report_is_given_back() -> None:
    """Guards against uses lost because a report happens to be under way."""
    credit = account_credit.AccountCredit()
    assert credit.use(0.0, WINDOW_S, 2.0)
    credit.get_asked(0)
    assert credit.use(0.01, WINDOW_S, 2.0)
    credit.give_back()
    assert credit.use(0.02, WINDOW_S, 2.0)
