"""Open requests: removed, and their memory released, once responded to and without attempts in flight."""

import pytest
from support.network import ManualClock, RecordingResponder, make_request

from flintridge.api import Outcome
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.open_requests import OpenRequest, OpenRequests
from flintridge.core.request import UpstreamAttempt
from flintridge.core.request_state import IllegalTransitionError, RequestState

RESERVED_BYTES = 100


class CountedTimer:
    """A timer that counts its cancellations."""

    def __init__(self) -> None:
        self.cancelled = 0

    def cancel(self) -> None:
        self.cancelled += 1


@pytest.fixture
def budget():
    budget = MemoryBudget(1000, ManualClock())
    assert budget.try_reserve(RESERVED_BYTES)
    return budget


@pytest.fixture
def requests(budget):
    """The open requests of a node, with one request `a1`."""
    requests = OpenRequests(budget)
    request = OpenRequest(
        "a1", make_request(), RecordingResponder(), RESERVED_BYTES, deadline_timer=CountedTimer()
    )
    requests.add(request)
    return requests


def start_attempt(request: OpenRequest) -> UpstreamAttempt:
    attempt = UpstreamAttempt("a1", len(request.attempts), "s1", request.request, 0.0, 100.0)
    request.add_attempt(attempt)
    return attempt


def test_request_when_responded_with_no_attempt_in_flight_then_is_removed_and_its_memory_released(
    requests, budget
):
    request = requests.take_unanswered("a1")
    assert request.deadline_timer.cancelled == 1
    assert "a1" not in requests and requests.unanswered == 0 and budget.reserved == 0
    assert requests.take_unanswered("a1") is None


def test_request_when_responded_with_attempts_in_flight_then_is_removed_after_the_last_of_them(
    requests, budget
):
    request = requests.get("a1")
    attempts = [start_attempt(request), start_attempt(request)]
    requests.mark_responded(request)
    assert all(attempt.request_ended for attempt in attempts)
    assert requests.unanswered == 0 and requests.get_unanswered("a1") is None
    for left in (1, 0):
        assert "a1" in requests and budget.reserved == RESERVED_BYTES
        request.end_attempt(Outcome.TIMEOUT if left else Outcome.WITHDRAWN)
        requests.remove_if_finished("a1")
    assert (request.in_flight, request.withdrawn) == (0, 1)
    assert "a1" not in requests and budget.reserved == 0


def test_request_when_its_attempts_ended_and_it_has_no_response_then_stays_open(requests):
    request = requests.get("a1")
    start_attempt(request)
    request.end_attempt(Outcome.TIMEOUT)
    requests.remove_if_finished("a1")
    assert request.state is RequestState.WAITING and requests.get_unanswered("a1") is request


def test_request_when_responded_a_second_time_or_more_attempts_end_than_started_then_raises(requests):
    request = requests.get("a1")
    with pytest.raises(IllegalTransitionError):
        request.end_attempt(Outcome.TIMEOUT)
    requests.mark_responded(request)
    with pytest.raises(IllegalTransitionError):
        requests.mark_responded(request)


def test_close_when_requests_are_open_then_no_timer_fires_and_no_memory_stays_reserved(requests, budget):
    request = requests.get("a1")
    requests.close()
    assert request.deadline_timer.cancelled == 1
    assert len(requests) == 0 and budget.reserved == 0
