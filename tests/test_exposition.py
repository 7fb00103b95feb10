"""Tests of the Prometheus text format of the metrics."""

from __future__ import annotations

from azureramp import exposition, metrics


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
