"""The concurrency limiter: which outcomes decrease a limit and which do not indicate load.

Each test fails without the code that prevents the failure it describes.
"""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.concurrency_limiter import MIN_FLOOR, ConcurrencyLimiter, RoundResult
from flintridge.policy.outlier_detection import UNHEALTHY


def rounds(limiter: ConcurrencyLimiter, now: int, slow: bool, count: int = 40) -> int:
    for _ in range(count):
        now += 10 * MS
        limiter.record(now, slow, now)
    return now


def test_a_limit_decreases_when_attempts_are_slow_and_increases_again():
    """Guards against more attempts under overload, and against a limit that does not recover."""
    limiter = ConcurrencyLimiter(40.0)
    limiter.inflight = 40
    now = rounds(limiter, 0, slow=True, count=400)
    decreased = limiter.limit
    assert decreased < 20
    limiter.inflight = int(decreased) + 1
    rounds(limiter, now, slow=False, count=400)
    assert limiter.limit > decreased + 3


def serve(router: Router, latency_ms: int, timeout_ms: int, count: int = 40) -> None:
    for i in range(count):
        request_id = router.request(f"k{i}", deadline=router.now + timeout_ms * MS)
        router.now += latency_ms * MS
        router.end_attempt(request_id, Outcome.OK)


@pytest.mark.parametrize(
    ("latency_ms", "timeout_ms", "is_slow"),
    [(450, 2000, False), (550, 2000, True), (200, 1000, False), (300, 1000, True)],
)
@pytest.mark.parametrize("objective_ms", [100, 500, 2000])
def test_an_attempt_is_slow_by_the_time_that_clients_wait_and_not_by_the_latency_objective(
    objective_ms, latency_ms, timeout_ms, is_slow
):
    """An attempt at a cache and one at the origin, each with a retry, have to fit into a client's time."""
    router = Router(count=3, classes=(api.RequestClass(latency_objective_ns=objective_ms * MS),))
    serve(router, latency_ms, timeout_ms)
    assert (router.balancer.cache_limiter.decreased_at > -math.inf) is is_slow


def test_a_few_clients_with_very_short_timeouts_do_not_decrease_the_limit_for_the_others():
    router = Router(count=3)
    for _ in range(20):
        serve(router, latency_ms=60, timeout_ms=2000, count=2)
        serve(router, latency_ms=60, timeout_ms=100, count=1)
    assert router.balancer.cache_limiter.decreased_at == -math.inf


def test_an_unreached_limit_decreases_from_the_number_in_flight():
    """With many nodes, each has few attempts in flight, far below a limit that was never reached."""
    limiter = ConcurrencyLimiter(94.0)
    limiter.inflight = 9
    rounds(limiter, 0, slow=True, count=20)
    assert limiter.limit < 10


def test_a_heavy_request_does_not_indicate_load():
    router = Router(count=3)
    router.balancer.cache_limiter.doubling = False
    before = router.balancer.cache_limiter.limit
    for i in range(60):
        request_id = router.request(f"k{i}", work_ns=300 * MS)
        router.now += 700 * MS  # over a quarter of its client's time, but mostly the request's own work
        router.end_attempt(request_id, Outcome.OK)
    assert router.balancer.cache_limiter.limit >= before


def test_a_limit_below_one_allows_one_attempt_at_a_time_with_pauses():
    """One attempt in flight at each of hundreds of nodes may exceed the capacity of the fleet."""
    router = Router(count=2, fleet_size=40)
    limiter = router.balancer.cache_limiter
    limiter.doubling, limiter.limit = False, 0.25
    first, second = router.request("a"), router.request("b")
    assert first in router.attempts_made and second not in router.attempts_made
    router.advance(100 * MS)
    router.end_attempt(first, Outcome.OK)
    assert second not in router.attempts_made
    router.advance(290 * MS)
    assert second not in router.attempts_made
    router.advance(20 * MS)
    assert second in router.attempts_made


def test_a_lost_server_does_not_decrease_the_limit_for_the_others():
    router = Router(count=5, limits=api.Limits(max_attempts=9))
    lost = "10.0.0.2:80"
    for i in range(300):
        request_id = router.request(f"k{i}")
        while request_id not in router.final_responses:
            silent = router.server_of(request_id) == lost
            router.now += 10 * MS
            router.end_attempt(request_id, Outcome.RESET if silent else Outcome.OK)
    assert router.balancer.outliers.health(router.balancer.servers[lost], router.now) < UNHEALTHY
    limiter = router.balancer.cache_limiter
    limiter.round_attempts = limiter.round_slow = 0
    for _ in range(20):
        request_id = router.request("k")
        attempt = router.balancer.open_requests[request_id].attempts[0]
        router.balancer.servers[attempt.server].inflight -= 1  # as if the attempt was at the lost one
        router.balancer.servers[lost].inflight += 1
        attempt.server = lost
        router.end_attempt(request_id, Outcome.CONNECT_FAILED, final=True)
    assert limiter.round_slow == 0


def test_slow_handshakes_do_not_decrease_the_limit():
    router = Router(count=3, limits=api.Limits(max_attempts=4, conn_idle_ns=50 * MS))
    for i in range(40):
        router.now += 100 * MS
        request_id = router.request(f"k{i}")
        router.now += 400 * MS
        router.end_attempt(request_id, Outcome.OK)
    assert router.balancer.cache_limiter.decreased_at == -math.inf


def test_quick_rejections_of_an_unhealthy_server_decrease_no_limit_while_others_are_healthy():
    """Guards against one small, full server that brings the limit down to its floor.

    A hundred requests waited then, while four servers were idle.
    """
    router = Router(count=6)
    for i in range(300):
        request_id = router.request(f"k{i}")
        router.advance(10 * MS)
        unhealthy = router.server_of(request_id) == "10.0.0.0:80"
        router.end_attempt(request_id, Outcome.FULL if unhealthy else Outcome.OK, final=True)
    caches = router.balancer.cache_limiter
    assert router.balancer.outliers.fractions["10.0.0.0:80"] < UNHEALTHY
    for key in (f"n{i}" for i in range(1000)):
        request_id = router.request(key)
        if router.server_of(request_id) == "10.0.0.0:80":
            break
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.OK)
    other = router.request(key)
    assert router.server_of(other) != "10.0.0.0:80"  # it is still tried, but not filled
    router.advance(10 * MS)
    router.end_attempt(other, Outcome.OK)
    before = caches.limit = 12.0
    for _ in range(40):
        router.end_attempt(request_id, Outcome.FULL, final=True)
        request_id = router.request(key)
        for _ in range(2):  # at the next server
            good = router.request(key)
            router.advance(10 * MS)
            router.end_attempt(good, Outcome.OK)
    assert router.server_of(request_id) == "10.0.0.0:80" and caches.limit >= before


def test_a_limit_decreases_from_the_peak_in_flight_and_not_from_a_momentary_low():
    limiter = ConcurrencyLimiter(40.0)
    limiter.peak_inflight, limiter.inflight = 38, 2
    rounds(limiter, 0, slow=True, count=8)
    assert limiter.limit > 20


def test_connections_that_break_at_all_servers_do_not_indicate_load():
    """Guards against resets of one connection in eight: limits fell and healthy servers lost their keys."""
    router, same = Router(count=6), 0
    for i in range(400):
        request_id = router.request(f"k{i}")
        home = router.server_of(request_id)
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.RESET if i % 4 == 0 else Outcome.OK)
        if i % 4 == 0:
            same += router.server_of(request_id) == home
            router.advance(10 * MS)
            router.end_attempt(request_id, Outcome.OK)
    assert same > 80  # of 100 retries; this server has the key
    outliers = router.balancer.outliers
    outliers.refresh(router.now)
    assert router.balancer.cache_limiter.decreased_at == -math.inf and min(outliers.fractions.values()) > 0.5


def test_a_round_with_few_in_flight_when_half_of_it_is_slow_then_ends():
    """Guards against a slow reaction with two attempts a second at a slow origin.

    A full round took four seconds there, and the decrease of the limit took four rounds.
    """
    limiter = ConcurrencyLimiter(8.0, doubling=False)
    limiter.inflight = limiter.peak_inflight = 3
    rounds(limiter, 0, slow=True, count=3)
    assert limiter.decreased_at == -math.inf  # fewer may be chance
    rounds(limiter, 100 * MS, slow=True, count=1)
    assert limiter.limit < 4


def test_a_round_with_many_in_flight_when_its_first_attempts_are_slow_then_continues():
    limiter = ConcurrencyLimiter(40.0, doubling=False)
    limiter.inflight = limiter.peak_inflight = 30
    now = rounds(limiter, 0, slow=True, count=6)
    rounds(limiter, now, slow=False, count=24)
    assert limiter.decreased_at == -math.inf


def test_a_limit_when_a_whole_round_is_slow_then_decreases_more_than_after_a_few_slow_attempts():
    decreased = []
    for slow in (3, 10):
        limiter = ConcurrencyLimiter(10.0, doubling=False)
        limiter.inflight = limiter.peak_inflight = 10
        now = rounds(limiter, 0, slow=True, count=slow)
        rounds(limiter, now, slow=False, count=10 - slow)
        decreased.append(limiter.limit)
    a_few, all_of_them = decreased
    assert 9.2 < a_few < 10.0 and all_of_them < 6


@pytest.mark.parametrize(
    ("slow", "inflight", "result", "limit"),
    [
        (0, 8, RoundResult.GOOD, 11.0),  # increased by `min_increase`
        (1, 8, RoundResult.GOOD, 11.0),
        (0, 2, RoundResult.GOOD, 10.0),  # too little of the limit was used
        (2, 8, RoundResult.BAD, 9 * (1 - 0.45 / 16)),
        (8, 8, RoundResult.BAD, 9 * 0.55),
    ],
)
def test_a_round_changes_the_limit_by_its_slow_fraction(slow, inflight, result, limit):
    limiter = ConcurrencyLimiter(10.0, doubling=False, inflight=inflight, peak_inflight=8)
    results = [limiter.record(MS, i < slow, 0) for i in range(8)]
    assert results == [RoundResult.RUNNING] * 7 + [result]
    assert limiter.limit == pytest.approx(limit)
    assert limiter.decreased_at == (MS if result is RoundResult.BAD else -math.inf)


@given(steps=st.lists(st.tuples(st.booleans(), st.integers(0, 60)), max_size=300), floor=st.floats(0, 5))
@settings(derandomize=True, deadline=None, database=None, max_examples=60)
def test_no_round_decreases_a_limit_below_its_floor_and_permits_cap_it(steps, floor):
    limiter = ConcurrencyLimiter(50.0, max_permits=30)
    limiter.set_floor(floor)
    assert limiter.floor >= MIN_FLOOR and limiter.min_increase <= 1
    for now, (slow, inflight) in enumerate(steps, 1):
        limiter.inflight = inflight
        assert not (limiter.has_permit(now) and inflight >= max(1, min(30, limiter.limit)))
        limiter.record(now, slow, now)
        assert limiter.limit >= limiter.floor


@pytest.mark.parametrize(
    ("durations_ms", "limit", "max_permits", "expected_ms"),
    [
        ([], 4.0, math.inf, 10),  # none has ended: as assumed
        ([100], 4.0, math.inf, 25),
        ([100, 300], 4.0, math.inf, 27.5),  # a moving average
        ([100], 4.0, 2, 50),
        ([100], 0.5, math.inf, 200),  # one at a time with a pause
        ([100], 4.0, 0, 0),  # there is none
    ],
)
def test_the_interval_of_permits_is_the_duration_of_attempts_divided_by_the_permits(
    durations_ms, limit, max_permits, expected_ms
):
    limiter = ConcurrencyLimiter(limit, max_permits=max_permits, inflight=len(durations_ms))
    for duration_ms in durations_ms:
        limiter.release(0, duration_ms * MS)
    assert limiter.permit_interval_ns(assumed_duration_ns=40 * MS) == pytest.approx(expected_ms * MS)
