"""Regression tests with scenarios that a search found and that were then shrunk. Their defects are fixed.

Each file of `tests/kept_days` is an ordinary scenario. Its name is RULE_WORDS-SEED.toml (with `goodput` as
the rule for a scenario with too low a goodput, which then expects a higher one). Its `about` describes the
defect. To play one manually: `flintridge lab run tests/kept_days/FILE --seed SEED`.
"""

from pathlib import Path

import pytest

from flintridge.lab.run import play
from flintridge.lab.scenario.load import load

KEPT_SCENARIOS = sorted((Path(__file__).parents[2] / "kept_days").glob("*.toml"))


def test_kept_scenarios_exist():
    """Guards against a checkout without the directory: without scenarios, no other test would fail."""
    assert len(KEPT_SCENARIOS) >= 4


@pytest.mark.parametrize("path", KEPT_SCENARIOS, ids=lambda path: path.stem)
def test_a_kept_scenario_violates_no_rule(path):
    rule, _, seed = path.stem.rpartition("-")
    result = play(load(path), int(seed))
    rule_name = rule.split("_")[0]
    assert result.requests and (rule_name in result.rules or rule_name == "goodput")
    assert result.violation_count == 0, result.violations[:3]
    assert result.expectation == ""
