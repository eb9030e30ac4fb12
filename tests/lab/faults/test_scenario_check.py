"""The check of a scenario for contradictions, which are reported with their paths."""

import pytest
from msgspec.structs import replace
from support.lab_fleet import SCENARIO
from support.system_faults import day_of

from flintridge.lab.faults.check import check
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.load import load


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"faults": (m.Crash(at_s=30.0, count=1),)}, "faults[0].at_s"),
        ({"faults": (m.Crash(count=1), m.Crash(zone="north", count=1))}, "faults[1].zone"),
        ({"faults": (m.Crash(kind="origin", count=1),)}, "faults[0].kind"),
        ({"faults": (m.Crash(zone="east", kind="small", count=1),)}, "faults[0].zone"),
        ({"faults": (m.Crash(count=7),)}, "faults[0].count"),
        ({"faults": (m.Crash(),)}, "faults[0].share"),
        ({"faults": (m.Crash(ids=("s6",)),)}, "faults[0].ids[0]"),
        ({"faults": (m.Crash(ids=("s0",), zone="west"),)}, "faults[0].ids"),
        ({"faults": (m.Crash(ids=("s0",), count=1),)}, "faults[0].count"),
        ({"faults": (m.Resets(count=1, part=0.0),)}, "faults[0].part"),
        ({"faults": (m.Slowness(count=1, for_s=0.0),)}, "faults[0].for_s"),
        ({"faults": (m.ZoneLoss(zone="north"),)}, "faults[0].zone"),
        ({"faults": (m.Cut(zone="east", other="east"),)}, "faults[0].other"),
        ({"faults": (m.SlowLink(zone="east", other="north"),)}, "faults[0].other"),
        ({"faults": (m.NodeKill(nodes=(0, 2)),)}, "faults[0].nodes[1]"),
        ({"faults": (m.NodeRestart(count=0),)}, "faults[0].count"),
        ({"faults": (m.Burst(factor=1.0),)}, "faults[0].factor"),
        ({"zones": ("east", "west", "east")}, "zones"),
        ({"origin": m.Origin(zone="north")}, "origin.zone"),
        ({"origin": m.Origin(repeats_s=1.0)}, "classes[1].window_ms"),
        ({"discovery": m.Discovery(notice_s=(2.0, 1.0))}, "discovery.notice_s"),
        ({"kinds": (*SCENARIO.kinds, m.Kind(name="origin"))}, "kinds[2].name"),
        ({"kinds": (*SCENARIO.kinds, m.Kind(name="slow", cold_s=20.0))}, "kinds[2].cold_s"),
        ({"kinds": (*SCENARIO.kinds, m.Kind(name="weak", cold_from=0.1))}, "kinds[2].cold_from"),
        ({"servers": (m.Group(kind="huge"),)}, "servers[0].kind"),
        ({"servers": (m.Group(kind="big", count=0),)}, "servers"),
        ({"classes": (m.RequestClass(name="r", latency_objective_ms=3000.0),)}, "classes[0].aim_ms"),
        ({"tenants": (m.Tenant(name="a"), m.Tenant(name="a"))}, "tenants"),
    ],
)
def test_check_when_a_scenario_is_contradictory_then_reports_the_path(changes, path):
    [message] = check(replace(SCENARIO, **changes))
    assert message.startswith(f"{path}: ") and len(message) < 200


def test_check_when_a_scenario_is_sound_then_reports_nothing():
    faults = [m.Crash(for_s=0.0, share=0.001), m.Drain(for_s=0.0, kind="big"), m.Reload(), m.Churn()]
    faults += [m.NodeKill(for_s=0.0, nodes=(1, 0)), m.SlowLink(zone="east", other="east")]
    faults += [m.ZoneLoss(at_s=29.9, for_s=100.0, zone="east")]
    assert check(replace(SCENARIO, faults=faults)) == []
    assert check(m.Scenario()) == []


@pytest.mark.parametrize(
    ("fault", "path"),
    [
        (m.SystemCallErrors(call="accept", errors=("EPIPE",)), "faults[0].errors[0]"),
        (m.SystemCallErrors(call="read", errors=("EINTR", "EMFILE")), "faults[0].errors[1]"),
        (m.SystemCallErrors(call="socket", errors=("ENFILE",), nodes=(9,)), "faults[0].nodes[0]"),
        (m.ShortIo(count=9), "faults[0].count"),
        (m.ShortIo(part=0.0), "faults[0].part"),
        (m.Stall(for_s=0.0), "faults[0].for_s"),
        (m.ClockStep(seconds=0.0), "faults[0].seconds"),
        (m.ClockStep(seconds=5.0, nodes=(9,)), "faults[0].nodes[0]"),
        (m.FolderErrors(nodes=(9,)), "faults[0].nodes[0]"),
    ],
)
def test_check_when_a_system_fault_is_contradictory_or_has_no_effect_then_reports_the_path(fault, path):
    [message] = check(day_of(fault))
    assert message.startswith(f"{path}: ")


@pytest.mark.parametrize(
    "text",
    [
        'what = "stall", most_ms = 151',
        'what = "clock_step", seconds = 3601',
        'what = "clock_step"',
        'what = "short_io", most_bytes = 0',
        'what = "system_call_errors", call = "bind", errors = ["EINTR"]',
        'what = "system_call_errors", call = "read", errors = []',
    ],
)
def test_load_when_a_system_fault_is_out_of_range_then_rejects_it(text):
    with pytest.raises(Exception, match="faults"):
        load("calm", [f"faults=[{{{text}}}]"])
