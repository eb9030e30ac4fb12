"""Outlier detection: costs, health, and what fades.

Each test fails without the code that answers its failure.
"""

import pytest
from support.policy import MS, START, Router, S, ended

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.endpoint_state import ServerTable
from flintridge.policy.outlier_detection import UNHEALTHY, OutlierDetection
from flintridge.policy.server_fractions import HEALTHY_COST_FACTOR, MIN_HEALTH


def servers_of_keys(router: Router, count: int = 300) -> list[str]:
    found = []
    for i in range(count):
        request_id = router.request(f"home{i}")
        found.append(router.server_of(request_id))
        router.now += 20 * MS
        router.end_attempt(request_id, Outcome.OK)
    return found


def test_a_server_that_errors_fast_is_not_seen_as_empty():
    router = Router(count=5)
    bad = "10.0.0.2:80"
    for i in range(400):
        request_id = router.request(f"k{i}")
        at_bad = router.server_of(request_id) == bad
        router.now += (1 if at_bad else 20) * MS
        router.end_attempt(request_id, Outcome.ERROR if at_bad else Outcome.OK)
        if request_id not in router.final_responses:
            router.now += 20 * MS
            router.end_attempt(request_id, Outcome.OK)
    share = router.balancer.outliers.fraction(router.balancer.servers[bad], router.now)
    assert MIN_HEALTH <= share < 0.3
    after = servers_of_keys(router, 100)
    assert 0 < after.count(bad) < 100 / 5 / 2  # left, not emptied: it is tried on


def test_a_fleet_that_is_slow_as_a_whole_is_not_moved():
    router = Router(count=5)
    for i in range(300):
        request_id = router.request(f"k{i}")
        router.now += (20 if i < 150 else 400) * MS
        router.end_attempt(request_id, Outcome.OK)
    outliers = router.balancer.outliers
    assert all(outliers.fraction(server, router.now) > 0.6 for server in router.balancer.ready.values())


def test_a_cut_off_fraction_of_the_fleet_does_not_pass_for_usual():
    """A zone that is lost to this router: with the mean as measure half a fleet failing looked half well."""
    router = Router(count=6, limits=api.Limits(max_attempts=9))
    lost = {f"10.0.0.{i}:80" for i in range(3)}
    for i in range(300):
        request_id = router.request(f"k{i}")
        while request_id not in router.final_responses:
            silent = router.server_of(request_id) in lost
            router.now += (60 if silent else 20) * MS
            router.end_attempt(request_id, Outcome.RESET if silent else Outcome.OK)
    for name in router.balancer.ready:
        health = router.balancer.outliers.health(router.balancer.servers[name], router.now)
        assert health < UNHEALTHY if name in lost else health == 1


def test_what_a_server_met_rarely_showed_fades():
    """A router that meets a server every few seconds must not leave it for good after one bad answer."""
    router = Router(count=5)
    for i in range(40):
        router.now += 20 * MS
        request_id = router.request(f"k{i}")
        router.now += 20 * MS
        router.end_attempt(request_id, Outcome.OK)
    bad = router.balancer.servers[router.server_of(request_id := router.request("k"))]
    router.end_attempt(request_id, Outcome.ERROR)
    once = router.balancer.outliers.health(bad, router.now)
    router.now += 30 * S
    router.request("later")
    assert once < 1 == router.balancer.outliers.health(bad, router.now)


def test_failures_everywhere_do_not_make_costs_climb_without_end():
    """Each failure was weighed against a fleet's cost that held the failures before: 10,000 times the usual
    within seconds of full queues, and a share of a tenth for servers that were well."""
    router = Router(count=6)
    for i in range(600):
        request_id = router.request(f"k{i}")
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.FULL if i % 3 == 0 and i > 60 else Outcome.OK, final=True)
    outliers = router.balancer.outliers
    assert outliers.fleet_cost <= HEALTHY_COST_FACTOR / MIN_HEALTH * 1.1
    outliers.refresh(router.now)
    assert min(outliers.fractions.values()) > 0.5


def test_one_unhealthy_machine_does_not_make_others_of_its_kind_look_unhealthy():
    """Guards the measure of the fleet: with idle ones as bad, one that refused all kept its keys."""
    router = Router(count=6)
    for i in range(400):
        request_id = router.request(f"k{i}")
        unhealthy = router.server_of(request_id) == "10.0.0.0:80"
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.FULL if unhealthy else Outcome.OK, final=True)
    outliers = router.balancer.outliers
    now = router.now + 60 * S  # what is known of each by itself has faded
    outliers.refresh(now)
    costs = [outliers.likely_cost(s, 1.0, now) for s in router.balancer.servers.values() if s.evidence]
    assert max(costs) < 1.3, costs


EXPECTED_NS = 10 * MS


@pytest.fixture
def outliers():
    """Of three servers, each of which has served often at the expected cost."""
    table = ServerTable(None, api.Rules())
    table.apply(api.EndpointUpdate(api.UpdateKind.FULL, 1, tuple(map(api.Endpoint, "abc"))))
    table.update_ring()
    made = OutlierDetection(table, api.Rules())
    for server in table.ready.values():
        for _ in range(20):
            made.record(server, EXPECTED_NS, ended(Outcome.OK), START, is_failure=False)
    made.refresh(START)
    return made


def record(outliers: OutlierDetection, outcome: Outcome, latency_ms: int = 1, malformed: bool = False):
    """One attempt at a server; what is known of it."""
    server = outliers._table.servers["a"]
    event = ended(outcome, latency_ms * MS, malformed=malformed)
    is_failure = not malformed and outcome not in (Outcome.OK, Outcome.RESET)
    outliers.record(server, EXPECTED_NS, event, START, is_failure)
    return server


@pytest.mark.parametrize(
    ("outcome", "latency_ms", "malformed", "cost"),
    [
        (Outcome.OK, 10, False, 1.0),
        (Outcome.OK, 30, False, 3.0),
        (Outcome.OK, 10_000, False, 13.0),  # no outcome counts for more than a failure
        (Outcome.ERROR, 1, False, 13.0),
        (Outcome.FULL, 1, False, 13.0),
        (Outcome.TIMEOUT, 1, False, 13.0),
        (Outcome.ERROR, 1, True, 2.0),
        (Outcome.RESET, 1, False, 4.0),
        (Outcome.RESET, 60, False, 6.0),
    ],
)
def test_an_outcome_counts_a_tenth_of_a_servers_cost_and_quick_failures_are_dear(
    outliers, outcome, latency_ms, malformed, cost
):
    server = record(outliers, outcome, latency_ms, malformed)
    assert server.cost == pytest.approx(0.9 + cost / 10)
    assert server.evidence == 10


@pytest.mark.parametrize(
    "outcome", [Outcome.MISS, Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.CONNECT_FAILED]
)
def test_outcomes_that_say_nothing_of_a_server_change_nothing(outliers, outcome):
    server = record(outliers, outcome)
    assert server.cost == 1.0 and outliers.health(server, START) == 1.0
