"""The concurrency limiter: what decreases a limit, and what is no sign of load.

Each test fails without the code that answers its failure.
"""

import math

from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.balancer import UNHEALTHY
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter


def rounds(limiter: ConcurrencyLimiter, now: int, slow: bool, count: int = 40) -> int:
    for _ in range(count):
        now += 10 * MS
        limiter.record(now, slow, now)
    return now


def test_a_limit_decreases_when_attempts_are_slow_and_increases_again():
    """Overload answered by more attempts; a limit that never grew back after a spell."""
    limiter = ConcurrencyLimiter(40.0)
    limiter.inflight = 40
    now = rounds(limiter, 0, slow=True, count=400)
    narrow = limiter.limit
    assert narrow < 20
    limiter.inflight = int(narrow) + 1
    rounds(limiter, now, slow=False, count=400)
    assert limiter.limit > narrow + 3


def test_an_unreached_limit_decreases_from_what_is_in_flight():
    """Many routers, each with few requests out, all far under limits that mean nothing."""
    limiter = ConcurrencyLimiter(94.0)
    limiter.inflight = 9
    rounds(limiter, 0, slow=True, count=20)
    assert limiter.limit < 10


def test_a_heavy_request_is_no_sign_of_load():
    router = Router(count=3)
    router.balancer.caches.doubling = False
    before = router.balancer.caches.limit
    for i in range(60):
        uid = router.ask(f"k{i}", work_ns=300 * MS)
        router.now += 400 * MS  # past half the aim, but most of it its own work
        router.end(uid, Outcome.OK)
    assert router.balancer.caches.limit >= before


def test_a_limit_under_one_is_one_attempt_at_a_time_with_pauses():
    """Hundreds of routers with one attempt out each may be more than the fleet can do."""
    router = Router(count=2, fleet_size=40)
    limiter = router.balancer.caches
    limiter.doubling, limiter.limit = False, 0.25
    first, second = router.ask("a"), router.ask("b")
    assert first in router.tries and second not in router.tries
    router.pass_time(100 * MS)
    router.end(first, Outcome.OK)
    assert second not in router.tries
    router.pass_time(290 * MS)
    assert second not in router.tries
    router.pass_time(20 * MS)
    assert second in router.tries


def test_a_lost_server_does_not_decrease_the_limit_for_the_rest():
    router = Router(count=5, limits=api.Limits(max_attempts=9))
    lost = "10.0.0.2:80"
    for i in range(300):
        uid = router.ask(f"k{i}")
        while uid not in router.answers:
            silent = router.server_of(uid) == lost
            router.now += 10 * MS
            router.end(uid, Outcome.RESET if silent else Outcome.OK)
    assert router.balancer.health(router.balancer.servers[lost]) < UNHEALTHY
    limiter = router.balancer.caches
    limiter.round_attempts = limiter.round_slow = 0
    for _ in range(20):
        uid = router.ask("k")
        attempt = router.balancer.open_requests[uid].attempts[0]
        router.balancer.servers[attempt.server].inflight -= 1  # as if it had been tried at the lost one
        router.balancer.servers[lost].inflight += 1
        attempt.server = lost
        router.end(uid, Outcome.CONNECT_FAILED, final=True)
    assert limiter.round_slow == 0


def test_slow_handshakes_do_not_decrease_the_limit():
    router = Router(count=3, limits=api.Limits(max_attempts=4, conn_idle_ns=50 * MS))
    for i in range(40):
        router.now += 100 * MS
        uid = router.ask(f"k{i}")
        router.now += 400 * MS
        router.end(uid, Outcome.OK)
    assert router.balancer.caches.decreased_at == -math.inf


def test_the_quick_rejections_of_an_unhealthy_server_decrease_no_limit_while_others_are_well():
    """One small server left full: a limiter at its floor, a hundred requests waiting, four servers idle."""
    router = Router(count=6)
    for i in range(300):
        uid = router.ask(f"k{i}")
        router.pass_time(10 * MS)
        sick = router.server_of(uid) == "10.0.0.0:80"
        router.end(uid, Outcome.FULL if sick else Outcome.OK, final=True)
    caches = router.balancer.caches
    assert router.balancer.fractions["10.0.0.0:80"] < UNHEALTHY
    for key in (f"n{i}" for i in range(1000)):
        uid = router.ask(key)
        if router.server_of(uid) == "10.0.0.0:80":
            break
        router.pass_time(10 * MS)
        router.end(uid, Outcome.OK)
    other = router.ask(key)
    assert router.server_of(other) != "10.0.0.0:80"  # to be tried on, not to be filled
    router.pass_time(10 * MS)
    router.end(other, Outcome.OK)
    before = caches.limit = 12.0
    for _ in range(40):
        router.end(uid, Outcome.FULL, final=True)
        uid = router.ask(key)
        for _ in range(2):  # at the next server
            good = router.ask(key)
            router.pass_time(10 * MS)
            router.end(good, Outcome.OK)
    assert router.server_of(uid) == "10.0.0.0:80" and caches.limit >= before


def test_a_limit_decreases_from_the_most_in_flight_not_from_a_lull():
    limiter = ConcurrencyLimiter(40.0)
    limiter.peak_inflight, limiter.inflight = 38, 2
    rounds(limiter, 0, slow=True, count=8)
    assert limiter.limit > 20


def test_connections_that_break_at_all_servers_alike_are_no_sign_of_load():
    """Guards limits and shares: with one in eight reset, limits fell and healthy servers lost their keys."""
    router, same = Router(count=6), 0
    for i in range(400):
        uid = router.ask(f"k{i}")
        home = router.server_of(uid)
        router.pass_time(10 * MS)
        router.end(uid, Outcome.RESET if i % 4 == 0 else Outcome.OK)
        if i % 4 == 0:
            same += router.server_of(uid) == home
            router.pass_time(10 * MS)
            router.end(uid, Outcome.OK)
    assert same > 80  # of 100: it has the key
    router.balancer.refresh_fractions()
    assert router.balancer.caches.decreased_at == -math.inf and min(router.balancer.fractions.values()) > 0.5
