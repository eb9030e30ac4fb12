"""Scenarios that the search kept, shrunk to the least that still went wrong: what they found is mended.

Each file of `tests/kept_days` is an ordinary scenario. Its name is RULE_WORDS-SEED.toml (`goodput` for one
that fell behind, which then expects more), and its `about` says what was wrong. To play one by hand:
`flintridge lab run tests/kept_days/FILE --seed SEED`.
"""

from pathlib import Path

import pytest

from flintridge.lab.run import play
from flintridge.lab.scenario.load import load

KEPT_SCENARIOS = sorted((Path(__file__).parents[2] / "kept_days").glob("*.toml"))


def test_kept_scenarios_are_there():
    """Guard against a folder missing in the checkout: with no scenario to play, no test would fail."""
    assert len(KEPT_SCENARIOS) >= 4


@pytest.mark.parametrize("path", KEPT_SCENARIOS, ids=lambda path: path.stem)
def test_a_kept_scenario_violates_no_rule(path):
    rule, _, seed = path.stem.rpartition("-")
    result = play(load(path), int(seed))
    kind = rule.split("_")[0]
    assert result.requests and (kind in result.rules or kind == "goodput")
    assert result.violation_count == 0, result.violations[:3]
    assert result.expectation == ""
