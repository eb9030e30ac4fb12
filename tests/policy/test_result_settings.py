"""Settings by which results are counted change no decision: callers do not get more by them, nor sooner."""

import re
from dataclasses import replace

import pytest
from support.paths import ROOT
from support.policy import MS, actions_under_load, settings

from flintridge import api

FIGURE = re.compile(r"^([A-Z][A-Z0-9_]+)(?:\s*:[^=\n]+)?\s*=\s*-?[0-9]", re.MULTILINE)
UNITS = ("NS_PER_", "FIXED_POINT_", "NUMBER_MASK", "LOW_BITS")


def with_classes(**changes) -> dict[str, object]:
    return {"classes": tuple(replace(each, **changes) for each in settings().classes)}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "changes",
    [
        with_classes(latency_objective_ns=20 * MS),
        with_classes(latency_objective_ns=2000 * MS),
        with_classes(late_weight_fraction=0.7),
        with_classes(objective_work_factor=3.0),
        {"prices": api.Prices(waste=0.9, late_fail=0.9, cross_zone=0.9, origin=0.9, handshake=0.9)},
        {"goal": api.Goal(whole=0.1, worst_window=0.9, worst_class=0.5, tail=0.5)},
        {"weight_by_work": True},
        {"over_quota_weight": 0.01},
    ],
    ids=lambda changes: ",".join(changes),
)
def test_no_decision_depends_on_how_results_are_counted(seed, changes):
    """Guards callers in overload against waits, rejections and an order that only improve a score."""
    assert actions_under_load(seed, **changes) == actions_under_load(seed)


def test_each_figure_of_the_policy_has_its_reason_on_the_design_page():
    page = (ROOT / "docs/design/policy.md").read_text()
    figures = [
        name
        for path in sorted((ROOT / "flintridge/policy").glob("*.py"))
        for name in FIGURE.findall(path.read_text())
        if not name.startswith(UNITS)
    ]
    assert len(figures) > 60
    assert [name for name in figures if f"`{name}`" not in page] == []
