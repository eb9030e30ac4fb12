"""Hold-ups of the process, as the delay of a timer shows them."""

import pytest
from support.network import ManualClock

from flintridge.runtime.hold_ups import CHECK_INTERVAL_MS, MIN_HOLD_UP_MS, RECENT_MS, HoldUpMonitor


def hold_up(clock: ManualClock, ms: float) -> None:
    """Let time pass without running any timer."""
    clock.at += ms


@pytest.mark.parametrize("timer_runs_first", [False, True])
def test_hold_up_when_it_was_recent_then_is_known_with_its_length(timer_runs_first):
    clock = ManualClock()
    monitor = HoldUpMonitor(clock)
    clock.advance(10 * CHECK_INTERVAL_MS)
    assert monitor.recent_hold_up_ms() == 0
    hold_up(clock, 7_000)
    if timer_runs_first:
        clock.advance(0)
    assert monitor.recent_hold_up_ms() == 7_000
    clock.advance(RECENT_MS)
    assert monitor.recent_hold_up_ms() == 7_000
    clock.advance(1)
    assert monitor.recent_hold_up_ms() == 0


def test_hold_up_when_it_was_short_then_is_not_counted():
    clock = ManualClock()
    monitor = HoldUpMonitor(clock)
    hold_up(clock, CHECK_INTERVAL_MS + MIN_HOLD_UP_MS - 1)
    assert monitor.recent_hold_up_ms() == 0
    hold_up(clock, 1)
    assert monitor.recent_hold_up_ms() == CHECK_INTERVAL_MS + MIN_HOLD_UP_MS


def test_hold_ups_when_another_follows_soon_then_count_as_one():
    """Input of the first one may still wait during the second."""
    clock = ManualClock()
    monitor = HoldUpMonitor(clock)
    hold_up(clock, 600)
    clock.advance(0)
    hold_up(clock, 600)
    clock.advance(0)
    assert monitor.recent_hold_up_ms() == 1_200
    clock.advance(RECENT_MS + 2 * CHECK_INTERVAL_MS)
    hold_up(clock, 800)
    assert monitor.recent_hold_up_ms() == 800
    monitor.close()
    assert all(entry[2] is None for entry in clock.due)
