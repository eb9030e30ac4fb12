"""The request lifecycle: events in order, one end for each attempt, one final response for each request."""

from dataclasses import replace

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, RecordingResponder, log_and_counters, make_request

from flintridge import api
from flintridge.api import Outcome
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.open_requests import IdInUseError
from flintridge.core.response import AttemptResult, Response
from flintridge.runtime.clock import to_ns

MEMORY_BYTES = 1 << 20


OK = AttemptResult(Outcome.OK, Response(b"value", receipt=False))


class LifecycleHarness:
    """A request lifecycle between a scripted policy and drivers that record their calls."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.script = ScriptedPolicy()
        self.responder = RecordingResponder()
        self.log, self.counters = log_and_counters()
        self.core = RequestLifecycle(self.script, SETTINGS, self.clock, MEMORY_BYTES, self.log, self.counters)
        self.attempts = []
        self.calls = []
        self.core.attach(self, self)

    def start(self, attempt) -> None:
        attempt.abort = lambda: self.calls.append(("aborted", attempt.number))
        self.attempts.append(attempt)

    def check_health(self, server, done) -> None:
        done(AttemptResult(Outcome.OK, load={"qps": 3.0}))

    def close_idle_connections(self, server) -> None:
        self.calls.append(("close", server))

    def watch(self, on) -> None:
        self.calls.append(("watch", on))

    def fetch(self) -> None:
        self.calls.append("fetch")

    def on(self, kind, *actions) -> None:
        self.script.handlers[kind] = lambda _: list(actions)

    def submit(self, **changes) -> None:
        self.core.submit(make_request(**changes), self.responder)

    def act(self, *actions) -> None:
        """Have the policy return these actions now."""
        self.on(api.EndpointUpdate, *actions)
        self.core.notify(api.EndpointUpdate(api.UpdateKind.DELTA))


SEND = api.Send("a1", "s1")


def test_submit_when_a_request_was_read_then_notifies_the_policy_of_it():
    harness = LifecycleHarness()
    harness.submit(value=b"v", class_index=1, retry=True, work_us=12000.5, size=3.0)
    now, event = harness.script.events[0]
    # 10 ms early, as the response takes time to arrive.
    assert now == to_ns(10_000) and event.deadline == to_ns(10_470)
    assert (event.id, event.key, event.write, event.class_index, event.retry) == ("a1", "key7", True, 1, True)
    assert (event.work_ns, event.size) == (12_000_500, 3.0)


def test_submit_when_a_request_is_a_retry_then_counts_as_demand_like_any_other():
    """Guards the leases of quotas, from which each request takes a token, a client's retry included."""
    harness = LifecycleHarness()
    tenants: list[int] = []
    harness.core.on_new_request = tenants.append
    harness.submit(uid="a1", tenant=1)
    harness.submit(uid="a2", tenant=2, retry=True)
    assert tenants == [1, 2]


@pytest.mark.parametrize(
    ("timeout_ms", "due"), [(None, 11_990), (9e9, 11_990), (10.0, 10_009), (0.0, 10_000)]
)
def test_deadline_when_the_client_names_a_timeout_then_is_bounded_by_it(timeout_ms, due):
    harness = LifecycleHarness()
    harness.submit(wait=timeout_ms)
    assert harness.script.events[0][1].deadline == to_ns(due)


def test_attempt_when_served_then_responds_before_the_policy_is_notified():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND, SEND)
    harness.script.handlers[api.AttemptEnded] = (
        lambda e: harness.calls.append(list(harness.responder.responses)) or []
    )
    harness.submit()
    harness.clock.advance(30)
    harness.core.attempt_ended(harness.attempts[1], OK)
    assert harness.responder.responses == [b"value"] and harness.calls == [[b"value"]]
    harness.core.attempt_ended(
        harness.attempts[0], AttemptResult(Outcome.OK, Response(b"second", receipt=False))
    )
    assert harness.responder.responses == [b"value"]
    assert harness.script.attempt_ends() == [(1, Outcome.OK, True), (0, Outcome.OK, True)]
    assert harness.script.events[1][1].latency_ns == to_ns(30)


def test_attempt_end_when_due_with_the_deadline_timer_then_is_handled_first():
    """After a stall of the event loop, both are due in the same iteration and the attempt's task runs a step
    later. The policy must make the response, as it may include a retry-after time."""
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND)
    harness.on(api.AttemptEnded, api.Reject("a1", to_ns(300)))
    harness.submit()
    timed_out = AttemptResult(Outcome.TIMEOUT)
    # Due right after the deadline timer.
    harness.clock.call_at(10_475, harness.core.attempt_ended, harness.attempts[0], timed_out)
    harness.clock.advance(475)
    assert harness.responder.responses == [("busy", 300.0)] and not harness.counters["responses_overdue"]


def test_send_when_the_request_has_its_final_response_then_ends_once():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND)
    harness.submit()
    harness.act(api.Reject("a1", to_ns(9000)), api.Fail("a1"), SEND)
    assert harness.responder.responses == [("busy", 2000.0)]  # once, and capped by the settings
    assert harness.script.attempt_ends() == [(1, Outcome.WITHDRAWN, True)]
    harness.core.attempt_ended(harness.attempts[0], AttemptResult(Outcome.RESET))
    harness.core.attempt_ended(harness.attempts[0], OK)
    assert harness.script.attempt_ends() == [(1, Outcome.WITHDRAWN, True), (0, Outcome.RESET, True)]
    assert harness.core.idle and len(harness.attempts) == 1


def test_send_when_above_the_attempt_limit_or_too_late_then_is_withdrawn_and_the_limit_counts_all():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND, SEND, SEND, SEND)
    harness.submit()
    assert harness.script.attempt_ends() == [(3, Outcome.WITHDRAWN, False)] and len(harness.attempts) == 3
    late = LifecycleHarness()
    late.submit(wait=0.0)
    late.act(SEND, api.Send("a1", "s1", -5))
    assert [outcome for _, outcome, _ in late.script.attempt_ends()] == [Outcome.WITHDRAWN, Outcome.WITHDRAWN]


def test_attempt_when_its_timeout_exceeds_the_deadline_then_ends_at_the_deadline():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND, api.Send("a1", "s1", to_ns(100)), api.Send("a1", "s1", to_ns(9000)))
    harness.submit()
    assert [attempt.deadline for attempt in harness.attempts] == [10_470, 10_100, 10_470]


def test_event_when_an_action_causes_it_then_waits_until_handle_has_returned():
    harness = LifecycleHarness()  # ScriptedPolicy fails on re-entrant calls
    harness.on(api.RequestReceived, api.CheckHealth("s1"), api.CheckHealth("s2"))
    harness.submit()
    assert [getattr(e, "server", "") for _, e in harness.script.events] == ["", "s1", "s2"]
    assert harness.script.events[1][1].load == {"qps": 3.0}


def test_cancel_when_the_attempt_is_in_flight_then_aborts_and_ends_it():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND)
    harness.submit()
    harness.act(api.Cancel("a1", 0), api.Cancel("a1", 7), api.Cancel("other", 0))
    assert harness.calls == [("aborted", 0)] and harness.script.attempt_ends() == [
        (0, Outcome.CANCELLED, False)
    ]


def test_disconnect_when_an_attempt_is_in_flight_then_no_response_is_made_and_the_attempt_ends():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND)
    harness.submit()
    harness.core.client_disconnected("a1")
    harness.core.client_disconnected("a1")
    with pytest.raises(IdInUseError):  # its attempt is still in flight
        harness.submit()
    harness.core.attempt_ended(harness.attempts[0], OK)
    assert harness.responder.responses == [] and harness.script.attempt_ends() == [(0, Outcome.OK, True)]
    assert sum(isinstance(e, api.ClientDisconnected) for _, e in harness.script.events) == 1
    harness.submit()


def test_timer_when_due_between_two_instants_of_the_clock_then_fires_no_earlier():
    harness = LifecycleHarness()
    at = to_ns(10_250) + 1  # between two values that the float clock can represent
    harness.act(api.SetTimer(at, 5))
    harness.clock.advance(250.001)
    now, event = harness.script.events[-1]
    assert event == api.TimerFired(5) and now >= at


def test_request_when_the_policy_raises_then_fails_in_time():
    harness = LifecycleHarness()
    harness.script.handlers[api.RequestReceived] = lambda _: 1 // 0
    harness.script.handle = lambda now, event: 1 // 0
    harness.submit()
    assert harness.counters["policy_errors"] == 1 and harness.responder.responses == []
    harness.clock.advance(479)
    assert harness.responder.responses == ["failed"] and harness.core.idle


def test_action_when_about_no_request_then_reaches_its_driver():
    harness = LifecycleHarness()
    harness.act(
        api.Watch(), api.Watch(False), api.FetchEndpoints(), api.CloseIdleConnections("s1"), api.Log("hi")
    )
    assert harness.calls == [("watch", True), ("watch", False), "fetch", ("close", "s1")]


def test_submit_when_no_memory_is_free_then_sheds_until_some_is_released():
    harness = LifecycleHarness()
    big = b"x" * (MEMORY_BYTES // 2)
    for uid in ("a1", "a2", "a3"):
        harness.submit(uid=uid, value=big)
    assert harness.responder.responses == [("busy", 0.0)] and len(harness.script.events) == 2
    harness.act(api.Fail("a1"))
    harness.submit(uid="a4", value=big)
    assert harness.responder.responses == [("busy", 0.0), "failed"]


def test_submit_when_too_many_requests_are_open_then_sheds():
    harness = LifecycleHarness()
    harness.core.settings = replace(SETTINGS, limits=api.Limits(max_open=1))
    harness.submit(uid="a1")
    harness.submit(uid="a2")
    assert harness.responder.responses == [("busy", 0.0)] and not harness.core.idle


def test_stream_when_started_then_is_the_final_response_and_ends_the_attempt():
    harness = LifecycleHarness()
    harness.on(api.RequestReceived, SEND)
    harness.submit()
    (attempt,) = harness.attempts
    harness.clock.advance(30)

    class Long:
        length, result = 100_000, AttemptResult(Outcome.OK, cache_status=1)

    streamed = harness.core.start_stream(attempt, Long())
    assert harness.responder.responses == [streamed] and streamed.length == 100_000
    assert harness.script.attempt_ends() == [(0, Outcome.OK, True)] and harness.core.idle
    assert harness.script.events[-1][1].latency_ns == to_ns(30)
    # The stream broke: nothing more is reported.
    harness.core.attempt_ended(attempt, AttemptResult(Outcome.RESET))
    harness.core.client_disconnected("a1")
    harness.clock.advance(5000)
    assert len(harness.script.attempt_ends()) == 1 and len(harness.responder.responses) == 1
    assert harness.core.start_stream(attempt, Long()) is None
