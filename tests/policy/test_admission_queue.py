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
    AdmissionQueues,
)
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.open_request import OpenRequest, Upstream


def test_requests_without_a_permit_are_rejected_while_their_clients_still_wait():
    """No request of the class was served yet, so the four attempts that may be needed share the time."""
    router = Router(count=2)
    request_ids = [router.request(f"k{i}", deadline=router.now + 2 * S) for i in range(30)]
    waiting = [u for u in request_ids if u not in router.attempts_made]
    assert waiting
    router.advance(990 * MS)
    assert not router.final_responses
    router.advance(10 * MS)
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


def limited_to_one(**changes) -> Router:
    """A router with one permit, whose attempts are known to take 100 ms at the caches and at the origin."""
    router = Router(count=1, **changes)
    for limiter in (router.balancer.cache_limiter, router.balancer.origin_limiter):
        limiter.latencies_ns[0] = 100 * MS
    router.balancer.cache_limiter.limit, router.balancer.cache_limiter.doubling = 1.0, False
    return router


def test_the_request_that_has_to_be_sent_the_earliest_gets_the_next_permit():
    """Guards against serving one last that has little time left, although all could be served in time."""
    router = limited_to_one()
    first = router.request("k0")
    patient, urgent, newest = (
        router.request(f"k{left_ms}", deadline=router.now + left_ms * MS) for left_ms in (1500, 900, 1800)
    )
    for request_id in (first, urgent, patient, newest):
        assert router.sends[-1].id == request_id
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)


def test_requests_that_cannot_get_a_permit_in_time_are_rejected_at_once():
    """Guards against keeping clients waiting who would be rejected when it is too late to try elsewhere."""
    router = limited_to_one()
    router.balancer.cache_limiter.mean_duration_ns = 100 * MS
    router.request("k0")
    waiting = [router.request(f"k{i}", deadline=router.now + 1000 * MS) for i in range(1, 9)]
    assert not router.final_responses  # 800 ms for eight permits, and 200 ms for a cache and the origin
    more = [router.request(f"more{i}", deadline=router.now + 1000 * MS) for i in range(3)]
    assert list(router.final_responses) == waiting[:3]
    assert all(isinstance(answer, api.Reject) for answer in router.final_responses.values())
    assert router.balancer.queues.caches.waiting == 8 and more[-1] not in router.final_responses


def test_requests_that_come_and_go_leave_few_timers_behind():
    """Guards memory: a crowd's rejected requests each left a timer until the end of their clients' time."""
    router = limited_to_one()
    router.balancer.cache_limiter.mean_duration_ns = 100 * MS
    router.request("k0")
    for i in range(500):
        router.request(f"k{i}", deadline=router.now + 1000 * MS)
        router.now += MS
    assert len(router.final_responses) > 400 and router.balancer.queues.caches.waiting >= 1
    assert len(router.balancer.timers) < 10
    router.advance(1000 * MS)
    assert not router.balancer.queues.caches.waiting


def test_a_request_that_waits_expires_at_its_own_latest_start_whatever_its_place():
    classes = (api.RequestClass(priority_weight=1.0), api.RequestClass(priority_weight=2.0))
    router = limited_to_one(classes=classes)
    router.balancer.cache_limiter.latencies_ns[1] = router.balancer.origin_limiter.latencies_ns[1] = 100 * MS
    router.request("k0")
    expected = []
    for class_index, left_ms in ((1, 1900), (0, 1200), (1, 700), (0, 1500), (1, 1000)):
        deadline = router.now + left_ms * MS
        expected.append((left_ms - 200, router.request(f"k{left_ms}", class_index, deadline=deadline)))
    start = router.now
    for latest_ms, request_id in sorted(expected):
        router.advance(start + latest_ms * MS - 1 - router.now)
        assert request_id not in router.final_responses
        router.advance(1)
        assert isinstance(router.final_responses[request_id], api.Reject)


def test_a_request_waits_for_the_end_of_a_pause_that_it_can_wait_for():
    """Guards nodes with little traffic at a low limit, which would send hardly any request otherwise."""
    router = limited_to_one()
    limiter = router.balancer.cache_limiter
    limiter.limit = 0.1
    first = router.request("k0")
    router.advance(100 * MS)
    router.end_attempt(first, Outcome.CANCELLED, final=True)  # a pause of 900 ms begins
    early = router.request("k1", deadline=router.now + 1000 * MS)
    assert isinstance(router.final_responses[early], api.Reject)
    router.advance(200 * MS)
    waiting = router.request("k2", deadline=router.now + 1000 * MS)
    router.advance(700 * MS)
    assert router.attempts_made[waiting] == 1


def test_the_request_with_the_most_time_left_gets_the_next_permit_until_an_overload_is_over():
    """Guards against sending each request at the last moment, when a miss or a slow response is too late."""
    router = limited_to_one()
    limiter = router.balancer.cache_limiter
    limiter.mean_duration_ns = 320 * MS
    current = router.request("k0")
    oldest = router.request("k1", deadline=router.now + 900 * MS)
    middle = router.request("k2", deadline=router.now + 1000 * MS)
    newest = router.request("k3", deadline=router.now + 1100 * MS)
    assert list(router.final_responses) == [oldest]
    for request_id in (current, newest, middle):
        assert router.sends[-1].id == request_id
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)
    limiter.mean_duration_ns = 100 * MS
    current = router.request("k4")
    patient = router.request("k5", deadline=router.now + 1500 * MS)
    urgent = router.request("k6", deadline=router.now + 900 * MS)
    for request_id in (current, urgent, patient):
        assert router.sends[-1].id == request_id
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)


def test_a_request_waits_for_a_permit_as_long_as_its_client_can_be_answered():
    """Guards against rejections of requests that would have been served, at a set fraction of their time."""
    router = limited_to_one()
    first = router.request("k0")
    served, rejected = (router.request(f"k{i}", deadline=router.now + 1000 * MS) for i in (1, 2))
    router.advance(790 * MS)
    assert not router.final_responses
    router.end_attempt(first, Outcome.CANCELLED, final=True)
    assert len({served, rejected} & set(router.attempts_made)) == 1
    router.advance(20 * MS)  # less is left than an attempt at a cache and one at the origin take
    assert [isinstance(router.final_responses.get(u), api.Reject) for u in (served, rejected)].count(
        True
    ) == 1


@pytest.mark.parametrize(
    "outcomes", [(), (Outcome.WITHDRAWN,), (Outcome.FULL,), (Outcome.WITHDRAWN, Outcome.FULL)]
)
def test_a_request_waits_as_long_whether_it_was_attempted_before_or_not(outcomes):
    router = limited_to_one(limits=api.Limits(max_attempts=6, cancel=True))
    router.notify(api.EndpointUpdate(api.UpdateKind.DELTA, 2, (api.Endpoint("s1:80"), api.Endpoint("s2:80"))))
    request_id = router.request(deadline=router.now + 1000 * MS)
    for outcome in outcomes:
        router.end_attempt(request_id, outcome)
    other = router.request("k2")  # has the permit from now on
    limiter = router.balancer.cache_limiter
    limiter.max_permits = 0
    router.end_attempt(request_id, Outcome.FULL)
    assert other not in router.final_responses
    router.advance(790 * MS)
    assert request_id not in router.final_responses
    router.advance(20 * MS)
    assert isinstance(router.final_responses[request_id], api.Reject)


def test_a_class_that_was_slow_is_sent_again_if_there_is_a_permit():
    """Guards against rejecting a class forever: without attempts, its mean latency could not recover."""
    router = Router(count=3)
    router.balancer.cache_limiter.latencies_ns[0] = 10 * S  # after a period of slow responses
    for timeout_ms in (500, 100):
        request_id = router.request(deadline=router.now + timeout_ms * MS)
        assert router.server_of(request_id) and request_id not in router.final_responses
    router.balancer.cache_limiter.max_permits = 0
    waiting = router.request(deadline=router.now + 500 * MS)
    router.advance(240 * MS)
    assert waiting not in router.final_responses
    router.advance(20 * MS)
    assert isinstance(router.final_responses[waiting], api.Reject)


@pytest.mark.parametrize(
    ("usual_ms", "deviation_ms", "left_ms", "is_sent"),
    [
        (100, 0, 110, True),
        (100, 0, 90, False),
        (100, 50, 110, True),  # it may be in time, and the permit is free
        (3000, 0, 1010, True),  # counts up to the time budget only
        (3000, 0, 990, False),
        (None, 0, 10, True),  # no request of the class was served yet
    ],
)
def test_a_permit_is_spent_only_on_an_attempt_that_may_be_in_time(usual_ms, deviation_ms, left_ms, is_sent):
    queue = make_queue()
    if usual_ms is not None:
        queue.limiter.latencies_ns[0] = usual_ms * MS
        queue.limiter.deviations_ns[0] = deviation_ms * MS
    request = open_request(deadline=START + left_ms * MS)
    rejected: list[OpenRequest] = []
    sent: list[OpenRequest] = []
    queue.push(request, 0)
    queue.admit(START, lambda request: sent.append(request) is None, rejected.append)
    assert (sent, rejected) == (([request], []) if is_sent else ([], [request]))


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


waiting_requests = st.lists(
    st.tuples(st.booleans(), st.sampled_from([0.1, 1.0, 1.0, 8.0]), st.integers(1900, 1940)), max_size=80
)


@given(kinds=waiting_requests, is_overloaded=st.booleans(), data=st.data())
@plain
def test_requests_are_admitted_by_quota_weight_and_time_left_after_any_removals(kinds, is_overloaded, data):
    """The least time left comes first, but the most once not all requests can be answered in time."""
    queue = make_queue()
    if is_overloaded:
        make_overloaded(queue)
    waiting = []
    for order, (over_quota, weight, left_ms) in enumerate(kinds):
        deadline = START + left_ms * MS
        request = open_request(over_quota=over_quota, priority_weight=weight, deadline=deadline)
        place = (deadline, order)
        if is_overloaded:
            place = (-deadline, -order)
        waiting.append((over_quota, -weight, place, request))
        queue.push(request, order)
    leaving = data.draw(st.sets(st.sampled_from(range(len(waiting))))) if waiting else set()
    for index in leaving:
        waiting[index][-1].done = True
        queue.abandon(waiting[index][-1])
    assert queue.waiting == len(waiting) - len(leaving) + is_overloaded
    staying = [entry for index, entry in enumerate(waiting) if index not in leaving]
    expected = [entry[-1] for entry in sorted(staying, key=lambda entry: entry[:-1])]
    assert admitted(queue)[: len(expected)] == expected


def make_overloaded(queue: AdmissionQueue) -> None:
    """Shed a request; another one, which comes after all others, stays."""
    late, last = (open_request(over_quota=True, priority_weight=0.0) for _ in range(2))
    queue.push(last, -2)
    queue.push(late, -1)
    queue.limiter.mean_duration_ns, queue.limiter.limit, queue.limiter.inflight = 1.0 * S, 1.0, 1
    (shed,) = queue.shed(START)
    queue.limiter.mean_duration_ns, queue.limiter.limit, queue.limiter.inflight = 0.0, 1e9, 0
    assert queue.waiting == 1 and shed in (late, last)


@pytest.mark.parametrize("weight_by_work", [False, True])
@pytest.mark.parametrize("over_quota_weight", [0.0, 1.0])
def test_the_order_does_not_depend_on_how_the_worth_of_responses_is_counted(
    weight_by_work, over_quota_weight
):
    """Guards the tenants within their quotas, and the classes of a higher weight, whatever is counted."""
    classes = (api.RequestClass(priority_weight=1.0), api.RequestClass(priority_weight=2.0))
    tenants = (api.Tenant("flood", 0.1), api.Tenant("calm", 1000.0))
    router = limited_to_one(
        classes=classes, tenants=tenants, weight_by_work=weight_by_work, over_quota_weight=over_quota_weight
    )
    router.balancer.cache_limiter.latencies_ns |= {0: 10 * MS, 1: 100 * MS}
    for i in range(8):  # the bucket of the first tenant
        router.end_attempt(router.request(f"b{i}", tenant=0), Outcome.CANCELLED, final=True)
    first = router.request("k0", tenant=1)
    flood = router.request("k1", 1, tenant=0)
    light = router.request("k2", 0, tenant=1)
    weighty = router.request("k3", 1, tenant=1)
    expected = [first, weighty, light, flood]
    for request_id in expected:
        assert router.sends[-1].id == request_id
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)


def test_a_request_that_waits_for_the_fetch_of_another_is_not_counted_as_waiting_for_a_permit():
    router = Router(count=4)
    followers = [router.request("k") for _ in range(3)]
    for request_id in followers:
        router.end_attempt(request_id, Outcome.MISS)
    queue = router.balancer.queues.origin
    router.balancer.origin_limiter.max_permits = 1
    waiting = router.request("other", write=True)
    router.notify(api.ClientDisconnected(followers[1]))
    assert waiting not in router.attempts_made and queue.waiting == 1


def test_requests_without_a_free_server_keep_their_place_in_the_queue():
    queue = make_queue()
    requests = [open_request() for _ in range(MAX_SKIPPED + 2)]
    for order, request in enumerate(requests):
        queue.push(request, order)
    first = requests[0]
    assert admitted(queue, sends=lambda request: request is not first)[0] is requests[1]
    queue = make_queue()
    for order, request in enumerate(requests):
        queue.push(request, order)
    offered: list[OpenRequest] = []
    assert admitted(queue, sends=offered.append) == []
    assert offered == requests[:MAX_SKIPPED]  # those behind are not tried
    assert admitted(queue) == requests


def test_no_request_is_admitted_without_a_permit_and_the_end_of_a_pause_is_returned_once():
    queue = make_queue(permits=0.5)
    first, second = open_request(), open_request()
    queue.push(first, 0)
    queue.push(second, 1)
    assert admitted(queue) == [first]
    queue.limiter.release(START, 100 * MS)
    wake_ups = [queue.admit(START, pytest.fail, pytest.fail) for _ in range(2)]
    assert wake_ups == [START + 100 * MS, None]
    assert admitted(queue, START + 100 * MS) == [second]


@pytest.mark.parametrize(
    ("changes", "usual_ms", "deviation_ms", "expected_ms"),
    [
        ({}, None, 0, 1000),  # no request of the class was served: the time budget of an attempt is assumed
        ({}, 100, 0, 1900),
        ({}, 100, 25, 1800),  # and four mean deviations
        ({}, 1500, 0, 1000),  # counts up to the time budget only
        ({"work_ns": 300 * MS}, 100, 0, 1700),  # heavier than is usual for the class
        ({"deadline": START + 1000 * MS}, 100, 0, 900),
        # What a response is worth and how soon one is aimed at say nothing about how long the client waits.
        ({"latency_objective_ns": 50 * MS}, 100, 0, 1900),
        ({"late_weight_fraction": 0.1}, 100, 0, 1900),
        ({"deadline_ns": 1200 * MS}, 100, 0, 1900),  # the client itself says how long it waits
        ({"retry": True}, 100, 0, 1900),
    ],
)
def test_the_latest_start_leaves_the_client_time_for_the_attempt(
    changes, usual_ms, deviation_ms, expected_ms
):
    queue = make_queue()
    if usual_ms is not None:
        queue.limiter.latencies_ns[0] = usual_ms * MS
        queue.limiter.deviations_ns[0] = deviation_ms * MS
    request = open_request(**changes)
    assert queue.latest_start(request) == START + expected_ms * MS
    attempted(request, "s", Outcome.ERROR)
    assert queue.latest_start(request) == START + expected_ms * MS


def test_the_latest_start_at_a_cache_leaves_time_for_the_origin_unless_a_server_has_stored_the_value():
    queues = AdmissionQueues(origin_kind=9)
    queues.caches.limiter.latencies_ns[0] = 100 * MS
    queues.origin.limiter.latencies_ns[0] = 300 * MS
    request = open_request()
    assert queues.caches.latest_start(request) == START + 1600 * MS
    assert queues.origin.latest_start(request) == START + 1700 * MS
    request.preferred_server = "s"
    assert queues.caches.latest_start(request) == START + 1900 * MS
