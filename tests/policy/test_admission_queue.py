"""The admission queue: priorities, and early rejections.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome


def test_work_without_a_permit_is_rejected_before_its_latency_objective():
    router = Router(count=2)
    request_ids = [router.request(f"k{i}") for i in range(30)]
    waiting = [u for u in request_ids if u not in router.attempts_made]
    assert waiting
    router.advance(500 * MS)
    assert all(isinstance(router.final_responses[u], api.Reject) for u in waiting)


def test_a_slow_spell_does_not_teach_that_a_class_is_hopeless():
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


def test_a_request_without_a_permit_is_rejected_before_half_of_its_time():
    """Guards clients against being held until it is too late to come again or to try elsewhere."""
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.doubling = 1.0, False
    router.request("k0")
    waiting = router.request("k1", deadline=router.now + 1000 * MS)
    router.advance(440 * MS)
    assert waiting not in router.final_responses
    router.advance(20 * MS)
    assert isinstance(router.final_responses[waiting], api.Reject)


def test_a_withdrawn_attempt_does_not_count_as_sent():
    """Guards against rejections late in a client's time though nothing was ever written for it."""
    router = Router(count=1, limits=api.Limits(max_attempts=4, cancel=True))
    request_id = router.request(deadline=router.now + 1000 * MS)
    router.balancer.caches.max_permits = 0  # no permit before its time is over
    router.end_attempt(request_id, Outcome.WITHDRAWN)
    router.advance(460 * MS)
    assert isinstance(router.final_responses.get(request_id), api.Reject)


def test_a_class_that_was_slow_is_sent_again_where_there_is_a_permit():
    """Guards against a class that is rejected for ever: what would show it quick again was never sent."""
    router = Router(count=3)
    router.balancer.caches.latencies_ns[0] = 10 * S  # of a slow spell
    request_id = router.request(deadline=router.now + 500 * MS)  # 0.45 of it is less than half the objective
    assert router.server_of(request_id) and request_id not in router.final_responses
    late = router.request(
        deadline=router.now + 100 * MS
    )  # but not with less time left than half its objective
    assert isinstance(router.final_responses.get(late), api.Reject)
