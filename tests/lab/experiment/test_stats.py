"""Intervals, the sign test, and what makes a run unsound."""

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
def test_intervals_are_repeatable_and_hold_the_mean_of_what_they_resample(values):
    low, high = bootstrap(values)
    assert (low, high) == bootstrap(values)
    assert min(values) - 1e-6 <= low <= high <= max(values) + 1e-6
    assert 0 <= sign_test(values) <= 1 and sign_test(values) == sign_test([-v for v in values])


def test_the_interval_covers_about_as_often_as_it_says():
    dice = random.Random(3)
    held = sum(
        low <= 0 <= high
        for low, high in (bootstrap([dice.gauss(0, 1) for _ in range(30)]) for _ in range(200))
    )
    assert 175 <= held <= 198
    assert sign_test([1.0] * 6) == pytest.approx(2 / 64) and sign_test([0.0]) == 1


def test_an_expected_breach_is_sound_and_its_absence_is_not():
    result = Result(scenario="", seed=1, backend="", goodput=0.5, rules={"drain": 2, "lost": 0})
    assert unsound_reasons(result, model.Expect(breaks=("drain",))) == []
    assert "lost" in unsound_reasons(result, model.Expect(breaks=("drain", "lost")))[0]
    assert len(unsound_reasons(result, model.Expect(goodput_at_least=0.6))) == 2
    result.end_reason = "wall limit"
    assert unsound_reasons(result, model.Expect(breaks=("drain",))) == ["cut short: wall limit"]
