"""Which requests are blamed for crashes."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import poison

QUARANTINE_S = 600.0
BAD, GOOD, OTHER = 1, 2, 3


def record(
    blame: poison.Blame,
    at_s: float,
    *fingerprints: int,
    server: str = "",
    searcher: str = "s",
) -> bool:
    """Records a crash, of another server each time by default."""
    server = server or f"server-{at_s}"
    return blame.record(
        server,
        searcher,
        f"{server}/{searcher}/{at_s}",
        frozenset(fingerprints),
        at_s,
        QUARANTINE_S,
    )


def test_one_crash_makes_suspects_of_all_in_flight() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD, GOOD)

    assert [blame.crashes(f, 10.0) for f in (BAD, GOOD, OTHER)] == [1, 1, 0]
    assert blame.quarantined_ms(BAD, 10.0) == 0


def test_a_second_crash_at_another_time_quarantines() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD, GOOD)
    record(blame, 20.0, BAD)

    assert blame.quarantined_ms(BAD, 20.0) == QUARANTINE_S * 1000
    assert blame.quarantined_ms(BAD, 20.0 + QUARANTINE_S) == 0
    assert blame.quarantined_ms(GOOD, 20.0) == 0


def test_whoever_is_near_a_known_suspect_is_not_charged() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD)
    record(blame, 20.0, BAD, GOOD, OTHER)

    assert blame.crashes(BAD, 20.0) == 2
    assert blame.crashes(GOOD, 20.0) == blame.crashes(OTHER, 20.0) == 0


def test_after_its_quarantine_one_more_crash_is_enough() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD)
    record(blame, 20.0, BAD)
    after_s = 21.0 + QUARANTINE_S
    still = blame.crashes(BAD, after_s)
    record(blame, after_s, BAD)

    assert still > 0
    assert blame.quarantined_ms(BAD, after_s) == QUARANTINE_S * 1000


def test_crashes_of_one_time_quarantine_for_a_short_time_only() -> None:
    """A rack loses power: ten servers end at once, with one query on all."""
    blame = poison.Blame()
    for number in range(10):
        record(blame, 10.0 + number / 100, GOOD, server=f"server-{number}")

    left_ms = blame.quarantined_ms(GOOD, 10.1)
    assert 0 < left_ms <= poison.SHORT_S * 1000


def test_two_suspects_at_one_crash_are_not_barred_for_long() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD, GOOD)
    record(blame, 20.0, BAD, GOOD)

    for fingerprint in (BAD, GOOD):
        left_ms = blame.quarantined_ms(fingerprint, 20.0)
        assert 0 < left_ms <= poison.SHORT_S * 1000


def test_a_success_clears_a_suspect_but_not_one_of_two_times() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD, GOOD)
    blame.clear(GOOD)
    cleared = blame.crashes(GOOD, 10.0)
    record(blame, 20.0, BAD)
    blame.clear(BAD)

    assert cleared == 0
    assert blame.quarantined_ms(BAD, 20.0) > 0


def test_the_owners_of_one_server_tell_of_one_crash() -> None:
    """A server's two searchers have two owners, and both send a notice."""
    blame = poison.Blame()
    record(blame, 10.0, BAD, server="x", searcher="x-a")
    record(blame, 10.2, BAD, server="x", searcher="x-b")

    assert blame.crashes(BAD, 10.2) == 1
    assert blame.quarantined_ms(BAD, 10.2) == 0


def test_a_notice_counts_once_however_often_it_comes() -> None:
    blame = poison.Blame()

    assert record(blame, 10.0, BAD)
    assert not record(blame, 10.0, BAD)
    assert blame.crashes(BAD, 10.0) == 1


def test_a_quarantine_told_by_another_vm_is_taken_over() -> None:
    blame = poison.Blame()
    blame.adopt(BAD, 5000, 10.0)

    assert blame.quarantined_ms(BAD, 12.0) == 3000
    assert blame.quarantined_ms(BAD, 16.0) == 0
    assert blame.crashes(BAD, 16.0) > 0
    assert blame.get_quarantined_ms(12.0) == {BAD: 3000}


def test_old_crashes_are_forgotten() -> None:
    blame = poison.Blame()
    record(blame, 10.0, BAD)

    assert blame.crashes(BAD, 11.0 + poison.MEMORY_S) == 0


def test_the_tables_stay_bounded() -> None:
    blame = poison.Blame()
    rng = random.Random(1)
    for number in range(400):
        many = {rng.getrandbits(64) for _ in range(100)}
        record(blame, 10.0 + number, *many)
        blame.adopt(rng.getrandbits(64), 3000, 10.0 + number)

    remembered = blame.get_quarantined_ms(0.0)
    most = poison.MAX_CRASHES * poison.MAX_FINGERPRINTS + poison.MAX_ADOPTED
    assert len(remembered) <= most


@pytest.mark.parametrize("seed", range(20))
def test_a_poison_request_is_found_among_innocent_ones(seed: int) -> None:
    """The poison request is always there; two innocent ones are by chance."""
    blame = poison.Blame()
    rng = random.Random(seed)
    record(blame, 0.0, BAD, *rng.sample(range(10, 60), 2))
    record(blame, 5.0, BAD, *rng.sample(range(60, 99), 2))

    assert list(blame.get_quarantined_ms(5.0)) == [BAD]
