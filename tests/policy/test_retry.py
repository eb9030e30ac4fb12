"""Retries, connect backoff, attempt timeouts, and retry-after.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome


def test_a_retry_goes_on_from_its_first_arrival():
    """Retry storms: a repeat whose first try's aim has passed is not worth a place."""
    for changes in ({"retry": True}, {"work_ns": 12_345_678}):
        router = Router(count=2)
        blockers = [router.ask(f"b{i}") for i in range(8)]
        first = router.ask("k", work_ns=changes.get("work_ns"))
        assert first not in router.tries and blockers
        router.pass_time(500 * MS)
        assert isinstance(router.answers[first], api.Reject)
        again = router.ask("k", **changes)
        assert isinstance(router.answers.get(again), api.Reject)
        other = router.ask("other", **changes)
        assert other not in router.answers


def test_the_last_attempt_is_kept_for_the_origin():
    router = Router(limits=api.Limits(max_attempts=2))
    uid = router.ask("k")
    router.end(uid, Outcome.FULL)
    assert router.server_of(uid) == "10.9.9.9:80"


def test_a_server_that_cannot_be_connected_to_is_in_backoff_for_longer_each_time():
    """More routers than a server accepts connections from: each settles on the servers that it has."""
    router = Router(count=3)
    full = router.server_of(router.ask("k"))
    pauses = []
    for _ in range(4):
        tried_at = router.now
        router.end(next(iter(router.out))[0], Outcome.CONNECT_FAILED)
        for uid, _ in list(router.out):
            router.end(uid, Outcome.OK)
        while router.server_of(uid := router.ask("k")) != full:
            router.end(uid, Outcome.OK)
            router.pass_time(100 * MS)
        pauses.append(router.now - tried_at)
    assert pauses[0] >= 500 * MS and pauses[3] >= 4 * S
    router.end(uid, Outcome.OK)
    assert router.balancer.servers[full].connect_failures == 0


def test_silence_leaves_time_for_another_attempt_where_a_repeat_is_harmless():
    router = Router(count=3)
    for i in range(20):
        uid = router.ask(f"k{i}")
        router.now += 20 * MS
        router.end(uid, Outcome.OK)
    router.ask("k")
    assert router.sends[-1].timeout_ns == 250 * MS  # slow from then on; waited for longer, the next is late
    router.ask("k", 2)  # unsafe
    assert router.sends[-1].timeout_ns == 0
    router.balancer.caches.decreased_at = router.now
    router.ask("k")
    assert router.sends[-1].timeout_ns == 0


def test_a_rejection_has_a_retry_after_by_the_queue_and_within_the_settings():
    """Guards against clients that come back at once into the same full line."""

    def told(limit: float, **limits) -> int:
        router = Router(count=1, limits=api.Limits(max_attempts=4, retry_after=True, **limits))
        router.balancer.caches.limit, router.balancer.caches.doubling = limit, False
        for i in range(8):
            waiting = router.ask(f"k{i}", deadline=router.now + 1000 * MS)
        router.pass_time(460 * MS)
        return router.answers[waiting].retry_after_ns

    assert 0 < told(2.0, max_retry_after_ns=60 * S) < told(1.0, max_retry_after_ns=60 * S)
    assert told(1.0, max_retry_after_ns=30 * MS) == 30 * MS


def test_where_the_settings_forbid_it_a_rejection_has_no_retry_after():
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.doubling = 1.0, False
    router.ask("k0")
    waiting = router.ask("k1", deadline=router.now + 1000 * MS)
    router.pass_time(460 * MS)
    assert router.answers[waiting] == api.Reject(waiting, 0)


def test_a_lost_response_of_the_origin_is_retried_but_not_its_rejection():
    for outcome, again in ((Outcome.TIMEOUT, True), (Outcome.RESET, True), (Outcome.FULL, False)):
        router = Router(count=3)
        uid = router.ask("k")
        router.end(uid, Outcome.MISS)
        origin = router.server_of(uid)
        assert router.sends[-1].timeout_ns == 250 * MS  # not until the client gives up
        router.pass_time(250 * MS)
        router.end(uid, outcome)
        assert router.server_of(uid) != origin  # it may be stored by now
        router.end(uid, Outcome.MISS)
        assert (uid not in router.answers and router.server_of(uid) == origin) is again
