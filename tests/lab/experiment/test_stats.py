"""Tests of bootstrap intervals, the sign test, and the reasons why a run is unsound."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.lab.experiment.stats import bootstrap, sign_test, unsound_reasons
from flintridge.lab.result import Result
from flintridge.lab.scenario import model

quick = settings(derandomize=True, deadline=None, database=None, max_examples=60)


@quick
@given(st.lists(st.floats(-1e6, 1e6), min_size=1, max_size=20))
def test_intervals_are_repeatable_and_within_the_range_of_the_values(values):
    low, high = bootstrap(values)
    assert (low, high) == bootstrap(values)
    assert min(values) - 1e-6 <= low <= high <= max(values) + 1e-6
    assert 0 <= sign_test(values) <= 1 and sign_test(values) == sign_test([-v for v in values])


def test_the_interval_contains_the_true_mean_about_as_often_as_its_confidence_level():
    generator = random.Random(3)
    covered_count = sum(
        low <= 0 <= high
        for low, high in (bootstrap([generator.gauss(0, 1) for _ in range(30)]) for _ in range(200))
    )
    assert 175 <= covered_count <= 198
    assert sign_test([1.0] * 6) == pytest.approx(2 / 64) and sign_test([0.0]) == 1


def test_an_expected_violation_is_sound_and_its_absence_is_not():
    result = Result(scenario="", seed=1, backend="", goodput=0.5, rules={"drain": 2, "lost": 0})
    assert unsound_reasons(result, model.Expect(breaks=("drain",))) == []
    assert "lost" in unsound_reasons(result, model.Expect(breaks=("drain", "lost")))[0]
    assert len(unsound_reasons(result, model.Expect(goodput_at_least=0.6))) == 2
    result.end_reason = "wall limit"
    assert unsound_reasons(result, model.Expect(breaks=("drain",))) == ["cut short: wall limit"]
