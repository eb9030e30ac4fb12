"""The allocation oracle: fractions of limits in proportion to the demand at all nodes."""

from collections import Counter

import pytest

from flintridge.lab.fabric import RunClock
from flintridge.lab.partial.allocation_oracle import (
    AllocationMode,
    AllocationOracle,
    proportional_fractions,
)
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import RequestSent
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load

NODES = ("n0", "n1", "n2", "n3")


class ManualClock:
    """A RunClock that the test advances."""

    def __init__(self) -> None:
        self.at = 0.0
        self.scheduled = []

    def now(self):
        return self.at

    def call_later(self, ms, call, *args):
        self.scheduled.append((self.at + ms, call, args))

    def advance_to(self, at):
        self.at = at
        scheduled = self.scheduled
        self.scheduled = []
        for _, call, args in scheduled:
            call(*args)


class RecordingNode:
    """A node that records the events it is notified of."""

    def __init__(self, name: str) -> None:
        self.config = self
        self.core = self
        self.name = name
        self.events = []

    def notify(self, event):
        self.events.append(event)


def request_sent(at_ms, node, tenant, attempt_number=0):
    return RequestSent(
        at_ms=at_ms,
        node=node,
        connection=1,
        request_id=f"{at_ms}{node}",
        first_request_id="",
        attempt_number=attempt_number,
        scheduled_ms=at_ms,
        class_name="read",
        tenant=tenant,
        key="k",
        write=False,
        time_left_ms=1.0,
    )


def test_fractions_follow_demand_and_add_up_to_the_number_of_nodes():
    fractions = proportional_fractions(Counter(n0=30, n1=10), NODES)
    assert fractions == {"n0": 3.0, "n1": 1.0, "n2": 0.0, "n3": 0.0}
    assert proportional_fractions(Counter(), NODES) == dict.fromkeys(NODES, 1.0)
    assert sum(proportional_fractions(Counter(n0=1, n1=7, n3=3), NODES).values()) == pytest.approx(len(NODES))


@pytest.mark.parametrize(
    "mode", [AllocationMode(tenants=True), AllocationMode(floors=True), AllocationMode(True, True)]
)
def test_oracle_notifies_each_node_of_fractions_by_demand_for_selected_limits_and_even_ones_otherwise(mode):
    log = RecordLog()
    clock = ManualClock()
    typed: RunClock = clock
    oracle = AllocationOracle(mode, log, typed, NODES, ["a", "b"])
    nodes = [RecordingNode(name) for name in NODES]
    for node in nodes:
        oracle.attach(node)
        assert node.events[0].tenants == (dict.fromkeys((0, 1), 1.0) if mode.tenants else {})
    for at_ms in range(8):
        log.add(request_sent(at_ms, "n0", "a"))
        log.add(request_sent(at_ms, "n1", "b"))
    log.add(request_sent(9.0, "n2", "a", attempt_number=1))  # a retry does not count as demand
    clock.advance_to(1000.0)
    first = nodes[0].events[-1]
    assert first.tenants == ({0: 4.0, 1: 0.0} if mode.tenants else {})
    assert first.concurrency_floors == (2.0 if mode.floors else 1.0)
    assert nodes[2].events[-1].concurrency_floors == (0.0 if mode.floors else 1.0)
    clock.advance_to(3500.0)  # all requests are older than the demand window
    assert nodes[0].events[-1].concurrency_floors == 1.0
    assert len(nodes[0].events) == 3


def test_run_with_an_oracle_serves_the_same_requests_and_violates_no_rule():
    small = ["length_s=2", "warmup_s=1", "load.rate_per_s=100", "nodes.count=4", "servers[0].count=1"]
    scenario = load("uneven", small)
    plain = play(scenario, 1)
    allocated = play(scenario, 1, allocation=AllocationMode(True, True))
    assert allocated.end_reason == "whole"
    assert not allocated.violation_count
    assert allocated.digest != plain.digest
    assert allocated.requests == plain.requests
    assert not plain.violation_count
    with pytest.raises(ValueError, match="allocation: on the virtual backend only"):
        play(scenario, 1, backend="loopback", allocation=AllocationMode())
