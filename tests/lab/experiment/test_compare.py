"""Two variants of a scenario, paired by seed."""

import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment.compare import Variant, as_json, compare
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def test_compare_pairs_by_seed_and_tells_a_rule_that_breaks_in_b_alone():
    calm, crash = Scenario(), Scenario(faults=(model.Crash(count=1),))
    found = compare(
        Variant(label="a", scenario=calm), Variant(label="b", scenario=crash), [1, 2, 3, 4], runner=fake
    )
    goodput = found.metrics[0]
    assert (goodput.mean, goodput.low, goodput.high) == pytest.approx((-0.1, -0.1, -0.1))
    assert goodput.verdict == "worse" and not found.sound
    assert next((rule.name, rule.a, rule.b, rule.new) for rule in found.rules) == ("drain", 0, 4, True)
    back = compare(Variant(label="b", scenario=crash), Variant(label="a", scenario=calm), [1, 2], runner=fake)
    assert back.sound and as_json(back)["figures"][0]["verdict"] == "unsure"
    half = compare(
        Variant(label="a", scenario=calm),
        Variant(label="x", scenario=Scenario(about="raise")),
        [1],
        runner=fake,
    )
    assert not half.pairs and not half.sound and "ValueError" in half.failures[0]
