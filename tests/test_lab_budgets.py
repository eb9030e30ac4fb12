"""Budgets in the lab: parts dealt out by one who sees all demand, and what comes in unevenly."""

from collections import Counter

import pytest

from flintridge.config.faults import ConfigFaults
from flintridge.lab.backend.virtual import VirtualPeers
from flintridge.lab.fabric import DayClock
from flintridge.lab.partial.oracle import Dealing, Oracle, parts
from flintridge.lab.partial.rig import Rig
from flintridge.lab.records import Asked, Log
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Budgets, Peers
from flintridge.settings import BudgetsConfig

NODES = ("n0", "n1", "n2", "n3")


class HandClock:
    """A DayClock whose hand the test moves."""

    def __init__(self) -> None:
        self.at = 0.0
        self.due = []

    def now(self):
        return self.at

    def call_later(self, ms, call, *args):
        self.due.append((self.at + ms, call, args))

    def to(self, at):
        self.at = at
        due, self.due = self.due, []
        for _, call, args in due:
            call(*args)


class Told:
    """A node that keeps what it is told."""

    def __init__(self, name: str) -> None:
        self.config, self.core, self.name = self, self, name
        self.events = []

    def told(self, event):
        self.events.append(event)


def asked(t, node, tenant, nth=0):
    return Asked(
        t=t, node=node, conn=1, uid=f"{t}{node}", first="", nth=nth, due=t, cls="read", tenant=tenant,
        key="k", write=False, wait_ms=1.0,
    )  # fmt: skip


def test_parts_follow_demand_and_add_up_to_the_number_of_nodes():
    dealt = parts(Counter(n0=30, n1=10), NODES)
    assert dealt == {"n0": 3.0, "n1": 1.0, "n2": 0.0, "n3": 0.0}
    assert parts(Counter(), NODES) == dict.fromkeys(NODES, 1.0)
    assert sum(parts(Counter(n0=1, n1=7, n3=3), NODES).values()) == pytest.approx(len(NODES))


@pytest.mark.parametrize("dealing", [Dealing(tenants=True), Dealing(floors=True), Dealing(True, True)])
def test_the_oracle_tells_each_node_its_part_of_what_is_dealt_and_even_parts_of_the_rest(dealing):
    log, clock = Log(), HandClock()
    typed: DayClock = clock
    oracle = Oracle(dealing, log, typed, NODES, ["a", "b"])
    nodes = [Told(name) for name in NODES]
    for node in nodes:
        oracle.plant(node)
        assert node.events[0].tenants == (dict.fromkeys((0, 1), 1.0) if dealing.tenants else {})
    for t in range(8):
        log.add(asked(t, "n0", "a"))
        log.add(asked(t, "n1", "b"))
    log.add(asked(9.0, "n2", "a", nth=1))  # tried again: it is no new demand
    clock.to(1000.0)
    first = nodes[0].events[-1]
    assert first.tenants == ({0: 4.0, 1: 0.0} if dealing.tenants else {})
    assert first.floors == (2.0 if dealing.floors else 1.0)
    assert nodes[2].events[-1].floors == (0.0 if dealing.floors else 1.0)
    clock.to(3500.0)  # nobody asked of late
    assert nodes[0].events[-1].floors == 1.0 and len(nodes[0].events) == 3


def test_a_day_is_dealt_out_and_stays_sound():
    small = ["length_s=2", "warmup_s=1", "load.rate_per_s=100", "nodes.count=4", "servers[0].count=1"]
    day = load("uneven", small)
    plain, dealt = play(day, 1), play(day, 1, dealing=Dealing(True, True))
    assert dealt.ended == "whole" and not dealt.broken and dealt.digest != plain.digest
    assert dealt.requests == plain.requests and not plain.broken
    with pytest.raises(ValueError, match="dealing: on the virtual backend only"):
        play(day, 1, backend="loopback", dealing=Dealing())


def test_a_tenant_of_a_zone_comes_to_its_nodes_alone(tmp_path):
    small = ["length_s=2", "warmup_s=1", "load.rate_per_s=100", "nodes.count=4"]
    day = load("uneven", [*small, "tenants[1].zone='west'"])
    events = tmp_path / "events.jsonl"
    play(day, 1, events=events)
    lines = [line for line in events.read_text().splitlines() if '"what":"asked"' in line]
    west = ('"node":"n1"', '"node":"n3"')
    within = [line for line in lines if '"tenant":"within"' in line]
    assert within and all(any(node in line for node in west) for line in within)
    assert any('"node":"n0"' in line for line in lines)
    with pytest.raises(ConfigFaults, match=r"tenants\[1\].zone: there is no zone 'moon'"):
        load("uneven", ["tenants[1].zone='moon'"])


# The table [budgets] of a scenario


@pytest.mark.parametrize(
    ("table", "said"),
    [
        ("tenants=true", None),
        ("floors=true, strict=true", "budgets.strict: quotas are not shared"),
        ("floor=0.5", "budgets: nothing is switched on; one of tenants, floors"),
        ("floors=true, bytes_per_s=5000", "allowed is up to 4000"),
        ("origin_places=3", "allowed is 0, or at least 10"),
        ("origin_places=40, lease_ms=2000", "allowed is 2500 and more"),
        ("floor=0", "budgets.floor: 0: must be"),
    ],
)
def test_budgets_that_no_node_could_share_are_refused_in_a_scenario(table, said):
    changes = ["peers={}", f"budgets={{{table}}}"]
    if said is None:
        assert load("uneven", changes).budgets == Budgets(tenants=True)
        changes, said = changes[1:], "budgets: parts are lent to nodes that are heard"
    with pytest.raises(ConfigFaults) as raised:
        load("uneven", changes)
    assert said in str(raised.value)
    with pytest.raises(ConfigFaults, match=r"budgets\.tenants: no tenant has a quota_per_s"):
        load("uneven", ["peers={}", "budgets={tenants=true}", "tenants=[]"])


def test_a_scenarios_budgets_are_the_nodes_own_with_the_same_defaults():
    part = Budgets(tenants=True, strict=True, lease_ms=2000.0)
    peers = VirtualPeers(Peers(), NODES, bytes, part)
    assert peers.shared() == BudgetsConfig(tenants=True, strict=True, lease_ms=2000.0)
    assert VirtualPeers(Peers(), NODES, bytes).shared() is None
    assert Rig(2, budgets=part).scenario.budgets == part


def test_nodes_of_a_day_lend_one_another_what_the_scenario_says():
    small = ["length_s=3", "warmup_s=3", "load.rate_per_s=120", "nodes.count=4", "servers[0].count=1"]
    day = load("uneven", [*small, "peers={}", "budgets={tenants=true, floors=true}"])
    result = play(day, 1)
    assert result.ended == "whole" and not result.broken
    assert all(counts["log_budgets"] == 1 for counts in result.counters.values())
