"""Fractions and selection, compared with a simple model, and the cost of a refresh."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, ORIGIN_KIND, Router, S, members
from support.policy import settings as router_settings

from flintridge import Balancer, api
from flintridge.api import EndpointState, Outcome, UpdateKind
from flintridge.policy import server_fractions
from flintridge.policy.endpoint_state import RING_BATCH_SERVERS, RING_IMMEDIATE_SERVERS
from flintridge.policy.hash_ring import HashRing, points
from flintridge.policy.outlier_detection import OutlierDetection
from flintridge.policy.server_fractions import MAX_TRACKED_SERVERS, health_of

plain = settings(derandomize=True, deadline=None, database=None, max_examples=60)


class PlainRing(HashRing):
    """One sorted list of all entries, which is rebuilt when the servers change."""

    sorted_numbers: tuple = ()
    sorted_entries: tuple = ()

    def walk(self, position):
        if self.sorted_numbers != tuple(self.numbers.items()):
            self.sorted_numbers = tuple(self.numbers.items())
            self.sorted_entries = sorted(
                entry for server, number in self.sorted_numbers for entry in points(server, number)
            )
        entries = self.sorted_entries
        return iter([e for e in entries if e >= position] + [e for e in entries if e < position])


class PlainFractions(dict):
    """The fraction of every ready server, whether used or not."""

    sum = 0.0

    @property
    def computed(self):
        return self

    def override(self, name, fraction):
        self.sum += fraction - self[name]
        self[name] = fraction

    def track(self, server, now):
        pass


class PlainOutliers(OutlierDetection):
    """Evaluates all servers in each refresh, as an earlier implementation did."""

    def __init__(self, table, rules):
        super().__init__(table, rules)
        self.fractions = PlainFractions()

    def refresh(self, now):
        baseline = self.fleet_cost
        servers = list(self._table.ready.values())
        if baseline:
            costs = sorted(self.likely_cost(server, baseline, now) for server in servers)
            self.fleet_cost = costs[len(costs) // 3]
        self.fractions = PlainFractions({s.endpoint.server: self.fraction(s, now) for s in servers})
        self.fractions.sum = sum(self.fractions.values())
        self._fresh_until = now + server_fractions.NS_PER_S // 2


class PlainBalancer(Balancer):
    """A balancer with the simple models in place of its mechanisms."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.table.ring = PlainRing()
        self.table.warmth_sums.count_warming = self.count_warming
        self.outliers = PlainOutliers(self.table, settings.rules)
        self.selection._outliers = self.feedback._outliers = self.outliers

    def count_warming(self, now):
        return sum(self.slow_start.warmth(server.endpoint, now) < 1 for server in self.ready.values())


OUTCOMES = [Outcome.OK] * 4 + [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED]
listed = st.lists(
    st.builds(
        api.Endpoint,
        st.sampled_from([f"s{i}" for i in range(12)]),
        st.sampled_from([EndpointState.READY] * 3 + [EndpointState.DRAINING, EndpointState.GONE]),
        st.sampled_from([1.0, 1.0, 0.1, 4.0, 100.0]),
        kind=st.sampled_from([0, 0, 0, 1, ORIGIN_KIND]),
        started_at=st.sampled_from([0, 0, 1000 * S, 1003 * S, 1010 * S]),
    ),
    min_size=1,
    max_size=12,
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.sampled_from([UpdateKind.DELTA, UpdateKind.FULL]), listed),
        st.tuples(st.just("requests"), st.integers(1, 12), st.integers(0, 10**6)),
        st.tuples(st.just("pause"), st.sampled_from([1 * MS, 300 * MS, 2 * S, 40 * S]), st.none()),
    ),
    min_size=4,
    max_size=25,
)


def play(router: Router, kind: str, first, second, version: int) -> None:
    if kind == "list":
        router.notify(api.EndpointUpdate(first, version, tuple(second)))
    elif kind == "pause":
        router.advance(first)
    else:
        rng = random.Random(second)
        for _ in range(first):
            router.request(f"k{rng.randrange(1000)}", work_ns=rng.choice([None, 20 * MS]))
            if rng.random() < 0.7 and router.in_flight:
                request_id, _ = rng.choice(list(router.in_flight))
                router.advance(rng.choice([1, 5, 80]) * MS)
                if (request_id, router.attempts_made[request_id] - 1) in router.in_flight:
                    router.end_attempt(request_id, rng.choice(OUTCOMES))


@given(steps=steps)
@plain
def test_a_balancer_selects_like_one_that_evaluates_every_server(steps):
    """Both take the same actions for the same events and seed, with all weights, kinds, ages and states."""
    routers = [Router(count=3), Router(count=3)]
    routers[1].balancer = PlainBalancer(router_settings(), 1)
    routers[1].timers.clear()
    routers[1].notify(api.EndpointUpdate(UpdateKind.CACHED, 1, members(3)))
    for version, (kind, first, second) in enumerate(steps, 2):
        for router in routers:
            play(router, kind, first, second, version)
        now = routers[0].now
        lazy, exhaustive = (router.balancer.outliers for router in routers)
        assert routers[0].sends == routers[1].sends
        assert routers[0].final_responses == routers[1].final_responses
        assert lazy.fleet_cost == exhaustive.fleet_cost
        if not routers[0].balancer.ready:
            continue
        lazy.refresh(now)
        exhaustive.refresh(now)
        assert dict(lazy.fractions) == dict(exhaustive.fractions)
        assert lazy.fractions.sum == pytest.approx(exhaustive.fractions.sum, rel=1e-12)


@pytest.fixture
def calls(monkeypatch):
    """Counts the calls of the functions that evaluate one server, by name."""
    counts = {"likely_cost_at": 0, "warmth_at": 0, "weight_root": 0}
    for name in counts:
        function = getattr(server_fractions, name)

        def counted(*args, name=name, function=function):
            counts[name] += 1
            return function(*args)

        monkeypatch.setattr(server_fractions, name, counted)
    return counts


def served(router: Router, key: str, outcome: Outcome = Outcome.OK) -> str:
    request_id = router.request(key)
    server = router.server_of(request_id)
    router.advance(5 * MS)
    router.end_attempt(request_id, outcome, final=True)
    return server


def test_a_refresh_in_a_large_fleet_evaluates_only_servers_that_were_used(calls):
    router = Router(count=RING_IMMEDIATE_SERVERS + 20 * RING_BATCH_SERVERS)
    router.advance(S)
    used = {served(router, f"k{i}") for i in range(10)}
    bad = {served(router, f"bad{i}", Outcome.ERROR) for i in range(3)}
    router.advance(S)
    calls.update(dict.fromkeys(calls, 0))
    router.balancer.outliers.refresh(router.now)
    assert calls["likely_cost_at"] <= len(used | bad)
    assert calls["warmth_at"] <= 2 * len(bad) and calls["weight_root"] <= 2 * len(bad)
    assert router.balancer.outliers.fractions.sum < len(router.balancer.ready)


def test_a_refresh_while_all_of_a_large_fleet_warms_up_evaluates_no_server(calls):
    router = Router(count=1)
    count = RING_IMMEDIATE_SERVERS + 20 * RING_BATCH_SERVERS
    listed = tuple(api.Endpoint(f"s{i}:80", started_at=router.now) for i in range(count))
    router.notify(api.EndpointUpdate(UpdateKind.FULL, 2, listed))
    router.advance(S)
    calls.update(dict.fromkeys(calls, 0))
    router.balancer.outliers.refresh(router.now)
    assert calls == dict.fromkeys(calls, 0)
    assert router.balancer.outliers.fractions.sum == pytest.approx((0.3 + 0.7 * 0.1) * count)


def test_servers_beyond_the_maximum_are_dropped_once_their_evidence_has_decayed():
    """Up to MAX_TRACKED_SERVERS stay tracked regardless of their last use, as in any small fleet."""
    router = Router(count=3 * MAX_TRACKED_SERVERS)
    router.advance(S)
    used = {served(router, f"k{i}") for i in range(4 * MAX_TRACKED_SERVERS)}
    balancer = router.balancer
    known = [s for s in balancer.servers.values() if s.evidence]
    assert len(known) == len(used) > MAX_TRACKED_SERVERS + 50  # 5 ms each: no evidence has decayed
    router.advance(60 * S)
    for i in range(2 * len(used)):
        served(router, f"k{i % 5}")
    known = [s for s in balancer.servers.values() if s.evidence]
    assert len(known) == MAX_TRACKED_SERVERS == len(balancer.outliers.fractions._tracked)


def test_evidence_of_few_servers_is_kept_regardless_of_its_age():
    router = Router(count=5)
    for i in range(40):
        served(router, f"k{i}")
    bad = served(router, "k", Outcome.ERROR)
    evidence = router.balancer.servers[bad].evidence
    router.advance(600 * S)
    assert served(router, "other") != bad
    assert router.balancer.servers[bad].evidence == evidence > 0


def test_a_server_that_is_gone_is_no_longer_tracked():
    router = Router(count=3)
    for i in range(40):
        served(router, f"k{i}")
    for i in range(3):
        gone = api.Endpoint(f"10.0.0.{i}:80", EndpointState.GONE)
        new = api.Endpoint(f"new{i}:80")
        router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2 + i, (gone, new)))
    served(router, "k")
    assert len(router.balancer.outliers.fractions._tracked) == 1


def test_health_of_a_server_that_costs_nothing_is_the_best():
    """Guards against an error in the policy after attempts of 0 ns."""
    assert health_of(0.0, 5.0) == 1.0
    assert health_of(0.0, None) == 1.0
