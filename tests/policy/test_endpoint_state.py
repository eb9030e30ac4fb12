"""The table of servers, compared with a simple model, and the cost of changes in a large fleet."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, ORIGIN_KIND, Router, S, members

from flintridge import api
from flintridge.api import EndpointState, Outcome, UpdateKind
from flintridge.policy import hash_ring
from flintridge.policy.endpoint_state import RING_BATCH_SERVERS, RING_IMMEDIATE_SERVERS, ServerTable
from flintridge.policy.hash_ring import NUMBER_MASK, POINTS, HashRing, points

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE

plain = settings(derandomize=True, deadline=None, database=None, max_examples=80)
endpoints = st.builds(
    api.Endpoint,
    st.sampled_from([f"s{i}" for i in range(8)]),
    st.sampled_from([READY, READY, DRAINING, GONE]),
    st.sampled_from([0.0, 0.1, 0.7, 1.0, 100.0]),
    kind=st.sampled_from([0, 1, ORIGIN_KIND]),
    started_at=st.sampled_from([0, 5]),
)


def update_whole_ring(table: ServerTable) -> int:
    """Applies all pending changes to the ring and returns the number of calls that it took."""
    calls = 1
    while table.update_ring():
        calls += 1
    return calls


def ring_by_name(ring: HashRing, names: list[str]) -> list[tuple[int, str, int]]:
    return sorted((e >> 32, names[e >> 8 & NUMBER_MASK], e & 0xFF) for e in ring.entries)


def full(version: int, listed: tuple[api.Endpoint, ...]) -> api.EndpointUpdate:
    return api.EndpointUpdate(UpdateKind.FULL, version, listed)


def delta(version: int, *listed: api.Endpoint) -> api.EndpointUpdate:
    return api.EndpointUpdate(UpdateKind.DELTA, version, listed)


@pytest.fixture
def computed_servers(monkeypatch):
    """The names of the servers whose points were computed, in order."""
    names = []
    monkeypatch.setattr(
        hash_ring, "points", lambda server, number: names.append(server) or points(server, number)
    )
    return names


@given(batches=st.lists(st.lists(endpoints, max_size=5), max_size=12))
@plain
def test_a_table_after_any_updates_holds_the_servers_as_last_reported(batches):
    table = ServerTable(ORIGIN_KIND, api.Rules())
    reported: dict[str, api.Endpoint] = {}
    heaviest = 0.0
    for batch in batches:
        for endpoint in {
            endpoint.server: endpoint for endpoint in batch
        }.values():  # a list has one entry per server
            table.update(endpoint)
            if endpoint.state is not GONE:
                reported[endpoint.server] = endpoint
            else:
                reported.pop(endpoint.server, None)
        update_whole_ring(table)
        ready = {s: e for s, e in reported.items() if e.state is READY and e.kind != ORIGIN_KIND}
        weights = [e.weight for e in ready.values() if e.weight]
        heaviest = max(heaviest, *weights, 0.0)
        assert {s: known.endpoint for s, known in table.servers.items()} == reported
        assert {s: known.endpoint for s, known in table.ready.items()} == ready
        assert table.ring.numbers == {s: table.servers[s].number for s in ready}
        assert table.origins == sorted(
            s for s, e in reported.items() if e.state is READY and e.kind == ORIGIN_KIND
        )
        assert table.max_weight == heaviest
        if weights:
            assert table.mean_weight == pytest.approx(sum(weights) / len(weights), rel=1e-15)
        assert len({known.number for known in table.servers.values()}) == len(reported)
        assert all(table.names[known.number] == s for s, known in table.servers.items())
        assert len(table.names) <= 8 + 5


def test_replacing_one_of_many_servers_computes_only_its_own_and_its_successors_points(computed_servers):
    router = Router(count=RING_IMMEDIATE_SERVERS + 40)
    router.advance(S)
    router.request("k")
    computed_servers.clear()
    sorted_whole = list(router.balancer.table.ring.entries)
    gone = api.Endpoint("10.0.0.7:80", GONE)
    timers = len(router.timers)
    router.notify(delta(2, gone, api.Endpoint("new:80")))
    assert computed_servers == ["10.0.0.7:80", "new:80"] and len(router.timers) == timers
    assert len(set(sorted_whole) ^ set(router.balancer.table.ring.entries)) == 2 * POINTS


def test_a_list_equal_to_the_current_one_changes_nothing(computed_servers):
    router = Router(count=RING_IMMEDIATE_SERVERS + 40)
    router.advance(S)
    computed_servers.clear()
    timers = len(router.timers)
    router.notify(full(2, members(RING_IMMEDIATE_SERVERS + 40)))
    assert not computed_servers and len(router.timers) == timers


def test_a_first_list_of_thousands_is_added_to_the_ring_in_batches(computed_servers):
    """Guards the event loop, which a list of 3,200 servers blocked for more than a second."""
    router = Router(count=1)
    computed_servers.clear()
    count = RING_IMMEDIATE_SERVERS + 10 * RING_BATCH_SERVERS
    router.notify(full(2, members(count)))
    assert (
        len(computed_servers) == RING_IMMEDIATE_SERVERS
    )  # with the one that was there, and the origin among what was due
    while router.timers:
        before = len(computed_servers)
        router.advance(1 * MS)
        assert len(computed_servers) - before <= RING_BATCH_SERVERS
        assert len(router.timers) <= 1
    assert len(router.balancer.ready) == len(router.balancer.table.ring.numbers) == count
    assert len(computed_servers) == count - 1
    assert {router.server_of(router.request(f"k{i}")) for i in range(50)} <= set(router.balancer.ready)


def test_a_server_that_drains_while_a_long_list_is_applied_gets_no_more_requests(computed_servers):
    """A server is out of service immediately, before the batch that removes it from the ring."""
    router = Router(count=RING_IMMEDIATE_SERVERS + 100)
    kept = members(100)
    router.advance(S)
    off = {m.server for m in members(RING_IMMEDIATE_SERVERS + 100)} - {m.server for m in kept}
    router.notify(full(2, kept))
    assert len(router.balancer.ready) == 100 < len(router.balancer.table.ring.numbers)
    servers = {router.server_of(router.request(f"k{i}")) for i in range(100)}
    assert servers and not servers & off
    router.advance(S)
    assert len(router.balancer.table.ring.numbers) == 100 and len(router.balancer.servers) == 101


def test_two_thirds_of_the_servers_that_leave_and_return_get_the_same_positions():
    count = RING_IMMEDIATE_SERVERS + 44
    router = Router(count=count)
    router.advance(S)
    before = ring_by_name(router.balancer.table.ring, router.balancer.table.names)
    for version, pause in ((2, S), (4, 3 * MS), (6, 0)):  # 0: return before they are off the ring
        router.notify(full(version, members(count // 3)))
        router.advance(pause)
        assert len(router.balancer.ready) == count // 3
        router.notify(full(version + 1, members(count)))
        router.advance(S)
        assert len(router.balancer.ready) == count
        assert ring_by_name(router.balancer.table.ring, router.balancer.table.names) == before
    assert len(router.balancer.table.names) <= count + 1


def test_replacing_a_hundred_servers_each_second_for_a_minute_leaves_nothing_behind(computed_servers):
    """The replacements have new ids but reuse the numbers."""
    router = Router(count=300)
    router.advance(S)
    listed = [m.server for m in members(300)[:-1]]
    computed_servers.clear()
    for second in range(60):
        new = [f"n{second}-{i}:80" for i in range(100)]
        gone = [api.Endpoint(server, GONE) for server in listed[:100]]
        listed = listed[100:] + new
        router.notify(delta(2 + second, *gone, *map(api.Endpoint, new)))
        request_id = router.request(f"k{second}")
        assert router.server_of(request_id) in router.balancer.ready
        router.advance(S)
        router.end_attempt(request_id, Outcome.OK)
    balancer = router.balancer
    assert set(balancer.ready) == set(balancer.table.ring.numbers) == set(listed)
    assert len(computed_servers) == 60 * 200
    assert len(balancer.servers) == 301 and len(balancer.table.names) <= 401
    anew = HashRing()
    anew.replace(balancer.table.ring.numbers)
    assert list(anew.entries) == list(balancer.table.ring.entries)


def test_lists_in_different_orders_give_the_same_ring():
    listed = [api.Endpoint(f"s{i}", weight=0.1 + i) for i in range(60)]
    rings = []
    for seed in range(3):
        table = ServerTable(None, api.Rules())
        for endpoint in random.Random(seed).sample(listed, 60):
            table.update(endpoint)
        update_whole_ring(table)
        rings.append((ring_by_name(table.ring, table.names), table.max_weight, table.mean_weight))
    assert rings[0] == rings[1] == rings[2]


def test_the_last_of_two_entries_of_a_server_in_a_list_counts():
    router = Router(count=2)
    one = api.Endpoint("s:80", weight=2.0)
    router.notify(full(2, (one, replace(one, weight=3.0, zone=1), *members(2))))
    assert router.balancer.servers["s:80"].endpoint == replace(one, weight=3.0, zone=1)
    assert len(router.balancer.table.ring.entries) == 3 * POINTS
    assert router.balancer.table.mean_weight == 5 / 3


def test_a_change_of_an_unknown_server_adds_it_unless_it_is_gone():
    router = Router(count=2)
    router.notify(delta(2, api.Endpoint("a:80", GONE), api.Endpoint("b:80", DRAINING), api.Endpoint("c:80")))
    assert set(router.balancer.ready) == {"10.0.0.0:80", "10.0.0.1:80", "c:80"}
    assert "a:80" not in router.balancer.servers and "b:80" in router.balancer.servers


def test_a_server_that_left_with_an_attempt_in_flight_returns_as_listed():
    router = Router(count=1)
    request_id = router.request("k")
    server = router.server_of(request_id)
    number = router.balancer.servers[server].number
    router.notify(delta(2, api.Endpoint(server, GONE)))
    assert not router.balancer.ready and router.balancer.servers[server].inflight == 1
    back = api.Endpoint(server, weight=4.0, zone=2, cell=3, started_at=router.now)
    router.notify(delta(3, back))
    known = router.balancer.servers[server]
    assert (known.endpoint, known.inflight, known.number) == (back, 1, number)
    router.end_attempt(request_id, Outcome.OK)
    assert router.balancer.servers[server].inflight == 0
    assert router.balancer.table.max_weight == 4.0
    assert len(router.balancer.table.ring.entries) == POINTS


@pytest.mark.parametrize("count", [0, 1])
def test_a_request_is_sent_in_a_fleet_of_one_and_waits_in_an_empty_one(count):
    router = Router(count=2)
    router.notify(full(2, members(count)))
    request_id = router.request("k")
    assert len(router.balancer.table.ring.entries) == count * POINTS
    assert ((request_id, 0) in router.in_flight) == bool(count)
    router.notify(full(3, members(2)))
    assert len(router.balancer.ready) == 2


def test_a_server_has_a_list_of_sends_only_if_it_was_used_while_warming_up():
    router = Router(count=3)
    started = replace(members(1)[0], started_at=router.now)
    router.notify(full(2, (started, *members(3)[1:])))
    for i in range(40):
        router.end_attempt(router.request(f"k{i}"), Outcome.OK)
    held = {s for s, known in router.balancer.servers.items() if known.warm_up.sends is not None}
    assert held == {started.server}
