"""Tests of the Prometheus text format of the metrics."""

from __future__ import annotations

from azureramp import account_metrics, exposition, metrics


def test_counters_gauges_and_histograms_are_shown() -> None:
    values = metrics.Metrics()
    values.count("call.sent", 3)
    values.set_gauge("vm.advertised", 5)
    for took_ms in (1.0, 7.0, 9000.0):
        values.record_ms("call.took_ms", took_ms)
    lines = exposition.render(values).decode().splitlines()
    assert "# TYPE azureramp_call_sent counter" in lines
    assert "azureramp_call_sent 3" in lines
    assert "azureramp_vm_advertised 5" in lines
    assert 'azureramp_call_took_ms_bucket{le="1"} 1' in lines
    assert 'azureramp_call_took_ms_bucket{le="10"} 2' in lines
    assert 'azureramp_call_took_ms_bucket{le="+Inf"} 3' in lines
    assert "azureramp_call_took_ms_count 3" in lines
    assert not any("azureramp_vm_members" in line for line in lines)


def test_outcomes_by_account_have_escaped_labels() -> None:
    values = metrics.Metrics()
    values.account_outcomes.count("two words", "complete")
    values.account_outcomes.count('q"\\', "shed")
    values.accounts.count("yard", "refused")
    lines = exposition.render(values).decode().splitlines()
    name = "azureramp_account_outcomes"
    assert f"# TYPE {name} counter" in lines
    assert f'{name}{{account="two words",reason="complete"}} 1' in lines
    assert f'{name}{{account="q\\"\\\\",reason="shed"}} 1' in lines
    assert (
        'azureramp_account_requests{account="yard",decision="refused"} 1'
        in lines
    )


def test_number_of_account_series_is_bounded() -> None:
    """Guards against metrics that grow with the number of accounts."""
    counts = account_metrics.AccountCounts(max_names=10)
    for round_number in range(20):
        for number in range(500):
            counts.count(f"small-{number}", "complete")
        for number in range(4):
            for _ in range(100):
                counts.count(f"large-{number}", "complete")
        counts.count("limited", "account_limit", near_limit=True)
        names = {name for name, _ in counts.counts}
        assert len(names) <= 11
        if round_number > 2:
            assert {f"large-{number}" for number in range(4)} <= names
    assert counts.counts.total() == 20 * (500 + 400 + 1)
