"""Attribution of crashes to requests, and quarantine of poison requests."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import poison

QUARANTINE_S = 600.0
BAD, GOOD, OTHER = 1, 2, 3


def record(
    table: poison.CrashAttributions,
    at_s: float,
    *fingerprints: int,
    server: str = "",
    searcher: str = "s",
) -> bool:
    """Records a crash; by default each one is of a different server."""
    server = server or f"server-{at_s}"
    return table.record_crash(
        server,
        searcher,
        f"{server}/{searcher}/{at_s}",
        frozenset(fingerprints),
        at_s,
        QUARANTINE_S,
    )


def test_one_crash_is_attributed_to_all_requests_in_flight() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD, GOOD)

    assert [table.count_crashes(f, 10.0) for f in (BAD, GOOD, OTHER)] == [
        1,
        1,
        0,
    ]
    assert table.get_quarantine_ms(BAD, 10.0) == 0


def test_a_crash_in_a_second_incident_starts_the_quarantine() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD, GOOD)
    record(table, 20.0, BAD)

    assert table.get_quarantine_ms(BAD, 20.0) == QUARANTINE_S * 1000
    assert table.get_quarantine_ms(BAD, 20.0 + QUARANTINE_S) == 0
    assert table.get_quarantine_ms(GOOD, 20.0) == 0


def test_requests_beside_a_known_suspect_get_no_crash() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD)
    record(table, 20.0, BAD, GOOD, OTHER)

    assert table.count_crashes(BAD, 20.0) == 2
    assert (
        table.count_crashes(GOOD, 20.0) == table.count_crashes(OTHER, 20.0) == 0
    )


def test_one_crash_after_the_quarantine_starts_another_one() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD)
    record(table, 20.0, BAD)
    after_s = 21.0 + QUARANTINE_S
    crashes_after = table.count_crashes(BAD, after_s)
    record(table, after_s, BAD)

    assert crashes_after > 0
    assert table.get_quarantine_ms(BAD, after_s) == QUARANTINE_S * 1000


def test_crashes_of_one_incident_cause_only_a_short_quarantine() -> None:
    """A power failure stops ten servers at once while one query runs on all."""
    table = poison.CrashAttributions()
    for number in range(10):
        record(table, 10.0 + number / 100, GOOD, server=f"server-{number}")

    left_ms = table.get_quarantine_ms(GOOD, 10.1)
    assert 0 < left_ms <= poison.SHORT_QUARANTINE_S * 1000


def test_two_suspects_of_the_same_crashes_get_a_short_quarantine() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD, GOOD)
    record(table, 20.0, BAD, GOOD)

    for fingerprint in (BAD, GOOD):
        left_ms = table.get_quarantine_ms(fingerprint, 20.0)
        assert 0 < left_ms <= poison.SHORT_QUARANTINE_S * 1000


def test_a_success_does_not_clear_crashes_of_two_incidents() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD, GOOD)
    table.record_success(GOOD)
    cleared = table.count_crashes(GOOD, 10.0)
    record(table, 20.0, BAD)
    table.record_success(BAD)

    assert cleared == 0
    assert table.get_quarantine_ms(BAD, 20.0) > 0


def test_notices_from_two_owners_of_a_server_are_one_crash() -> None:
    """The owners of a server's two searchers both send a notice."""
    table = poison.CrashAttributions()
    record(table, 10.0, BAD, server="x", searcher="x-a")
    record(table, 10.2, BAD, server="x", searcher="x-b")

    assert table.count_crashes(BAD, 10.2) == 1
    assert table.get_quarantine_ms(BAD, 10.2) == 0


def test_a_repeated_notice_is_counted_once() -> None:
    table = poison.CrashAttributions()

    assert record(table, 10.0, BAD)
    assert not record(table, 10.0, BAD)
    assert table.count_crashes(BAD, 10.0) == 1


def test_a_quarantine_announced_by_another_vm_is_applied() -> None:
    table = poison.CrashAttributions()
    table.apply_remote_quarantine(BAD, 5000, 10.0)

    assert table.get_quarantine_ms(BAD, 12.0) == 3000
    assert table.get_quarantine_ms(BAD, 16.0) == 0
    assert table.count_crashes(BAD, 16.0) > 0
    assert table.list_quarantines_ms(12.0) == {BAD: 3000}


def test_old_crashes_expire() -> None:
    table = poison.CrashAttributions()
    record(table, 10.0, BAD)

    assert table.count_crashes(BAD, 11.0 + poison.CRASH_RETENTION_S) == 0


def test_the_table_s_size_is_bounded() -> None:
    table = poison.CrashAttributions()
    rng = random.Random(1)
    for number in range(400):
        random_fingerprints = {rng.getrandbits(64) for _ in range(100)}
        record(table, 10.0 + number, *random_fingerprints)
        table.apply_remote_quarantine(rng.getrandbits(64), 3000, 10.0 + number)

    quarantined = table.list_quarantines_ms(0.0)
    limit = (
        poison.MAX_CRASHES * poison.MAX_FINGERPRINTS
        + poison.MAX_REMOTE_QUARANTINES
    )
    assert len(quarantined) <= limit


@pytest.mark.parametrize("seed", range(20))
def test_a_poison_request_is_identified_among_others(seed: int) -> None:
    """Each crash has the poison request and two random others in flight."""
    table = poison.CrashAttributions()
    rng = random.Random(seed)
    record(table, 0.0, BAD, *rng.sample(range(10, 60), 2))
    record(table, 5.0, BAD, *rng.sample(range(60, 99), 2))

    assert list(table.list_quarantines_ms(5.0)) == [BAD]
