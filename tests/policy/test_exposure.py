"""Grants of requests to an unproven version, for many VMs."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp.policy import exposure

TERMS = exposure.ExposureLimit(share=0.1, fixed=50.0, stop_s=5.0)


def test_the_bound_grows_with_the_requests() -> None:
    assert exposure.count_allowed_requests(TERMS, 0) == 46
    assert exposure.count_allowed_requests(TERMS, 1000) == 138


def test_a_grant_expires_within_the_time_to_stop() -> None:
    assert exposure.ExposureLimit(0.1, 50, 1.0).get_grant_s() == 0.2
    assert TERMS.get_grant_s() == exposure.GRANT_VALIDITY_S


def test_a_vm_without_requests_gets_at_most_one_call() -> None:
    ledger = exposure.GrantLedger(TERMS, 0, 0)
    for number in range(10):
        ledger.record_report("busy", 20 * number, 0, number * 0.2)
        ledger.record_report("idle", 0, 0, number * 0.2)
    assert exposure.compute_share(ledger, "idle", 20, 1.0) <= 1
    assert exposure.compute_share(ledger, "busy", 20, 1.0) == 20


def test_a_new_driver_counts_what_earlier_ones_may_have_granted() -> None:
    """Guards against a driver's crash that resets the count of requests."""
    ledger = exposure.GrantLedger(TERMS, 30, 400)
    ledger.record_report("vm", 390, 25, 0.0)
    assert ledger.count_used() == 30
    assert ledger.requests == 400
    ledger.record_report("vm", 400, 27, 0.2)
    assert ledger.count_used() == 32
    assert ledger.requests == 410


class Process:
    """A process of a VM that sends calls within its grants."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.requests = 0
        self.spent = 0
        self.limit = 0
        self.valid_until_s = -1.0


class GrantsMachine(stateful.RuleBasedStateMachine):
    """VMs that report, miss answers and restart; drivers that are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.processes = [Process(f"vm-{number}") for number in range(3)]
        self.started = 3
        self.dead_spent = 0
        self.dead_requests = 0
        self.reserved = 0
        self.counted = 0
        self.ledger = exposure.GrantLedger(TERMS, 0, 0)

    def count_sent(self) -> int:
        return self.dead_spent + sum(each.spent for each in self.processes)

    def count_requests(self) -> int:
        alive = sum(each.requests for each in self.processes)
        return self.dead_requests + alive

    @stateful.rule(seconds=st.floats(0.01, 1.5))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @stateful.rule(which=st.integers(0, 2), requests=st.integers(1, 60))
    def send(self, which: int, requests: int) -> None:
        process = self.processes[which]
        process.requests += requests
        if self.now_s < process.valid_until_s:
            left = process.limit - process.spent
            process.spent += max(0, min(left, requests))

    @stateful.rule(which=st.integers(0, 2), lost=st.booleans())
    def report(self, which: int, lost: bool) -> None:
        process = self.processes[which]
        self.ledger.record_report(
            process.name, process.requests, process.spent, self.now_s
        )
        allowed = exposure.count_allowed_requests(TERMS, self.ledger.requests)
        left = max(0, allowed - self.ledger.count_used())
        wanted = exposure.compute_share(
            self.ledger, process.name, left, TERMS.get_grant_s()
        )
        limit = self.ledger.grant(process.name, wanted, self.now_s)
        # The driver stores its grants before it answers.
        self.reserved = max(self.reserved, self.ledger.count_used())
        self.counted = self.ledger.requests
        if not lost:
            process.limit = limit
            process.valid_until_s = self.now_s + TERMS.get_grant_s()

    @stateful.rule(which=st.integers(0, 2))
    def restart(self, which: int) -> None:
        process = self.processes[which]
        self.dead_spent += process.spent
        self.dead_requests += process.requests
        self.processes[which] = Process(f"vm-{self.started}")
        self.started += 1

    @stateful.rule()
    def replace_driver(self) -> None:
        for process in self.processes:
            # A VM uses only the grants of the new driver.
            process.valid_until_s = -1.0
        self.ledger = exposure.GrantLedger(TERMS, self.reserved, self.counted)

    @stateful.invariant()
    def check_bound(self) -> None:
        requests = self.count_requests()
        assert self.count_sent() <= TERMS.share * requests + TERMS.fixed


TestGrants = GrantsMachine.TestCase
TestGrants.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60
)
