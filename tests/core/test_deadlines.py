"""Response deadlines: those of the clients, and that of a process that is shutting down."""

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
    """A core with one open request whose client waits for 20 s: clock, core, policy and responder."""
    classes = tuple(replace(each, deadline_ns=int(WAIT_MS) * NS_PER_MS) for each in SETTINGS.classes)
    clock, responder, script = ManualClock(), RecordingResponder(), ScriptedPolicy()
    core = RequestLifecycle(script, replace(SETTINGS, classes=classes), clock, 1 << 20, *log_and_counters())
    core.submit(make_request(wait=WAIT_MS), responder)
    return clock, core, script, responder


def test_open_request_when_due_after_the_last_response_then_is_responded_to_by_then(opened):
    """Requests read later on its connection wait for it, and would be lost with it."""
    clock, core, script, responder = opened
    core.respond_all_by(clock.now() + RESPOND_BY_MS)
    clock.advance(RESPOND_BY_MS - 1)
    assert responder.responses == []
    clock.advance(2)
    assert responder.responses == ["failed"]
    assert core.idle
    assert any(isinstance(event, api.ClientDisconnected) for _, event in script.events)
    clock.advance(WAIT_MS)
    assert responder.responses == ["failed"]


def test_open_request_when_due_before_the_last_response_then_keeps_its_deadline(opened):
    clock, core, _, responder = opened
    core.respond_all_by(clock.now() + 2 * WAIT_MS)
    clock.advance(WAIT_MS - 100)
    assert responder.responses == []
    clock.advance(100)
    assert responder.responses == ["failed"]


@pytest.mark.parametrize(
    ("timeout_ms", "due_ms", "overdue_ms"),
    [(480.0, 470.0, 475.0), (50.0, 45.0, 47.5), (10.0, 9.0, 9.5), (None, WAIT_MS - 10, WAIT_MS - 5)],
)
def test_request_when_not_responded_to_then_fails_half_way_between_its_deadline_and_the_clients(
    opened, timeout_ms, due_ms, overdue_ms
):
    clock, core, script, responder = opened
    started_at = clock.now()
    core.submit(make_request("a2", wait=timeout_ms), responder)
    assert script.events[-1][1].deadline == to_ns(started_at + due_ms)
    clock.advance(overdue_ms - 0.1)
    assert "a2" in core.open_requests
    clock.advance(0.2)
    assert "a2" not in core.open_requests and responder.responses[-1] == "failed"


def test_request_when_accepted_after_the_last_response_is_due_then_has_no_time_left(opened):
    clock, core, script, responder = opened
    core.respond_all_by(clock.now() - 1)
    core.submit(make_request("a2"), responder)
    assert script.events[-1][1].deadline == to_ns(clock.now() - 1)
    clock.advance(10)
    assert responder.responses == ["failed", "failed"]
