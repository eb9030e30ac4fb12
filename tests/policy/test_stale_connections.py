"""Stale connections: idle connections that the network drops silently.

Each test fails without the code that prevents the failure it describes.
"""

import math

import pytest
from support.policy import MS, START, Router, S

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.endpoint_state import Server
from flintridge.policy.stale_connections import STALE_EVIDENCE_NS, StaleConnections


def test_connections_are_closed_before_the_idle_time_at_which_the_network_drops_them():
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
    assert sum(lost) <= 12 and reopened > 20  # if left open, most would be lost


def recorded(*outcomes: tuple[Outcome, int], now: int = START) -> StaleConnections:
    """Returns the detector after attempts, given by outcome and idle time of the connection in ms."""
    stale = StaleConnections(60 * S)
    for outcome, idle_ms in outcomes:
        stale.record(Server(api.Endpoint("s"), 0), outcome, idle_ms * MS, now)
    return stale


OK, LOST = Outcome.OK, Outcome.TIMEOUT


@pytest.mark.parametrize(
    ("outcomes", "stale_after_ms"),
    [
        ([(OK, 10), (LOST, 900), (LOST, 800), (OK, 20)], 640),
        ([(OK, 10), (LOST, 900), (Outcome.RESET, 800), (Outcome.MISS, 20)], 640),
        ([(OK, 10), (LOST, 900), (OK, 20)], math.inf),  # a single one may be chance
        ([(LOST, 0), (LOST, 0), (OK, 0)], math.inf),  # opened for the attempt
        ([(LOST, 900), (LOST, 800), (LOST, 0), (LOST, 0), (OK, 20)], math.inf),  # new ones are lost too
        ([(LOST, 900), (OK, 900), (OK, 850), (OK, 850), (LOST, 800), (OK, 1)], math.inf),  # most are intact
        ([(OK, 10), (Outcome.ERROR, 900), (Outcome.CONNECT_FAILED, 800)], math.inf),
    ],
)
def test_connections_are_stale_from_an_idle_time_at_which_most_attempts_are_lost(outcomes, stale_after_ms):
    stale = recorded(*outcomes)
    assert stale.stale_after_ns == stale_after_ms * MS
    assert stale.closed_after_ns == min(stale_after_ms * MS, 60 * S)
    assert stale.is_detected is (stale_after_ms < math.inf)
    assert stale.explains(LOST, 700 * MS) is stale.is_detected
    assert not stale.explains(LOST, None) and not stale.explains(Outcome.ERROR, 700 * MS)


@pytest.mark.parametrize(
    ("after", "is_detected"), [(STALE_EVIDENCE_NS - 1, True), (STALE_EVIDENCE_NS, False)]
)
def test_lost_connections_count_for_a_limited_time(after, is_detected):
    stale = recorded((OK, 10), (LOST, 900), (LOST, 800))
    stale.record(Server(api.Endpoint("s"), 0), OK, 0, START + after)
    assert stale.is_detected is is_detected


@pytest.mark.parametrize("outcome", Outcome)
def test_a_connection_is_idle_since_the_last_outcome_that_shows_that_it_exists(outcome):
    stale, server = StaleConnections(60 * S), Server(api.Endpoint("s"), 0, connection_used_at=START)
    stale.record(server, outcome, 0, START + S)
    is_gone = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
    is_inconclusive = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.WITHDRAWN)
    assert stale.idle_ns(server, START + 3 * S) == (None if is_gone else (3 if is_inconclusive else 2) * S)
    server.inflight = 1
    assert stale.idle_ns(server, START + 3 * S) == 0
