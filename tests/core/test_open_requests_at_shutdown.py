"""Requests that were open at SIGTERM and wait for longer than the process lives on."""

from dataclasses import replace

import pytest
from support.core import Script
from support.network import SETTINGS, HandClock, Replies, make_request, quiet

from flintridge import api
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.runtime.clock import NS_PER_MS

WAIT_MS = 20_000.0
ANSWER_BY_MS = 3_500.0


@pytest.fixture
def opened():
    """A core with one open request whose client waits for 20 s: clock, core, policy and replies."""
    classes = tuple(replace(each, deadline_ns=int(WAIT_MS) * NS_PER_MS) for each in SETTINGS.classes)
    clock, replies, script = HandClock(), Replies(), Script()
    core = RequestLifecycle(script, replace(SETTINGS, classes=classes), clock, 1 << 20, *quiet())
    core.submit(make_request(wait=WAIT_MS), replies)
    return clock, core, script, replies


def test_open_request_when_it_is_due_behind_the_last_response_then_is_answered_by_that(opened):
    """What was read later on its connection waits behind it, and would be lost with it."""
    clock, core, script, replies = opened
    core.respond_all_by(clock.now() + ANSWER_BY_MS)
    clock.go(ANSWER_BY_MS - 1)
    assert replies.said == []
    clock.go(2)
    assert replies.said == ["failed"]
    assert core.idle
    assert any(isinstance(event, api.ClientDisconnected) for _, event in script.events)
    clock.go(WAIT_MS)
    assert replies.said == ["failed"]


def test_open_request_when_it_is_due_before_the_last_response_then_keeps_its_time(opened):
    clock, core, _, replies = opened
    core.respond_all_by(clock.now() + 2 * WAIT_MS)
    clock.go(WAIT_MS - 100)
    assert replies.said == []
    clock.go(100)
    assert replies.said == ["failed"]
