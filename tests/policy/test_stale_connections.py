"""Idle connections that the network drops unseen.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router

from flintridge.api import Outcome


def test_connections_dropped_unseen_are_closed_before_they_are_that_old():
    router = Router(count=3)
    lost, reopened = [], 0
    for i in range(60):
        router.now += 800 * MS if i % 2 else 100 * MS
        request_id = router.request(f"k{i % 3}")
        idle = router.balancer.open_requests[request_id].attempts[0].idle_ns
        reopened += i >= 3 and idle is None
        lost.append((idle or 0) > 500 * MS)
        router.now += 900 * MS if lost[-1] else 20 * MS
        router.end_attempt(request_id, Outcome.TIMEOUT if lost[-1] else Outcome.OK, final=True)
    assert sum(lost) <= 12 and reopened > 20  # left open, most would be lost
