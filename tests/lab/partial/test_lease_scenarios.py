"""Leases of limits in scenarios: validation of the tables, and the leases in a run."""

import pytest

from flintridge.config.faults import ConfigFaultsError
from flintridge.config.node_config import BudgetsConfig
from flintridge.lab.backend.virtual.peers import VirtualPeers
from flintridge.lab.partial.rig import Rig
from flintridge.lab.record_log import read_records
from flintridge.lab.records import LeaseReported
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Budgets, Peers

NODES = ("n0", "n1", "n2", "n3")


def test_requests_of_a_tenant_with_a_zone_reach_only_nodes_of_that_zone(tmp_path):
    small = ["length_s=2", "warmup_s=1", "load.rate_per_s=100", "nodes.count=4"]
    scenario = load("uneven", [*small, "tenants[1].zone='west'"])
    events = tmp_path / "events.jsonl"
    play(scenario, 1, events=events)
    lines = [line for line in events.read_text().splitlines() if '"what":"asked"' in line]
    west = ('"node":"n1"', '"node":"n3"')
    within = [line for line in lines if '"tenant":"within"' in line]
    assert within
    assert all(any(node in line for node in west) for line in within)
    assert any('"node":"n0"' in line for line in lines)
    with pytest.raises(ConfigFaultsError, match=r"tenants\[1\].zone: there is no zone 'moon'"):
        load("uneven", ["tenants[1].zone='moon'"])


# The table [budgets]


@pytest.mark.parametrize(
    ("table", "message"),
    [
        ("tenants=true", None),
        ("floors=true, strict=true", "budgets.strict: quotas are not leased"),
        ("floor=0.5", "budgets: no limit is enabled; one of tenants, floors"),
        ("floors=true, bytes_per_s=5000", "allowed is up to 4000"),
        ("origin_places=3", "allowed is 0, or at least 10"),
        ("origin_places=40, lease_ms=2000", "allowed is 2500 and more"),
        ("floor=0", "budgets.floor: 0: must be"),
    ],
)
def test_scenario_with_budgets_that_nodes_cannot_lease_is_rejected(table, message):
    changes = ["peers={}", f"budgets={{{table}}}"]
    if message is None:
        assert load("uneven", changes).budgets == Budgets(tenants=True)
        changes = changes[1:]
        message = "budgets: nodes lease limits to their peers only"
    with pytest.raises(ConfigFaultsError) as raised:
        load("uneven", changes)
    assert message in str(raised.value)
    with pytest.raises(ConfigFaultsError, match=r"budgets\.tenants: no tenant has a quota_per_s"):
        load("uneven", ["peers={}", "budgets={tenants=true}", "tenants=[]"])


def test_nodes_are_configured_with_the_budgets_of_the_scenario_and_the_same_defaults():
    budgets = Budgets(tenants=True, strict=True, lease_ms=2000.0)
    peers = VirtualPeers(Peers(), NODES, bytes, budgets)
    assert peers.shared() == BudgetsConfig(tenants=True, strict=True, lease_ms=2000.0)
    assert VirtualPeers(Peers(), NODES, bytes).shared() is None
    assert Rig(2, budgets=budgets).scenario.budgets == budgets


def test_nodes_in_a_run_lease_one_another_the_limits_of_the_scenario(tmp_path):
    small = ["length_s=3", "warmup_s=5", "load.rate_per_s=120", "nodes.count=4", "servers[0].count=1"]
    scenario = load("uneven", [*small, "peers={}", "budgets={tenants=true, floors=true}"])
    result = play(scenario, 1, events=tmp_path / "events.jsonl")
    assert result.end_reason == "whole"
    assert not result.violation_count
    with (tmp_path / "events.jsonl").open("rb") as lines:
        reports = [record for record in read_records(lines) if isinstance(record, LeaseReported)]
    assert {report.limit_name for report in reports} == {
        "quota flood",
        "quota within",
        "quota small",
        "floors",
    }
    assert any(report.lent for report in reports)
    assert any(report.borrowed for report in reports)
    assert all(counts["log_leases_started"] == 1 for counts in result.counters.values())
