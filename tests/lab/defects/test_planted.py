"""The judge reports each planted defect by one of its rules, and nothing for a node without a defect."""

import msgspec
import pytest

from flintridge.lab.defects import DEFECTS
from flintridge.lab.judge.verdict import RULES

SEED = 3
# One defect for each distinct scenario: defects with the same scenario share one run without a defect.
SCENARIOS = {msgspec.json.encode(d.scenario("day")): name for name, d in reversed(DEFECTS.items())}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_defect_has_a_description_existing_rules_and_a_scenario(name):
    defect = DEFECTS[name]
    assert defect.description
    assert defect.detecting_rules <= set(RULES)
    assert defect.scenario(name).name == name


@pytest.mark.parametrize("name", list(DEFECTS))
def test_judge_when_a_defect_is_planted_then_reports_it_by_one_of_its_rules(name):
    from flintridge.lab.run import play

    result = play(DEFECTS[name].scenario(name), SEED, defect=name)
    assert sum(result.rules[rule] for rule in DEFECTS[name].detecting_rules), result.rules
    detected = [
        violation for violation in result.violations if violation.rule in DEFECTS[name].detecting_rules
    ]
    assert detected and all(violation.text and violation.records for violation in detected)


@pytest.mark.parametrize("name", sorted(SCENARIOS.values()))
def test_judge_when_no_defect_is_planted_then_reports_no_violation(name):
    from flintridge.lab.run import play

    result = play(DEFECTS[name].scenario(name), SEED)
    assert {rule: count for rule, count in result.rules.items() if count} == {}, result.violations[:2]
