"""Detection of versions with more failed or slow answers than the old one."""

from __future__ import annotations

import random

import pytest

from azureramp.policy import version_evidence

WORSE = version_evidence.Verdict.WORSE
UNDECIDED = version_evidence.Verdict.UNDECIDED
SEARCHERS = ("a", "b", "c")


def simulate(
    share: float,
    usual: float,
    answers: int,
    seed: int,
    searchers: tuple[str, ...] = SEARCHERS,
    good_before: int = 0,
) -> int | None:
    """Returns the number of answers until the version is found to be worse.

    None if it is not found to be worse.
    """
    rng = random.Random(seed)
    evidence = version_evidence.Evidence(0.0)
    for number in range(answers):
        now_s = number * 0.1
        evidence.add_old(
            "/one/", 5, sum(rng.random() < usual for _ in "12345"), now_s
        )
        bad_share = usual if number < good_before else share
        evidence.add_new(
            "/one/", rng.choice(searchers), 1, rng.random() < bad_share
        )
        if evidence.get_verdict() is WORSE:
            return number + 1
    return None


@pytest.mark.parametrize("good_before", [0, 200])
def test_a_worse_version_is_detected_within_40_answers(
    good_before: int,
) -> None:
    """Guards against early good answers that hide a late fault."""
    for seed in range(200):
        found = simulate(0.4, 0.02, 400, seed, good_before=good_before)
        assert found is not None
        assert found - good_before <= 40


def test_an_equally_good_version_is_rarely_rejected() -> None:
    rejected = [simulate(0.02, 0.02, 300, seed) for seed in range(300)]
    assert sum(each is not None for each in rejected) <= 3


def test_faults_of_both_versions_do_not_reject_the_new_one() -> None:
    """Guards against a rollback if both versions have slow searchers."""
    rejected = [simulate(0.3, 0.3, 200, seed) for seed in range(200)]
    assert sum(each is not None for each in rejected) <= 2


def test_one_broken_searcher_does_not_reject_its_version() -> None:
    evidence = version_evidence.Evidence(0.0)
    for number in range(60):
        evidence.add_old("/one/", 20, 0, number * 0.1)
        evidence.add_new("/one/", "a", 1, 1)
        evidence.add_new("/one/", "b", 2, 0)
        evidence.add_new("/one/", "c", 2, 0)
    assert evidence.get_verdict() is not WORSE


def test_a_version_with_a_single_searcher_can_be_rejected() -> None:
    assert simulate(0.5, 0.02, 60, 1, searchers=("a",)) is not None


def test_a_fault_of_one_route_is_detected_among_good_answers() -> None:
    evidence = version_evidence.Evidence(0.0)
    for number in range(12):
        now_s = number * 0.5
        evidence.add_old("/one/", 50, 0, now_s)
        evidence.add_old("/two/", 5, 0, now_s)
        for searcher in SEARCHERS:
            evidence.add_new("/one/", searcher, 10, 0)
        evidence.add_new("/two/", SEARCHERS[number % 3], 1, 1)
    assert evidence.get_verdict() is WORSE


def test_a_small_difference_is_detected_among_many_answers() -> None:
    """Guards against a slightly worse version with thousands of bad answers."""
    evidence = version_evidence.Evidence(0.0)
    for _ in range(20):
        evidence.add_old("/one/", 1000, 2, 0.0)
        for searcher in SEARCHERS:
            evidence.add_new("/one/", searcher, 33, 2)
    assert evidence.get_verdict() is WORSE


def test_without_answers_the_verdict_is_undecided() -> None:
    evidence = version_evidence.Evidence(0.0)
    assert evidence.get_verdict() is UNDECIDED
    assert evidence.describe() == "no answers of the new version"


def test_the_description_lists_both_versions_by_route() -> None:
    evidence = version_evidence.Evidence(0.0)
    evidence.add_old("/one/", 10, 1, 0.0)
    evidence.add_new("/one/", "a", 3, 2)
    assert evidence.describe() == "/one/: new 2/3 old 1/10"
