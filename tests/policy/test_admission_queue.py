"""The admission queue: priorities and early rejections.

Each test fails without the code that prevents the failure it describes.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, START, Router, S, attempted, open_request

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.admission_queue import (
    MAX_SKIPPED,
    AdmissionQueue,
)
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.open_request import OpenRequest, Upstream


def test_a_request_without_a_permit_is_rejected_before_the_end_of_its_latency_objective():
    router = Router(count=2)
    request_ids = [router.request(f"k{i}") for i in range(30)]
    waiting = [u for u in request_ids if u not in router.attempts_made]
    assert waiting
    router.advance(500 * MS)
    assert all(isinstance(router.final_responses[u], api.Reject) for u in waiting)


def test_a_class_is_still_served_after_a_period_of_slow_responses():
    router = Router(count=3)
    for i in range(60):  # served, but far too late
        request_id = router.request(f"k{i}")
        router.now += 1500 * MS
        router.end_attempt(request_id, Outcome.OK)
    request_id = router.request("again")
    assert router.attempts_made.get(request_id) == 1


def test_requests_of_higher_priority_get_the_next_permit():
    classes = (
        api.RequestClass(priority_weight=1.0, latency_objective_ns=S),
        api.RequestClass(priority_weight=8.0, latency_objective_ns=S),
    )
    router = Router(count=2, classes=classes, weight_by_work=True)
    first = [router.request(f"k{i}", deadline=router.now + S) for i in range(4)]
    plain = router.request("plain", 0)
    urgent = router.request("urgent", 1)
    newest = router.request("newest", 0)
    assert {plain, urgent, newest}.isdisjoint(router.attempts_made)
    router.end_attempt(first[0], Outcome.OK)
    assert urgent in router.attempts_made and not {plain, newest} & set(router.attempts_made)


def test_a_request_without_a_permit_is_rejected_before_half_of_its_timeout():
    """Guards against holding a request until its client has no time left to retry here or elsewhere."""
    router = Router(count=1)
    router.balancer.cache_limiter.limit, router.balancer.cache_limiter.doubling = 1.0, False
    router.request("k0")
    waiting = router.request("k1", deadline=router.now + 1000 * MS)
    router.advance(440 * MS)
    assert waiting not in router.final_responses
    router.advance(20 * MS)
    assert isinstance(router.final_responses[waiting], api.Reject)


def test_a_withdrawn_attempt_does_not_count_as_sent():
    """Guards against rejections late in a client's timeout although no attempt was ever sent."""
    router = Router(count=1, limits=api.Limits(max_attempts=4, cancel=True))
    request_id = router.request(deadline=router.now + 1000 * MS)
    router.balancer.cache_limiter.max_permits = 0  # no permit before the client's deadline
    router.end_attempt(request_id, Outcome.WITHDRAWN)
    router.advance(460 * MS)
    assert isinstance(router.final_responses.get(request_id), api.Reject)


def test_a_class_that_was_slow_is_sent_again_if_there_is_a_permit():
    """Guards against rejecting a class forever: without attempts, its mean latency could not recover."""
    router = Router(count=3)
    router.balancer.cache_limiter.latencies_ns[0] = 10 * S  # after a period of slow responses
    request_id = router.request(
        deadline=router.now + 500 * MS
    )  # 0.45 of the timeout is less than half the objective
    assert router.server_of(request_id) and request_id not in router.final_responses
    late = router.request(deadline=router.now + 100 * MS)  # the time left is less than half the objective
    assert isinstance(router.final_responses.get(late), api.Reject)


plain = settings(derandomize=True, deadline=None, database=None, max_examples=100)


def make_queue(permits: float = 1e9) -> AdmissionQueue:
    return AdmissionQueue(Upstream.CACHES, ConcurrencyLimiter(permits))


def admitted(queue: AdmissionQueue, now: int = START, sends=lambda request: True) -> list[OpenRequest]:
    """Returns the requests that are sent; none of them releases its permit."""
    sent: list[OpenRequest] = []

    def try_send(request: OpenRequest) -> bool:
        if not sends(request):
            return False
        request.queued_for = None
        queue.limiter.acquire()
        sent.append(request)
        return True

    queue.admit(now, try_send, queue.abandon)
    return sent


@given(priorities=st.lists(st.sampled_from([0.1, 1.0, 1.0, 8.0]), max_size=80), data=st.data())
@plain
def test_requests_are_admitted_by_priority_then_newest_first_after_any_removals(priorities, data):
    queue = make_queue()
    waiting = [(priority, order, open_request()) for order, priority in enumerate(priorities)]
    for priority, order, request in waiting:
        queue.push(request, priority, order)
    leaving = data.draw(st.sets(st.sampled_from(range(len(waiting))))) if waiting else set()
    for index in leaving:
        waiting[index][2].done = True
        queue.abandon(waiting[index][2])
    assert queue.waiting == len(waiting) - len(leaving)
    staying = [entry for index, entry in enumerate(waiting) if index not in leaving]
    staying.sort(key=lambda entry: (-entry[0], -entry[1]))
    assert admitted(queue) == [request for _, _, request in staying]


def test_requests_without_a_free_server_keep_their_place_in_the_queue():
    queue = make_queue()
    requests = [open_request() for _ in range(MAX_SKIPPED + 2)]
    for order, request in enumerate(requests):
        queue.push(request, 1.0, order)
    newest = requests[-1]
    assert admitted(queue, sends=lambda request: request is not newest)[0] is requests[-2]
    queue = make_queue()
    for order, request in enumerate(requests):
        queue.push(request, 1.0, order)
    offered: list[OpenRequest] = []
    assert admitted(queue, sends=offered.append) == []
    assert offered == requests[: -MAX_SKIPPED - 1 : -1]  # those behind are not tried
    assert admitted(queue) == requests[::-1]


def test_no_request_is_admitted_without_a_permit_and_the_end_of_a_pause_is_returned_once():
    queue = make_queue(permits=0.5)
    first, second = open_request(), open_request()
    queue.push(first, 1.0, 0)
    queue.push(second, 1.0, 1)
    assert admitted(queue) == [second]
    queue.limiter.release(START, 100 * MS)
    wake_ups = [queue.admit(START, pytest.fail, pytest.fail) for _ in range(2)]
    assert wake_ups == [START + 100 * MS, None]
    assert admitted(queue, START + 100 * MS) == [first]


@pytest.mark.parametrize(
    ("changes", "usual_ms", "expected_ms"),
    [
        ({}, 0, 500),  # until its objective
        ({"late_weight_fraction": 0.1}, 0, 900),  # 0.45 of its client's timeout
        ({"late_weight_fraction": 0.1}, 100, 800),
        ({}, 100, 400),
        ({}, 400, 250),  # the mean latency counts up to half of the objective
        ({"deadline": START + 1000 * MS}, 0, 450),
        ({"first_arrived_at": START - 300 * MS}, 0, 200),  # a retry
    ],
)
def test_the_latest_start_leaves_time_for_the_usual_latency(changes, usual_ms, expected_ms):
    queue = make_queue()
    queue.limiter.latencies_ns[0] = usual_ms * MS
    request = open_request(**changes)
    assert queue.latest_start(request) == START + expected_ms * MS
    attempted(request, "s", Outcome.ERROR)  # the limit of 0.45 applies only to the first attempt
    assert queue.latest_start(request) >= START + expected_ms * MS
