"""Attempts created from a `Send` action: their limits, and when an attempt is not sent."""

import pytest
from support.network import RecordingResponder, make_request

from flintridge import api
from flintridge.api import Outcome
from flintridge.core.attempts import attempt_ended_event, new_attempt, unsent_outcome
from flintridge.core.open_requests import OpenRequest
from flintridge.core.response import AttemptResult
from flintridge.runtime.clock import NS_PER_MS

NOW = 1_000.0
DEADLINE = 1_400.0
MAX_ATTEMPTS = 2


def open_request(**fields) -> OpenRequest:
    return OpenRequest("a1", make_request(), RecordingResponder(), 0, DEADLINE, **fields)


def next_attempt(request: OpenRequest, timeout_ms: int = 0, now: float = NOW):
    """Create the request's next attempt and add it to the request, as sending does."""
    send = api.Send("a1", "s1", timeout_ms * NS_PER_MS, 1_100 * NS_PER_MS, 1_200 * NS_PER_MS)
    attempt = new_attempt(send, request, now)
    request.add_attempt(attempt)
    return attempt


@pytest.mark.parametrize(("timeout_ms", "deadline"), [(0, DEADLINE), (100, 1_100.0), (9_000, DEADLINE)])
def test_attempt_when_made_then_has_the_limits_of_its_send_and_of_its_request(timeout_ms, deadline):
    request = open_request()
    first = next_attempt(request, timeout_ms)
    assert (first.number, first.server, first.sent_at) == (0, "s1", NOW)
    assert (first.deadline, first.begin_by, first.written_by) == (deadline, 1_100.0, 1_200.0)
    assert next_attempt(request).number == 1


@pytest.mark.parametrize(
    ("sent_before", "withdrawn", "timeout_ms", "now", "outcome"),
    [
        (0, 0, 0, NOW, None),
        (1, 0, 0, NOW, None),
        (MAX_ATTEMPTS, 0, 0, NOW, Outcome.WITHDRAWN),
        (MAX_ATTEMPTS, 1, 0, NOW, None),
        (0, 0, 0, DEADLINE, Outcome.WITHDRAWN),
        (0, 0, -1, NOW, Outcome.TIMEOUT),
    ],
)
def test_attempt_when_checked_then_is_sent_only_below_the_attempt_limit_and_in_time(
    sent_before, withdrawn, timeout_ms, now, outcome
):
    request = open_request(withdrawn=withdrawn)
    for _ in range(sent_before):
        next_attempt(request)
    attempt = next_attempt(request, timeout_ms, now)
    assert unsent_outcome(attempt, request, MAX_ATTEMPTS) is outcome


def test_attempt_when_its_request_has_its_response_then_is_withdrawn():
    request = open_request()
    request.mark_responded()
    assert unsent_outcome(next_attempt(request), request, MAX_ATTEMPTS) is Outcome.WITHDRAWN


@pytest.mark.parametrize(("now", "latency_ns"), [(NOW + 30, 30 * NS_PER_MS), (NOW - 1, 0)])
def test_end_when_reported_then_has_the_result_and_no_negative_latency(now, latency_ns):
    attempt = next_attempt(open_request())
    result = AttemptResult(Outcome.MISS, cache_status=2, load={"qps": 3.0}, malformed=True)
    event = attempt_ended_event(attempt, result, now, final=True)
    assert event == api.AttemptEnded(
        "a1", 0, "s1", Outcome.MISS, latency_ns, True, cache_status=2, load={"qps": 3.0}, malformed=True
    )
