"""Retries, connect backoff, attempt timeouts, and retry-after.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome


def test_a_retry_goes_on_from_its_first_arrival():
    """Retry storms: a repeat whose first arrival's objective has passed is worth no permit."""
    for changes in ({"retry": True}, {"work_ns": 12_345_678}):
        router = Router(count=2)
        blockers = [router.request(f"b{i}") for i in range(8)]
        first = router.request("k", work_ns=changes.get("work_ns"))
        assert first not in router.attempts_made and blockers
        router.advance(500 * MS)
        assert isinstance(router.final_responses[first], api.Reject)
        again = router.request("k", **changes)
        assert isinstance(router.final_responses.get(again), api.Reject)
        other = router.request("other", **changes)
        assert other not in router.final_responses


def test_the_last_attempt_is_kept_for_the_origin():
    router = Router(limits=api.Limits(max_attempts=2))
    request_id = router.request("k")
    router.end_attempt(request_id, Outcome.FULL)
    assert router.server_of(request_id) == "10.9.9.9:80"


def test_a_server_that_cannot_be_connected_to_is_in_backoff_for_longer_each_time():
    """More routers than a server accepts connections from: each settles on the servers that it has."""
    router = Router(count=3)
    full = router.server_of(router.request("k"))
    pauses = []
    for _ in range(4):
        tried_at = router.now
        router.end_attempt(next(iter(router.in_flight))[0], Outcome.CONNECT_FAILED)
        for request_id, _ in list(router.in_flight):
            router.end_attempt(request_id, Outcome.OK)
        while router.server_of(request_id := router.request("k")) != full:
            router.end_attempt(request_id, Outcome.OK)
            router.advance(100 * MS)
        pauses.append(router.now - tried_at)
    assert pauses[0] >= 500 * MS and pauses[3] >= 4 * S
    router.end_attempt(request_id, Outcome.OK)
    assert router.balancer.servers[full].connect_backoff.failures == 0


def test_silence_leaves_time_for_another_attempt_where_a_repeat_is_harmless():
    router = Router(count=3)
    for i in range(20):
        request_id = router.request(f"k{i}")
        router.now += 20 * MS
        router.end_attempt(request_id, Outcome.OK)
    router.request("k")
    assert router.sends[-1].timeout_ns == 250 * MS  # slow from then on; waited for longer, the next is late
    router.request("k", 2)  # unsafe
    assert router.sends[-1].timeout_ns == 0
    router.balancer.caches.decreased_at = router.now
    router.request("k")
    assert router.sends[-1].timeout_ns == 0


def test_a_rejection_has_a_retry_after_by_the_queue_and_within_the_settings():
    """Guards against clients that come back at once into the same full queue."""

    def retry_after(limit: float, **limits) -> int:
        router = Router(count=1, limits=api.Limits(max_attempts=4, retry_after=True, **limits))
        router.balancer.caches.limit, router.balancer.caches.doubling = limit, False
        for i in range(8):
            waiting = router.request(f"k{i}", deadline=router.now + 1000 * MS)
        router.advance(460 * MS)
        return router.final_responses[waiting].retry_after_ns

    assert 0 < retry_after(2.0, max_retry_after_ns=60 * S) < retry_after(1.0, max_retry_after_ns=60 * S)
    assert retry_after(1.0, max_retry_after_ns=30 * MS) == 30 * MS


def test_where_the_settings_forbid_it_a_rejection_has_no_retry_after():
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.doubling = 1.0, False
    router.request("k0")
    waiting = router.request("k1", deadline=router.now + 1000 * MS)
    router.advance(460 * MS)
    assert router.final_responses[waiting] == api.Reject(waiting, 0)


def test_a_lost_response_of_the_origin_is_retried_but_not_its_rejection():
    for outcome, again in ((Outcome.TIMEOUT, True), (Outcome.RESET, True), (Outcome.FULL, False)):
        router = Router(count=3)
        request_id = router.request("k")
        router.end_attempt(request_id, Outcome.MISS)
        origin = router.server_of(request_id)
        assert router.sends[-1].timeout_ns == 250 * MS  # not until the client gives up
        router.advance(250 * MS)
        router.end_attempt(request_id, outcome)
        assert router.server_of(request_id) != origin  # it may be stored by now
        router.end_attempt(request_id, Outcome.MISS)
        assert (request_id not in router.final_responses and router.server_of(request_id) == origin) is again
