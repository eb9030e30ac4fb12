"""Each planted defect is caught, by the name of a rule, and a sound node is not on the same day."""

import msgspec
import pytest

from flintridge.lab.defects import DEFECTS
from flintridge.lab.judge.verdict import RULES

SEED = 3
# Defects that show on the same day share one sound run.
DAYS = {msgspec.json.encode(d.scenario("day")): name for name, d in reversed(DEFECTS.items())}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_each_defect_says_what_it_does(name):
    defect = DEFECTS[name]
    assert defect.description
    assert defect.detecting_rules <= set(RULES)
    assert defect.scenario(name).name == name


@pytest.mark.parametrize("name", list(DEFECTS))
def test_the_judge_catches(name):
    from flintridge.lab.run import play

    result = play(DEFECTS[name].scenario(name), SEED, defect=name)
    assert sum(result.rules[rule] for rule in DEFECTS[name].detecting_rules), result.rules
    proofs = [violation for violation in result.violations if violation.rule in DEFECTS[name].detecting_rules]
    assert proofs and all(violation.text and violation.records for violation in proofs)


@pytest.mark.parametrize("name", sorted(DAYS.values()))
def test_a_sound_node_breaks_no_rule(name):
    from flintridge.lab.run import play

    result = play(DEFECTS[name].scenario(name), SEED)
    assert {rule: count for rule, count in result.rules.items() if count} == {}, result.violations[:2]
