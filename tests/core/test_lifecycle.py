"""The core on a clock set by hand: events in order, one end an attempt, one final answer a request."""

from dataclasses import replace

import pytest
from support.core import Script
from support.network import SETTINGS, HandClock, Replies, make_request, quiet

from flintridge import api
from flintridge.api import Outcome
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.open_requests import IdInUseError
from flintridge.core.response import AttemptResult, Response
from flintridge.runtime.clock import to_ns

HELD_BYTES = 1 << 20


OK = AttemptResult(Outcome.OK, Response(b"value", receipt=False))


class Node:
    """The core between a script and drivers that only remember."""

    def __init__(self) -> None:
        self.clock, self.script, self.replies = HandClock(), Script(), Replies()
        self.log, self.counters = quiet()
        self.core = RequestLifecycle(self.script, SETTINGS, self.clock, HELD_BYTES, self.log, self.counters)
        self.attempts, self.done = [], []
        self.core.attach(self, self)

    def start(self, attempt) -> None:
        attempt.abort = lambda: self.done.append(("given up", attempt.number))
        self.attempts.append(attempt)

    def check_health(self, server, done) -> None:
        done(AttemptResult(Outcome.OK, load={"qps": 3.0}))

    def close_idle_connections(self, server) -> None:
        self.done.append(("close", server))

    def watch(self, on) -> None:
        self.done.append(("watch", on))

    def fetch(self) -> None:
        self.done.append("fetch")

    def on(self, kind, *actions) -> None:
        self.script.answers[kind] = lambda _: list(actions)

    def ask(self, **changes) -> None:
        self.core.submit(make_request(**changes), self.replies)

    def ring(self, *actions) -> None:
        """Have the module act now."""
        self.on(api.EndpointUpdate, *actions)
        self.core.notify(api.EndpointUpdate(api.UpdateKind.DELTA))


SEND = api.Send("a1", "s1")


def test_a_request_reaches_the_module_in_its_terms():
    node = Node()
    node.ask(value=b"v", class_index=1, retry=True, work_us=12000.5, size=3.0)
    now, event = node.script.events[0]
    assert now == to_ns(10_000) and event.deadline == to_ns(10_470)  # early, for the way back
    assert (event.id, event.key, event.write, event.class_index, event.retry) == ("a1", "key7", True, 1, True)
    assert (event.work_ns, event.size) == (12_000_500, 3.0)


@pytest.mark.parametrize(("wait", "due"), [(None, 11_990), (9e9, 11_990), (10.0, 10_009), (0.0, 10_000)])
def test_the_clients_patience_bounds_the_deadline(wait, due):
    node = Node()
    node.ask(wait=wait)
    assert node.script.events[0][1].deadline == to_ns(due)


def test_the_first_ok_is_passed_on_before_the_module_is_told():
    node = Node()
    node.on(api.RequestReceived, SEND, SEND)
    node.script.answers[api.AttemptEnded] = lambda e: node.done.append(list(node.replies.said)) or []
    node.ask()
    node.clock.go(30)
    node.core.attempt_ended(node.attempts[1], OK)
    assert node.replies.said == [b"value"] and node.done == [[b"value"]]
    node.core.attempt_ended(node.attempts[0], AttemptResult(Outcome.OK, Response(b"second", receipt=False)))
    assert node.replies.said == [b"value"]
    assert node.script.ends() == [(1, Outcome.OK, True), (0, Outcome.OK, True)]
    assert node.script.events[1][1].latency_ns == to_ns(30)


def test_what_fell_due_before_the_net_has_its_turn_though_the_loop_was_held_up():
    """On a loop that stood still at the deadline the net and the attempt's end come due in one turn, and the
    attempt's task hears of it a step later: the module is to answer, which may say when to come again."""
    node = Node()
    node.on(api.RequestReceived, SEND)
    node.on(api.AttemptEnded, api.Reject("a1", to_ns(300)))
    node.ask()
    timed_out = AttemptResult(Outcome.TIMEOUT)
    node.clock.call_at(10_475, node.core.attempt_ended, node.attempts[0], timed_out)  # right behind the net
    node.clock.go(475)
    assert node.replies.said == [("busy", 300.0)] and not node.counters["responses_overdue"]


def test_every_send_ends_once_also_after_the_final_answer():
    node = Node()
    node.on(api.RequestReceived, SEND)
    node.ask()
    node.ring(api.Reject("a1", to_ns(9000)), api.Fail("a1"), SEND)
    assert node.replies.said == [("busy", 2000.0)]  # once, and capped by the settings
    assert node.script.ends() == [(1, Outcome.WITHDRAWN, True)]
    node.core.attempt_ended(node.attempts[0], AttemptResult(Outcome.RESET))
    node.core.attempt_ended(node.attempts[0], OK)
    assert node.script.ends() == [(1, Outcome.WITHDRAWN, True), (0, Outcome.RESET, True)]
    assert node.core.idle and len(node.attempts) == 1


def test_sends_over_the_cap_or_too_late_are_moot_and_the_cap_counts_all():
    node = Node()
    node.on(api.RequestReceived, SEND, SEND, SEND, SEND)
    node.ask()
    assert node.script.ends() == [(3, Outcome.WITHDRAWN, False)] and len(node.attempts) == 3
    late = Node()
    late.ask(wait=0.0)
    late.ring(SEND, api.Send("a1", "s1", -5))
    assert [outcome for _, outcome, _ in late.script.ends()] == [Outcome.WITHDRAWN, Outcome.WITHDRAWN]


def test_an_attempts_time_is_trimmed_to_the_deadline():
    node = Node()
    node.on(api.RequestReceived, SEND, api.Send("a1", "s1", to_ns(100)), api.Send("a1", "s1", to_ns(9000)))
    node.ask()
    assert [attempt.deadline for attempt in node.attempts] == [10_470, 10_100, 10_470]


def test_events_that_actions_cause_wait_their_turn():
    node = Node()  # Script itself fails on a call within a call
    node.on(api.RequestReceived, api.CheckHealth("s1"), api.CheckHealth("s2"))
    node.ask()
    assert [getattr(e, "server", "") for _, e in node.script.events] == ["", "s1", "s2"]
    assert node.script.events[1][1].load == {"qps": 3.0}


def test_a_cancel_ends_the_attempt_and_gives_it_up():
    node = Node()
    node.on(api.RequestReceived, SEND)
    node.ask()
    node.ring(api.Cancel("a1", 0), api.Cancel("a1", 7), api.Cancel("other", 0))
    assert node.done == [("given up", 0)] and node.script.ends() == [(0, Outcome.CANCELLED, False)]


def test_a_client_that_left_is_owed_nothing_but_its_attempts_end():
    node = Node()
    node.on(api.RequestReceived, SEND)
    node.ask()
    node.core.client_disconnected("a1")
    node.core.client_disconnected("a1")
    with pytest.raises(IdInUseError):  # its attempt may still run: the same id must not be begun anew
        node.ask()
    node.core.attempt_ended(node.attempts[0], OK)
    assert node.replies.said == [] and node.script.ends() == [(0, Outcome.OK, True)]
    assert sum(isinstance(e, api.ClientDisconnected) for _, e in node.script.events) == 1
    node.ask()


def test_timers_ring_no_earlier_than_asked():
    node = Node()
    at = to_ns(10_250) + 1  # between what the float clock can tell and the next
    node.ring(api.SetTimer(at, 5))
    node.clock.go(250.001)
    now, event = node.script.events[-1]
    assert event == api.TimerFired(5) and now >= at


def test_a_module_that_breaks_or_forgets_still_leaves_an_answer_in_time():
    node = Node()
    node.script.answers[api.RequestReceived] = lambda _: 1 // 0
    node.script.handle = lambda now, event: 1 // 0
    node.ask()
    assert node.counters["policy_errors"] == 1 and node.replies.said == []
    node.clock.go(479)
    assert node.replies.said == ["failed"] and node.core.idle


def test_the_other_actions_reach_their_drivers():
    node = Node()
    node.ring(
        api.Watch(), api.Watch(False), api.FetchEndpoints(), api.CloseIdleConnections("s1"), api.Log("hi")
    )
    assert node.done == [("watch", True), ("watch", False), "fetch", ("close", "s1")]


def test_more_values_than_the_memory_allows_are_turned_away_and_room_comes_back():
    node = Node()
    big = b"x" * (HELD_BYTES // 2)
    for uid in ("a1", "a2", "a3"):
        node.ask(uid=uid, value=big)
    assert node.replies.said == [("busy", 0.0)] and len(node.script.events) == 2
    node.ring(api.Fail("a1"))
    node.ask(uid="a4", value=big)
    assert node.replies.said == [("busy", 0.0), "failed"]


def test_more_open_requests_than_the_settings_allow_are_turned_away():
    node = Node()
    node.core.settings = replace(SETTINGS, limits=api.Limits(max_open=1))
    node.ask(uid="a1")
    node.ask(uid="a2")
    assert node.replies.said == [("busy", 0.0)] and not node.core.idle


def test_a_long_value_is_its_requests_one_answer_from_its_first_piece_on():
    node = Node()
    node.on(api.RequestReceived, SEND)
    node.ask()
    (attempt,) = node.attempts
    node.clock.go(30)

    class Long:
        length, result = 100_000, AttemptResult(Outcome.OK, cache_status=1)

    passage = node.core.start_stream(attempt, Long())
    assert node.replies.said == [passage] and passage.length == 100_000
    assert node.script.ends() == [(0, Outcome.OK, True)] and node.core.idle
    assert node.script.events[-1][1].latency_ns == to_ns(30)
    node.core.attempt_ended(attempt, AttemptResult(Outcome.RESET))  # a break on the way: nothing more is told
    node.core.client_disconnected("a1")
    node.clock.go(5000)
    assert len(node.script.ends()) == 1 and len(node.replies.said) == 1
    assert node.core.start_stream(attempt, Long()) is None
