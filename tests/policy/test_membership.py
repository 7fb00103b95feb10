"""Which VMs are treated as live, and which as owners."""

from __future__ import annotations

import math

import pytest

from azureramp.policy import membership

NOW_S = 100.0
SUSPECT_S = 1.0
LIVE = membership.Observation(NOW_S - 0.2)
SILENT = membership.Observation(NOW_S - 1.5)


def make_suspecting(*names: str) -> membership.Observation:
    return membership.Observation(NOW_S - 0.2, suspects=frozenset(names))


@pytest.mark.parametrize(
    ("sightings", "standing"),
    [
        pytest.param([LIVE], "live", id="heard"),
        pytest.param(
            [membership.Observation(NOW_S - 0.6)],
            "live",
            id="two heartbeats missing",
        ),
        pytest.param([membership.Observation(-math.inf)], "listed", id="never"),
        pytest.param(
            [membership.Observation(NOW_S, leaving=True)],
            "leaving",
            id="leaving",
        ),
        pytest.param(
            [SILENT, LIVE, LIVE], "suspect", id="only this VM misses it"
        ),
        pytest.param(
            [SILENT, make_suspecting("x"), LIVE],
            "gone",
            id="a majority misses it",
        ),
        pytest.param(
            [SILENT, make_suspecting("x"), LIVE, LIVE, LIVE],
            "suspect",
            id="a minority misses it",
        ),
        pytest.param([SILENT, SILENT, SILENT], "gone", id="no VM is reachable"),
        pytest.param(
            [membership.Observation(NOW_S - 1.5, leaving=True), LIVE, LIVE],
            "gone",
            id="silent after leaving",
        ),
    ],
)
def test_a_vms_state_depends_on_the_majority_of_reachable_vms(
    sightings: list[membership.Observation], standing: str
) -> None:
    named = dict(zip("xabcd", sightings, strict=False))

    standings = membership.classify_members(named, NOW_S, SUSPECT_S)

    assert standings["x"].value == standing


@pytest.mark.parametrize(
    ("standing", "leaving", "promised_s", "expected"),
    [
        (membership.AssessedState.LIVE, False, 0.0, True),
        (membership.AssessedState.SUSPECT, False, 0.0, True),
        (membership.AssessedState.GONE, False, NOW_S + 0.1, True),
        (membership.AssessedState.GONE, False, NOW_S, False),
        (membership.AssessedState.GONE, True, NOW_S + 0.1, False),
        (membership.AssessedState.LEAVING, True, NOW_S + 0.1, False),
        (membership.AssessedState.LISTED, False, NOW_S + 0.1, False),
    ],
)
def test_an_owner_stays_one_until_its_lease_must_have_expired(
    standing: membership.AssessedState,
    leaving: bool,
    promised_s: float,
    expected: bool,
) -> None:
    sighting = membership.Observation(
        NOW_S, leaving=leaving, may_own_until_s=promised_s
    )

    assert membership.is_possible_owner(standing, sighting, NOW_S) is expected


@pytest.mark.parametrize(
    ("late_s", "pause_s"), [(0.0, 0.0), (0.25, 0.0), (0.3, 0.3), (60.0, 60.0)]
)
def test_a_timer_later_than_its_interval_indicates_a_pause(
    late_s: float, pause_s: float
) -> None:
    paused_s = membership.compute_pause_s(NOW_S, NOW_S + late_s, 0.25)

    assert paused_s == pytest.approx(pause_s)
