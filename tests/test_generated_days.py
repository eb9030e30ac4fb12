"""Settings of other customers, drawn by seed, through the module and whole nodes: every rule holds.

The seeds beside the first few are days that broke one, or seemed to, when hundreds were played.
"""

import pytest
from support.generated_days import generated_scenario

from flintridge.lab.run import play
from flintridge.lab.scenario.model import Scenario

# SIGHUP as a process starts; a new server at the address of one that is listed; an id that was free again
FOUND = (76, 100, 175, 230, 334)


@pytest.mark.parametrize("seed", [*range(1, 13), *FOUND])
def test_no_rule_is_broken_whatever_the_customer_set(seed):
    result = play(generated_scenario(seed), seed)
    assert result.end_reason == "whole" and result.violations == [] and result.violation_count == 0
    assert result.requests and result.served


def test_the_days_cover_what_customers_may_set():
    """Guards against a generator that leaves something out and so proves nothing about it."""
    days = [generated_scenario(seed) for seed in range(1, 13)]
    assert all(isinstance(one, Scenario) for one in days)
    assert {cls.effect for one in days for cls in one.classes} == {"safe", "keyed", "unsafe"}
    assert {cls.deduplication_scope for one in days for cls in one.classes} == {"all", "zone", "cell"}
    assert {len(one.zones) for one in days} == {1, 2, 3}
    assert any(cls.deadline_ms < 600 for one in days for cls in one.classes)
    assert any(cls.deduplication_window_ms < cls.deadline_ms / 2 for one in days for cls in one.classes)
    assert any(not one.tenants for one in days) and any(one.tenants for one in days)
    assert {one.limits.max_attempts for one in days} >= {1, 2}
