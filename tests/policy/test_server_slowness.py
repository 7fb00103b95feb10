"""Choice among searchers that report how slow their backend server is."""

from __future__ import annotations

import heapq
import itertools
import random

from azureramp.policy import (
    searcher_selection,
    searcher_stats,
    server_slowness,
)


def make_stats(same_zone: bool = False) -> searcher_stats.SearcherStats:
    return searcher_stats.SearcherStats(2, same_zone=same_zone)


def test_the_half_life_of_reports_is_measured() -> None:
    """Guards against reports that are used for too long or not long enough.

    Machines turn slow in one of seven spells of 0.6 s, or of 0.06 s.
    """
    for spell_s, low_s, high_s in ((0.6, 0.15, 0.8), (0.06, 0.0, 0.06)):
        rng = random.Random(5)
        persistence = server_slowness.Persistence()
        server = server_slowness.ServerSlowness(persistence)
        now_s, turns_s, figure = 0.0, 0.0, 1.0
        for _ in range(3000):
            now_s += rng.expovariate(5.0)
            while turns_s <= now_s:
                turns_s += spell_s
                figure = 2.5 if rng.random() < 0.15 else 1.0
            server.record(figure, now_s)
        assert low_s < persistence.half_life_s < high_s


def test_an_old_report_gives_way_to_the_measured_durations() -> None:
    """Guards against old knowledge after a pause, a lost report or a cut."""
    stats, unknown = make_stats(), make_stats()
    for number in range(40):
        stats.server.record(1.0, number / 10)
        stats.record_time(1.0, number / 10)
    assert searcher_selection.estimate_relative_time(unknown, 5.0) == 1.0
    stats.server.record(3.0, 4.0)
    times = [
        searcher_selection.estimate_relative_time(stats, now_s)
        for now_s in (4.0, 4.0 + stats.server.persistence.half_life_s, 9.0)
    ]
    assert times[0] > 2.9
    assert 1.9 < times[1] < 2.1
    assert abs(times[2] - 1.0) < 0.01


def test_a_searcher_that_reports_to_be_slow_is_avoided_for_a_moment() -> None:
    slow, other = make_stats(), make_stats()
    for number in range(20):
        slow.server.record(1.0, 9.0 + number / 20)
    slow.server.record(3.0, 10.0)
    records = {"slow": slow, "other": other}
    rng = random.Random(1)
    assert searcher_selection.choose(records.items(), 10.0, rng) == "other"
    other.in_flight = 2
    assert searcher_selection.choose(records.items(), 11.0, rng) == "slow"


def test_three_figures_give_the_same_choices_as_before() -> None:
    """Guards against changes for searchers that don't report slowness.

    The expected choices were made before slowness could be reported.
    """
    rng = random.Random(7)
    records = {name: make_stats(name == "a") for name in "abc"}
    chosen = ""
    now_s = 0.0
    for _ in range(120):
        now_s += rng.expovariate(4.0)
        name = searcher_selection.choose(records.items(), now_s, rng)
        assert name is not None
        chosen += name
        stats = records[name]
        stats.in_flight = rng.randrange(3)
        stats.overdue = int(rng.random() < 0.1)
        stats.reported_load = float(rng.randrange(4))
        stats.reported_s = now_s
        if rng.random() < 0.15:
            stats.record_failure(now_s)
        else:
            stats.record_success()
            stats.record_time(rng.expovariate(0.6), now_s)
    assert chosen == (
        "abcbbcaaaaabaccaabcaaaaccccaaacaaacaacacaaaaccaaaaaaacbbabaa"
        "cbbccaaacaacaccaabbcaaacaaaaaaaabbcacaaacaaaaaabaabcbaaaaaab"
    )


def test_own_measurements_win_over_false_reports() -> None:
    """Guards against a searcher that claims to be fast, or to be slow.

    One takes five times the usual time and reports the usual; another takes the
    usual time and reports five times. After a few calls each has the cost of an
    honest searcher of its speed.
    """
    boaster, modest, honest = make_stats(), make_stats(), make_stats()
    for number in range(15):
        now_s = number / 10
        boaster.server.record(1.0, now_s)
        boaster.record_time(5.0, now_s)
        modest.server.record(5.0, now_s)
        modest.record_time(1.0, now_s)
        honest.server.record(1.0, now_s)
        honest.record_time(1.0, now_s)
    usual = searcher_selection.estimate_relative_time(honest, now_s)
    slow = searcher_selection.estimate_relative_time(boaster, now_s)
    assert slow > 4 * usual
    modest_time = searcher_selection.estimate_relative_time(modest, now_s)
    assert 0.8 * usual < modest_time < 1.3 * usual


def test_ten_vms_do_not_all_turn_to_one_fast_searcher() -> None:
    """Guards against herding: ten VMs read the same figures.

    One of three searchers is twice as fast. It can't serve all calls: they come
    at 1.5 times the rate that it can serve. Its queue must not become so long
    that its calls take longer than those to the slow searchers.
    """
    rng = random.Random(3)
    speeds = {"fast": 0.05, "slow-1": 0.1, "slow-2": 0.1}
    slots = {name: [0.0, 0.0] for name in speeds}
    running: dict[str, list[float]] = {name: [] for name in speeds}
    vms = [{name: make_stats() for name in speeds} for _ in range(10)]
    ends: list[tuple[float, float, int, str]] = []
    times: dict[str, list[float]] = {name: [] for name in speeds}
    now_s = 0.0
    while now_s < 20.0:
        now_s += rng.expovariate(60.0)
        while ends and ends[0][0] <= now_s:
            end_s, sent_s, vm, name = heapq.heappop(ends)
            stats = vms[vm][name]
            stats.in_flight -= 1
            running[name].remove(end_s)
            stats.reported_load = len(running[name])
            stats.reported_s = end_s
            stats.server.record(speeds[name] / 0.1, end_s)
            stats.record_time((end_s - sent_s) / 0.1, end_s)
            times[name].append(end_s - sent_s)
        vm = rng.randrange(len(vms))
        name = searcher_selection.choose(vms[vm].items(), now_s, rng) or ""
        first = slots[name].index(min(slots[name]))
        end_s = max(now_s, slots[name][first]) + speeds[name]
        slots[name][first] = end_s
        vms[vm][name].in_flight += 1
        running[name].append(end_s)
        heapq.heappush(ends, (end_s, now_s, vm, name))
    means = {name: sum(each) / len(each) for name, each in times.items()}
    assert means["fast"] < min(means["slow-1"], means["slow-2"])
    assert len(times["fast"]) > max(len(times["slow-1"]), len(times["slow-2"]))


def test_the_own_zone_is_left_if_its_answer_would_take_too_long() -> None:
    """Guards against calls between zones that no caller would notice.

    A searcher in the own zone takes 3.5 times as long as usual. It is used for
    requests whose target leaves the time, not for urgent ones.
    """
    near, far = make_stats(same_zone=True), make_stats()
    for stats, figure in ((near, 3.5), (far, 1.0)):
        for number in range(40):
            stats.server.record(figure, number / 10)
            stats.record_time(figure, number / 10)
    records = {"near": near, "far": far}
    chosen: list[str | None] = []
    for target_s in (0.133, 0.045):
        tolerance = searcher_selection.compute_same_zone_tolerance(
            target_s, 0.013
        )
        chosen.append(
            searcher_selection.choose(
                records.items(), 4.0, random.Random(1), tolerance
            )
        )
    assert chosen == ["near", "far"]


def test_the_target_does_not_matter_with_three_figures() -> None:
    """Guards against changes for searchers that don't report slowness."""
    near = make_stats(same_zone=True)
    near.relative_time = 3.5
    assert searcher_selection.compute_cost(
        near, 0.0, searcher_selection.MAX_SAME_ZONE_TOLERANCE
    ) == searcher_selection.compute_cost(near, 0.0)


def test_work_leaves_a_zone_by_what_it_has_too_much() -> None:
    """Guards against a zone that is left, or returned to, at once.

    The more calls come, the more leave the zone, step by step.
    """
    near, far = make_stats(same_zone=True), make_stats()
    records = {"near": near, "far": far}
    for stats in records.values():
        stats.server.record(1.0, 0.0)
    counts: list[int] = []
    for load in range(9):
        rng = random.Random(1)
        near.in_flight = far.in_flight = 0
        for _ in range(load):
            name = searcher_selection.choose(records.items(), 0.1, rng) or ""
            records[name].in_flight += 1
        counts.append(far.in_flight)
    assert counts[:3] == [0, 0, 0], "its slots are free"
    assert counts[-1] >= 3
    for less, more in itertools.pairwise(counts):
        assert 0 <= more - less <= 1
