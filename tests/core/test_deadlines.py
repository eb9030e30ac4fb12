"""Deadlines of responses: the clients' own, and that of a process which is about to end."""

from dataclasses import replace

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, RecordingResponder, log_and_counters, make_request

from flintridge import api
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.runtime.clock import NS_PER_MS, to_ns

WAIT_MS = 20_000.0
RESPOND_BY_MS = 3_500.0


@pytest.fixture
def opened():
    """A core with one open request whose client waits for 20 s: clock, core, policy and replies."""
    classes = tuple(replace(each, deadline_ns=int(WAIT_MS) * NS_PER_MS) for each in SETTINGS.classes)
    clock, replies, script = ManualClock(), RecordingResponder(), ScriptedPolicy()
    core = RequestLifecycle(script, replace(SETTINGS, classes=classes), clock, 1 << 20, *log_and_counters())
    core.submit(make_request(wait=WAIT_MS), replies)
    return clock, core, script, replies


def test_open_request_when_it_is_due_behind_the_last_response_then_is_responded_to_by_that(opened):
    """What was read later on its connection waits behind it, and would be lost with it."""
    clock, core, script, replies = opened
    core.respond_all_by(clock.now() + RESPOND_BY_MS)
    clock.advance(RESPOND_BY_MS - 1)
    assert replies.responses == []
    clock.advance(2)
    assert replies.responses == ["failed"]
    assert core.idle
    assert any(isinstance(event, api.ClientDisconnected) for _, event in script.events)
    clock.advance(WAIT_MS)
    assert replies.responses == ["failed"]


def test_open_request_when_it_is_due_before_the_last_response_then_keeps_its_time(opened):
    clock, core, _, replies = opened
    core.respond_all_by(clock.now() + 2 * WAIT_MS)
    clock.advance(WAIT_MS - 100)
    assert replies.responses == []
    clock.advance(100)
    assert replies.responses == ["failed"]


@pytest.mark.parametrize(
    ("timeout_ms", "due_ms", "overdue_ms"),
    [(480.0, 470.0, 475.0), (50.0, 45.0, 47.5), (10.0, 9.0, 9.5), (None, WAIT_MS - 10, WAIT_MS - 5)],
)
def test_request_when_nobody_responds_then_is_failed_half_way_between_its_deadline_and_its_clients(
    opened, timeout_ms, due_ms, overdue_ms
):
    clock, core, script, replies = opened
    started_at = clock.now()
    core.submit(make_request("a2", wait=timeout_ms), replies)
    assert script.events[-1][1].deadline == to_ns(started_at + due_ms)
    clock.advance(overdue_ms - 0.1)
    assert "a2" in core.open_requests
    clock.advance(0.2)
    assert "a2" not in core.open_requests and replies.responses[-1] == "failed"


def test_request_when_taken_in_after_the_last_response_is_due_then_has_no_time_left(opened):
    clock, core, script, replies = opened
    core.respond_all_by(clock.now() - 1)
    core.submit(make_request("a2"), replies)
    assert script.events[-1][1].deadline == to_ns(clock.now() - 1)
    clock.advance(10)
    assert replies.responses == ["failed", "failed"]
