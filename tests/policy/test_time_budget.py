"""Time budgets: how a client's time is divided among the attempts that its request may need."""

import pytest

from flintridge.policy.time_budget import TimeBudget


@pytest.mark.parametrize(
    ("has_origin", "is_write", "budget"),
    [
        (True, False, 250),  # a cache server and the origin, each with a retry
        (True, True, 500),  # the origin with a retry
        (False, False, 500),
        (False, True, 500),
    ],
)
def test_the_time_suffices_for_an_attempt_and_a_retry_at_each_upstream(has_origin, is_write, budget):
    assert TimeBudget(has_origin).attempt_ns(1000, is_write) == budget


def test_the_usual_budget_of_a_class_follows_the_timeouts_of_its_clients():
    made = TimeBudget(has_origin=False)
    made.record(0, 1000)
    made.record(1, 9000)
    assert made.usual_attempt_ns(0, is_write=False) == 500
    made.record(0, 0)
    assert 450 < made.usual_attempt_ns(0, is_write=False) < 500
    for _ in range(200):
        made.record(0, 3000)
    assert made.usual_attempt_ns(0, is_write=False) == pytest.approx(1500, rel=0.01)
    assert made.usual_attempt_ns(1, is_write=False) == 4500
