"""The closed list of error kinds."""

from __future__ import annotations

import pytest

from azureramp import errors, texts, timelines


@pytest.mark.parametrize("kind", errors.Kind)
def test_each_kind_has_an_answer(kind: errors.Kind) -> None:
    answer = errors.ANSWERS[kind]

    assert 400 <= answer.status < 600


def test_a_kind_that_says_retry_after_never_says_never() -> None:
    for answer in errors.ANSWERS.values():
        if answer.retry is errors.Retry.NEVER:
            assert answer.retry_after_ms == 0


def test_an_event_caused_by_a_message_is_later_than_its_sending() -> None:
    ahead = timelines.Timeline("a", wall=lambda: 100.0)
    behind = timelines.Timeline("b", wall=lambda: 1.0)

    sent = ahead.read_clock()
    behind.observe_clock(sent)

    assert behind.read_clock() > sent


@pytest.mark.parametrize("kind", errors.Kind)
def test_each_kind_has_a_text_in_both_languages(kind: errors.Kind) -> None:
    text = texts.KINDS[kind]

    assert text.en
    assert text.hu
