"""Tests of the list of error kinds, and of the timelines' clock."""

from __future__ import annotations

import pytest

from azureramp import errors, texts, timelines


@pytest.mark.parametrize("kind", errors.Kind)
def test_each_kind_has_an_error_status(kind: errors.Kind) -> None:
    answer = errors.ANSWERS[kind]

    assert 400 <= answer.status < 600


def test_retry_after_is_not_set_if_a_retry_is_useless() -> None:
    for answer in errors.ANSWERS.values():
        if answer.retry is errors.Retry.NEVER:
            assert answer.retry_after_ms == 0


def test_clock_moves_past_a_received_clock_value() -> None:
    ahead = timelines.Timeline("a", wall_clock=lambda: 100.0)
    behind = timelines.Timeline("b", wall_clock=lambda: 1.0)

    sent = ahead.advance_clock()
    behind.merge_clock(sent)

    assert behind.advance_clock() > sent


@pytest.mark.parametrize("kind", errors.Kind)
def test_each_kind_has_a_text_in_both_languages(kind: errors.Kind) -> None:
    text = texts.ERROR_TEXTS[kind]

    assert text.en
    assert text.hu
