"""When a node probes: eagerly after a start or a clock gap if its bytes allow, and steadily otherwise."""

from itertools import pairwise
from random import Random

import pytest

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.probe_schedule import (
    EAGER_MS,
    EAGER_PROBE_INTERVAL_MS,
    INTERVAL_VARIATION,
    PROBE_INTERVAL_MS,
    ProbeSchedule,
)

BYTES_PER_S = 8_000.0


def due_times(schedule, start, end):
    return [float(now) for now in range(int(start), int(end)) if schedule.is_due(float(now))]


def intervals(times):
    return [later - earlier for earlier, later in pairwise(times)]


def assert_about(measured, expected):
    assert measured
    assert min(measured) >= expected * (1 - INTERVAL_VARIATION) - 1
    assert max(measured) <= expected * (1 + INTERVAL_VARIATION) + 1


def test_probes_when_just_started_then_are_eager_and_later_steady():
    schedule = ProbeSchedule(ByteBudget(BYTES_PER_S), 0.0, Random(1))
    times = due_times(schedule, 0, 10_000)
    assert times[0] <= EAGER_PROBE_INTERVAL_MS + 1
    assert_about(intervals([time for time in times if time < EAGER_MS]), EAGER_PROBE_INTERVAL_MS)
    assert_about(intervals([time for time in times if time > EAGER_MS]), PROBE_INTERVAL_MS)


def test_probes_when_the_budget_is_spent_are_steady_from_the_start():
    budget = ByteBudget(BYTES_PER_S)
    assert budget.try_spend(0.0, 0.9 * BYTES_PER_S)
    schedule = ProbeSchedule(budget, 0.0, Random(1))
    first = due_times(schedule, 0, 200)
    assert len(first) == 1


def test_probes_when_restarted_are_due_at_once_and_eager_again():
    schedule = ProbeSchedule(ByteBudget(BYTES_PER_S), 0.0, Random(1))
    due_times(schedule, 0, 10_000)
    schedule.restart(10_000.0)
    times = due_times(schedule, 10_000, 10_000 + EAGER_MS)
    assert times[0] == 10_000.0
    assert_about(intervals(times), EAGER_PROBE_INTERVAL_MS)


@pytest.mark.parametrize("late_ms", [1_000.0, 60_000.0])
def test_probes_when_ticks_were_late_then_at_most_one_extra_probe_is_due(late_ms):
    schedule = ProbeSchedule(ByteBudget(BYTES_PER_S), 0.0, Random(1))
    assert [schedule.is_due(late_ms) for _ in range(4)] == [True, True, False, False]
