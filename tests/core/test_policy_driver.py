"""The policy driver: one event at a time, continues after errors, makes no calls after it is closed."""

import pytest
from support.core import ScriptedPolicy
from support.network import ManualClock, log_and_counters

from flintridge import api
from flintridge.core.policy_driver import PolicyDriver
from flintridge.runtime.clock import to_ns


class DriverHarness:
    """A driver with a scripted policy, and a list of the actions that were carried out."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.policy = ScriptedPolicy()
        self.actions: list[api.Action] = []
        log, self.counters = log_and_counters()
        self.driver = PolicyDriver(self.policy, self.carry_out, self.clock, log, self.counters)

    def carry_out(self, action: api.Action) -> None:
        self.actions.append(action)
        if isinstance(action, api.FetchEndpoints):
            raise ValueError("the action failed")
        if isinstance(action, api.Fail):
            self.driver.notify(api.ClientDisconnected(action.id))

    @property
    def events(self) -> list[api.Event]:
        return [event for _, event in self.policy.events]


@pytest.fixture
def harness():
    return DriverHarness()


def test_notify_when_an_action_causes_events_then_these_follow_in_order(harness):
    harness.policy.handlers[api.TimerFired] = lambda _: [api.Fail("a1"), api.Fail("a2")]
    harness.driver.notify(api.TimerFired(1))
    assert harness.events == [api.TimerFired(1), api.ClientDisconnected("a1"), api.ClientDisconnected("a2")]


def test_notify_when_an_action_raises_then_the_next_one_is_carried_out(harness):
    harness.policy.handlers[api.TimerFired] = lambda _: [api.FetchEndpoints(), api.Log("next")]
    harness.driver.notify(api.TimerFired(1))
    assert harness.actions == [api.FetchEndpoints(), api.Log("next")]
    assert harness.counters["action_errors"] == 1


def test_notify_when_the_policy_raises_then_the_next_event_reaches_it(harness):
    handle = harness.policy.handle
    harness.policy.handle = lambda now, event: 1 // 0
    harness.driver.notify(api.TimerFired(1))
    harness.policy.handle = handle
    harness.driver.notify(api.TimerFired(2))
    assert harness.counters["policy_errors"] == 1 and harness.events == [api.TimerFired(2)]


def test_now_when_the_clock_steps_back_then_stays_monotonic(harness):
    harness.driver.notify(api.TimerFired(1))
    harness.clock.advance(-100)
    harness.driver.notify(api.TimerFired(2))
    first, second = (now for now, _ in harness.policy.events)
    assert second == first


def test_timer_when_due_between_two_clock_values_then_now_is_not_before_it(harness):
    at = to_ns(10_250) + 1
    harness.driver.set_timer(at, 7)
    harness.clock.advance(250.001)
    ((now, event),) = harness.policy.events
    assert event == api.TimerFired(7) and now >= at


def test_close_when_timers_fall_due_then_the_policy_is_notified_of_nothing(harness):
    harness.driver.set_timer(to_ns(10_100), 7)
    harness.driver.close()
    harness.clock.advance(200)
    harness.driver.notify(api.TimerFired(1))
    assert harness.events == []
