"""Outlier detection: costs, health, and the decay of evidence.

Each test fails without the code that prevents the failure it describes.
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


def test_a_server_with_quick_errors_does_not_count_as_fast():
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
    assert 0 < after.count(bad) < 100 / 5 / 2  # it loses most of its keys, but is still tried


def test_a_fleet_that_is_slow_as_a_whole_keeps_its_keys():
    router = Router(count=5)
    for i in range(300):
        request_id = router.request(f"k{i}")
        router.now += (20 if i < 150 else 400) * MS
        router.end_attempt(request_id, Outcome.OK)
    outliers = router.balancer.outliers
    assert all(outliers.fraction(server, router.now) > 0.6 for server in router.balancer.ready.values())


def test_an_unreachable_part_of_the_fleet_does_not_define_the_usual_cost():
    """Guards against a lost zone: by the mean cost, a half of the fleet that failed looked half healthy."""
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


def test_evidence_of_a_rarely_used_server_decays():
    """A node that uses a server every few seconds must not avoid it forever after one error."""
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


def test_failures_everywhere_do_not_let_costs_grow_without_bound():
    """Guards against costs relative to a fleet cost that includes earlier failures.

    Within seconds of full queues, costs were 10,000 times the usual and healthy servers had a fraction of a
    tenth.
    """
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
    """Guards the cost of the fleet that servers are compared with.

    Idle servers were considered as bad as the failing one, so one that rejected all requests kept its keys.
    """
    router = Router(count=6)
    for i in range(400):
        request_id = router.request(f"k{i}")
        unhealthy = router.server_of(request_id) == "10.0.0.0:80"
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.FULL if unhealthy else Outcome.OK, final=True)
    outliers = router.balancer.outliers
    now = router.now + 60 * S  # the evidence of each server has decayed
    outliers.refresh(now)
    costs = [outliers.likely_cost(s, 1.0, now) for s in router.balancer.servers.values() if s.evidence]
    assert max(costs) < 1.3, costs


EXPECTED_NS = 10 * MS


@pytest.fixture
def outliers():
    """Outlier detection for three servers that have each served many requests at the expected cost."""
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
    """Records one attempt at a server and returns the server."""
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
def test_an_outcome_counts_a_tenth_of_a_servers_cost_and_quick_failures_have_a_high_cost(
    outliers, outcome, latency_ms, malformed, cost
):
    server = record(outliers, outcome, latency_ms, malformed)
    assert server.cost == pytest.approx(0.9 + cost / 10)
    assert server.evidence == 10


@pytest.mark.parametrize(
    "outcome", [Outcome.MISS, Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.CONNECT_FAILED]
)
def test_outcomes_unrelated_to_the_health_of_a_server_change_nothing(outliers, outcome):
    server = record(outliers, outcome)
    assert server.cost == 1.0 and outliers.health(server, START) == 1.0
