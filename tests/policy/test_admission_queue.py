"""The admission queue: priorities, and early rejections.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome


def test_work_without_a_permit_is_rejected_before_its_latency_objective():
    router = Router(count=2)
    uids = [router.ask(f"k{i}") for i in range(30)]
    waiting = [u for u in uids if u not in router.tries]
    assert waiting
    router.pass_time(500 * MS)
    assert all(isinstance(router.answers[u], api.Reject) for u in waiting)


def test_a_slow_spell_does_not_teach_that_a_class_is_hopeless():
    router = Router(count=3)
    for i in range(60):  # served, but far too late
        uid = router.ask(f"k{i}")
        router.now += 1500 * MS
        router.end(uid, Outcome.OK)
    uid = router.ask("again")
    assert router.tries.get(uid) == 1


def test_requests_of_higher_priority_get_the_next_permit():
    classes = (
        api.RequestClass(priority_weight=1.0, latency_objective_ns=S),
        api.RequestClass(priority_weight=8.0, latency_objective_ns=S),
    )
    router = Router(count=2, classes=classes, weight_by_work=True)
    first = [router.ask(f"k{i}", deadline=router.now + S) for i in range(4)]
    plain = router.ask("plain", 0)
    worthy = router.ask("worthy", 1)
    newest = router.ask("newest", 0)
    assert {plain, worthy, newest}.isdisjoint(router.tries)
    router.end(first[0], Outcome.OK)
    assert worthy in router.tries and not {plain, newest} & set(router.tries)


def test_a_request_without_a_permit_is_rejected_before_half_of_its_time():
    """Guards clients against being held until it is too late to come again or to try elsewhere."""
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.doubling = 1.0, False
    router.ask("k0")
    waiting = router.ask("k1", deadline=router.now + 1000 * MS)
    router.pass_time(440 * MS)
    assert waiting not in router.answers
    router.pass_time(20 * MS)
    assert isinstance(router.answers[waiting], api.Reject)


def test_a_withdrawn_attempt_does_not_count_as_sent():
    """Guards against refusals late in a client's time though nothing was ever written for it."""
    router = Router(count=1, limits=api.Limits(max_attempts=4, cancel=True))
    uid = router.ask(deadline=router.now + 1000 * MS)
    router.balancer.caches.limit, router.balancer.caches.doubling = 0.5, False
    router.balancer.caches.next_at = router.now + 5 * S  # no place before its time is over
    router.end(uid, Outcome.WITHDRAWN)
    router.pass_time(460 * MS)
    assert isinstance(router.answers.get(uid), api.Reject)


def test_a_class_that_was_slow_is_sent_again_where_there_is_a_permit():
    """Guards against a class that is refused for ever: what would show it quick again was never sent."""
    router = Router(count=3)
    router.balancer.caches.latencies_ns[0] = 10 * S  # of a slow spell
    uid = router.ask(deadline=router.now + 500 * MS)  # 0.45 of it is less than half the aim
    assert router.server_of(uid) and uid not in router.answers
    late = router.ask(deadline=router.now + 100 * MS)  # but not with less time left than half its aim
    assert isinstance(router.answers.get(late), api.Reject)
