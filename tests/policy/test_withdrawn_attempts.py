"""Withdrawn attempts: attempts that were never sent because the node's own machine failed."""

import pytest
from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.open_request import MAX_WITHDRAWN

PAUSE_NS = 10 * MS


def withdraw(router: Router, request_id: str, count: int) -> list[str]:
    """Withdraws `count` attempts one after the other and returns their servers."""
    servers = []
    for _ in range(count):
        servers.append(router.server_of(request_id))
        router.advance(PAUSE_NS)
        router.end_attempt(request_id, Outcome.WITHDRAWN)
    return servers


@pytest.mark.parametrize("caches", [1, 5])
def test_withdrawn_attempts_when_many_then_use_up_no_attempt_and_no_server(caches):
    router = Router(count=caches, limits=api.Limits(max_attempts=2, cancel=True))
    request_id = router.request()
    first = router.server_of(request_id)
    servers = withdraw(router, request_id, 2 * 5)
    assert request_id not in router.final_responses
    assert servers[:2] == [first, first]  # the same server is tried once more
    assert len(set(servers)) == caches  # a lack of ports may affect only one server
    assert not any(server.connect_backoff.until for server in router.balancer.servers.values())
    router.end_attempt(request_id, Outcome.MISS)
    assert router.server_of(request_id) == "10.9.9.9:80"
    withdraw(router, request_id, 4)
    assert router.server_of(request_id) == "10.9.9.9:80"  # another cache could only miss
    router.end_attempt(request_id, Outcome.OK)


def test_withdrawn_attempts_when_without_end_then_count_eventually():
    """Guards the node against an endless loop over a request that is withdrawn as soon as it is sent."""
    router = Router(count=1, limits=api.Limits(max_attempts=2, cancel=True))
    request_id = router.request()
    while request_id not in router.final_responses:
        assert router.attempts_made[request_id] <= MAX_WITHDRAWN + 2
        router.end_attempt(request_id, Outcome.WITHDRAWN)
    assert isinstance(router.final_responses[request_id], api.Reject)
