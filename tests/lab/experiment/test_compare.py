"""Tests of comparisons of two scenario variants, paired by seed."""

import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment.compare import Variant, as_json, compare
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def test_compare_pairs_runs_by_seed_and_reports_a_rule_that_is_broken_only_in_b():
    fault_free, crash = Scenario(), Scenario(faults=(model.Crash(count=1),))
    found = compare(
        Variant(label="a", scenario=fault_free), Variant(label="b", scenario=crash), [1, 2, 3, 4], runner=fake
    )
    goodput = found.metrics[0]
    assert (goodput.mean, goodput.low, goodput.high) == pytest.approx((-0.1, -0.1, -0.1))
    assert goodput.verdict == "worse" and not found.sound
    assert next((rule.name, rule.a, rule.b, rule.new) for rule in found.rules) == ("drain", 0, 4, True)
    reversed_comparison = compare(
        Variant(label="b", scenario=crash), Variant(label="a", scenario=fault_free), [1, 2], runner=fake
    )
    assert reversed_comparison.sound and as_json(reversed_comparison)["figures"][0]["verdict"] == "unsure"
    incomplete = compare(
        Variant(label="a", scenario=fault_free),
        Variant(label="x", scenario=Scenario(about="raise")),
        [1],
        runner=fake,
    )
    assert not incomplete.pairs and not incomplete.sound and "ValueError" in incomplete.failures[0]
