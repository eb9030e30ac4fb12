"""Budgets in the lab: parts dealt out by one who sees all demand, and what comes in unevenly."""

from collections import Counter

import msgspec
import pytest

from flintridge.config.faults import ConfigFaultsError
from flintridge.config.node_config import BudgetsConfig
from flintridge.lab import records as r
from flintridge.lab.backend.virtual import VirtualPeers
from flintridge.lab.fabric import RunClock
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import fleet_limits as rules
from flintridge.lab.partial.oracle import Dealing, Oracle, parts
from flintridge.lab.partial.rig import Rig
from flintridge.lab.partial.views import held_of
from flintridge.lab.records import RecordLog, RequestSent
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Budgets, Peers, Scenario

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

    def notify(self, event):
        self.events.append(event)


def asked(t, node, tenant, nth=0):
    return RequestSent(
        at_ms=t,
        node=node,
        connection=1,
        request_id=f"{t}{node}",
        first_request_id="",
        attempt_number=nth,
        scheduled_ms=t,
        class_name="read",
        tenant=tenant,
        key="k",
        write=False,
        time_left_ms=1.0,
    )


def test_parts_follow_demand_and_add_up_to_the_number_of_nodes():
    dealt = parts(Counter(n0=30, n1=10), NODES)
    assert dealt == {"n0": 3.0, "n1": 1.0, "n2": 0.0, "n3": 0.0}
    assert parts(Counter(), NODES) == dict.fromkeys(NODES, 1.0)
    assert sum(parts(Counter(n0=1, n1=7, n3=3), NODES).values()) == pytest.approx(len(NODES))


@pytest.mark.parametrize("dealing", [Dealing(tenants=True), Dealing(floors=True), Dealing(True, True)])
def test_the_oracle_tells_each_node_its_part_of_what_is_dealt_and_even_parts_of_the_rest(dealing):
    log, clock = RecordLog(), HandClock()
    typed: RunClock = clock
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
    assert first.concurrency_floors == (2.0 if dealing.floors else 1.0)
    assert nodes[2].events[-1].concurrency_floors == (0.0 if dealing.floors else 1.0)
    clock.to(3500.0)  # nobody asked of late
    assert nodes[0].events[-1].concurrency_floors == 1.0 and len(nodes[0].events) == 3


def test_a_day_is_dealt_out_and_stays_sound():
    small = ["length_s=2", "warmup_s=1", "load.rate_per_s=100", "nodes.count=4", "servers[0].count=1"]
    day = load("uneven", small)
    plain, dealt = play(day, 1), play(day, 1, dealing=Dealing(True, True))
    assert dealt.end_reason == "whole" and not dealt.violation_count and dealt.digest != plain.digest
    assert dealt.requests == plain.requests and not plain.violation_count
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
    with pytest.raises(ConfigFaultsError, match=r"tenants\[1\].zone: there is no zone 'moon'"):
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
    with pytest.raises(ConfigFaultsError) as raised:
        load("uneven", changes)
    assert said in str(raised.value)
    with pytest.raises(ConfigFaultsError, match=r"budgets\.tenants: no tenant has a quota_per_s"):
        load("uneven", ["peers={}", "budgets={tenants=true}", "tenants=[]"])


def test_a_scenarios_budgets_are_the_nodes_own_with_the_same_defaults():
    part = Budgets(tenants=True, strict=True, lease_ms=2000.0)
    peers = VirtualPeers(Peers(), NODES, bytes, part)
    assert peers.shared() == BudgetsConfig(tenants=True, strict=True, lease_ms=2000.0)
    assert VirtualPeers(Peers(), NODES, bytes).shared() is None
    assert Rig(2, budgets=part).scenario.budgets == part


def test_nodes_of_a_day_lend_one_another_what_the_scenario_says(tmp_path):
    small = ["length_s=3", "warmup_s=5", "load.rate_per_s=120", "nodes.count=4", "servers[0].count=1"]
    day = load("uneven", [*small, "peers={}", "budgets={tenants=true, floors=true}"])
    result = play(day, 1, events=tmp_path / "events.jsonl")
    assert result.end_reason == "whole" and not result.violation_count
    with (tmp_path / "events.jsonl").open("rb") as lines:
        seen = [record for record in r.read_records(lines) if isinstance(record, r.LeaseReported)]
    assert {one.limit_name for one in seen} == {"quota flood", "quota within", "quota small", "floors"}
    assert any(one.lent for one in seen) and any(one.borrowed for one in seen)
    assert all(counts["log_leases_started"] == 1 for counts in result.counters.values())


# The rules


def world(count=4, strict=True, **more):
    raw = {
        "nodes": {"count": count},
        "peers": {},
        "budgets": {"tenants": True, "strict": strict},
        "tenants": [{"name": "a", "quota_per_s": 20.0}, {"name": "free"}],
        "length_s": 20.0,
        **more,
    }
    return msgspec.convert(raw, Scenario)


def held(t, node, usable, budget="quota a", **more):
    values = {"incarnation": f"l{node}", "allocated": 1.0, "lent": 0.0, "borrowed": 0.0}
    return r.LeaseReported(at_ms=t, node=node, limit_name=budget, usable=usable, **(values | more))


def said(t, node, state):
    return r.NodeStateChanged(at_ms=t, node=node, state=state)


def got_in(t, node="n0", tenant="a", sent=True):
    """A request that gets to a server, or is refused."""
    uid = f"{tenant}{node}{t}"
    found = [
        r.RequestSent(
            at_ms=t,
            node=node,
            connection=1,
            request_id=uid,
            first_request_id=uid,
            attempt_number=0,
            scheduled_ms=t,
            class_name="read",
            tenant=tenant,
            key="k",
            write=False,
            time_left_ms=500.0,
        )
    ]
    if sent:
        found.append(
            r.AttemptReceived(
                at_ms=t + 2,
                started_ms=t + 1,
                node=node,
                server="s1",
                is_origin=False,
                connection=1,
                attempt_id=next(numbers),
                request_id=uid,
                key="k",
                write=False,
                time_left_ms=400.0,
            )
        )
    return found


numbers = iter(range(1, 1 << 30))


def broken(records, scenario, backend="virtual"):
    findings = Findings(rules.RULES)
    rules.check(History(sorted(records, key=lambda record: record.at_ms), scenario, backend), findings)
    return findings.counts, [breach.text for breach in findings.violations]


def starts(count=4):
    return [said(-5000.0, f"n{i}", "started") for i in range(count)]


def test_what_all_may_use_is_never_more_than_there_are_nodes_at_one_instant():
    lawful = [held(500.0, "n0", 2.5), held(500.0, "n1", 0.25), held(500.0, "n2", 0.25), held(500.0, "n3", 1)]
    other = [held(500.0, "n0", 4.0, "floors"), held(1000.0, "n0", 4.0)]  # another budget, another instant
    assert broken([*starts(), *lawful, *other], world())[0]["budget_sum"] == 0
    over = [*lawful, held(500.0, "n3", 0.01)]
    counts, texts = broken([*starts(), *over], world())
    assert counts["budget_sum"] == 1
    assert texts == ["5 processes may use 4.010 parts of quota a; there are 4"]
    # Consoles that are asked one after another may show a loan at both ends.
    assert broken([*starts(), *over], world(), "loopback")[0]["budget_sum"] == 0


# A quota of 20 lets 30 a second in; 30 more and 8 for each of 4 processes in a row, and 15.5 for each process
# that first sees the tenant: 15.5 here, as only n0 does.
ROW = 30 + 4 * 8 + 15


@pytest.mark.parametrize(
    ("count", "seconds", "over"),
    [(30 + ROW, 1.0, 0), (30 + ROW + 1, 1.0, 1), (60 + ROW, 2.0, 0), (60 + ROW + 1, 2.0, 1)],
)
def test_no_more_of_a_tenant_gets_to_servers_than_its_quota_lets_in(count, seconds, over):
    day = [one for i in range(count) for one in got_in(1000.0 + i * seconds * 1000 / count)]
    counts, texts = broken([*starts(), *day], world())
    assert counts["quota_sum"] == over and len(texts) == over
    assert all(f"{count} requests of a asked within {seconds:g} s" in text for text in texts)
    # The same of a tenant without a quota, what got to no server, and where the rest may use what is free.
    free = [one for i in range(count) for one in got_in(1000.0 + i, tenant="free")]
    unsent = [one for i in range(count) for one in got_in(1000.0 + i, sent=False)]
    assert broken([*starts(), *free, *unsent], world())[0]["quota_sum"] == 0
    assert broken([*starts(), *day], world(strict=False))[0]["quota_sum"] == 0


def test_each_process_that_begins_has_a_bucket_of_its_own():
    begun = [*got_in(500.0), *got_in(501.0, "n1")]  # the window below holds neither first request
    crowd = [one for i in range(30 + ROW - 15) for one in got_in(3000.0 + i * 10)]
    assert broken([*starts(), *begun, *crowd], world())[0]["quota_sum"] == 0
    more = [one for i in range(30) for one in got_in(3000.0 + i * 10, "n1")]
    counts, _ = broken([*starts(), *begun, *crowd, *more], world())
    assert counts["quota_sum"] >= 1
    again = [said(2500.0, "n1", "killed"), said(2600.0, "n1", "started")]
    fewer = [one for i in range(14) for one in got_in(3000.0 + i * 10, "n1")]
    assert broken([*starts(), *begun, *crowd, *fewer], world())[0]["quota_sum"] == 1
    assert broken([*starts(), *begun, *again, *crowd, *fewer], world())[0]["quota_sum"] == 0


def test_what_a_console_tells_of_budgets_is_taken_down_in_even_parts():
    loan = {"to": "n1", "life": "2", "amount": 0.25, "ends_in_ms": 900}
    one = {"name": "floors", "usable": 0.75, "own": 1.0, "lent": [loan, loan], "borrowed": [loan]}
    assert held_of(500.0, "n0", {"life": "1", "budgets": [one]}) == [
        held(500.0, "n0", 0.75, "floors", lent=0.5, borrowed=0.25, incarnation="1")
    ]
