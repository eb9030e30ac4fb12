"""The driver of the policy: one event at a time, an error ends nothing, no call once it is closed."""

import pytest
from support.core import ScriptedPolicy
from support.network import ManualClock, log_and_counters

from flintridge import api
from flintridge.core.policy_driver import PolicyDriver
from flintridge.runtime.clock import to_ns


class Driven:
    """A driver between a scripted policy and a list of the actions that it has carried out."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.policy = ScriptedPolicy()
        self.actions: list[api.Action] = []
        log, self.counters = log_and_counters()
        self.driver = PolicyDriver(self.policy, self.carry_out, self.clock, log, self.counters)

    def carry_out(self, action: api.Action) -> None:
        self.actions.append(action)
        if isinstance(action, api.FetchEndpoints):
            raise ValueError("it cannot be carried out")
        if isinstance(action, api.Fail):
            self.driver.notify(api.ClientDisconnected(action.id))

    @property
    def events(self) -> list[api.Event]:
        return [event for _, event in self.policy.events]


@pytest.fixture
def driven():
    return Driven()


def test_notify_when_an_action_causes_events_then_these_follow_in_order(driven):
    driven.policy.handlers[api.TimerFired] = lambda _: [api.Fail("a1"), api.Fail("a2")]
    driven.driver.notify(api.TimerFired(1))
    assert driven.events == [api.TimerFired(1), api.ClientDisconnected("a1"), api.ClientDisconnected("a2")]


def test_notify_when_an_action_raises_then_the_next_one_is_carried_out(driven):
    driven.policy.handlers[api.TimerFired] = lambda _: [api.FetchEndpoints(), api.Log("next")]
    driven.driver.notify(api.TimerFired(1))
    assert driven.actions == [api.FetchEndpoints(), api.Log("next")]
    assert driven.counters["action_errors"] == 1


def test_notify_when_the_policy_raises_then_the_next_event_reaches_it(driven):
    handle = driven.policy.handle
    driven.policy.handle = lambda now, event: 1 // 0
    driven.driver.notify(api.TimerFired(1))
    driven.policy.handle = handle
    driven.driver.notify(api.TimerFired(2))
    assert driven.counters["policy_errors"] == 1 and driven.events == [api.TimerFired(2)]


def test_now_when_the_clock_goes_back_then_does_not(driven):
    driven.driver.notify(api.TimerFired(1))
    driven.clock.advance(-100)
    driven.driver.notify(api.TimerFired(2))
    first, second = (now for now, _ in driven.policy.events)
    assert second == first


def test_timer_when_its_instant_lies_between_those_of_the_clock_then_now_is_not_before_it(driven):
    at = to_ns(10_250) + 1
    driven.driver.set_timer(at, 7)
    driven.clock.advance(250.001)
    ((now, event),) = driven.policy.events
    assert event == api.TimerFired(7) and now >= at


def test_close_when_timers_fall_due_then_the_policy_is_notified_of_nothing(driven):
    driven.driver.set_timer(to_ns(10_100), 7)
    driven.driver.close()
    driven.clock.advance(200)
    driven.driver.notify(api.TimerFired(1))
    assert driven.events == []
