"""The four rules of the platform, case by case and with seeded random streams of events."""

import random
from dataclasses import replace

import pytest
from support.policy import MS, ORIGIN_KIND, START, Router, S, members

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Effect, EndpointState, Outcome, UpdateKind

FAILURES = [o for o in Outcome if o not in (Outcome.OK, Outcome.MISS)]


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize("cls", [0, 1, 2])
def test_each_outcome_for_each_effect(outcome, cls):
    router = Router()
    effect = router.settings.classes[cls].effect
    request_id = router.request("k", cls)
    router.now += 10 * MS
    router.end_attempt(request_id, outcome)
    if effect is Effect.UNSAFE and outcome not in NEVER_EXECUTED:
        assert router.attempts_made[request_id] == 1
        assert isinstance(router.final_responses[request_id], api.Fail)
    else:
        assert router.attempts_made[request_id] == 2 or isinstance(
            router.final_responses[request_id], api.Reject
        )


def test_a_keyed_retry_stays_within_its_deduplication_window():
    router = Router()
    request_id = router.request("k", cls=1)
    router.now += 500 * MS  # past the window of 400 ms
    router.end_attempt(request_id, Outcome.TIMEOUT)
    assert router.attempts_made[request_id] == 1
    assert request_id in router.final_responses


@pytest.mark.parametrize("group", [api.DeduplicationScope.ZONE, api.DeduplicationScope.CELL])
def test_a_keyed_retry_stays_within_its_deduplication_scope(group):
    classes = (
        api.RequestClass(
            effect=Effect.KEYED, deduplication_scope=group, deduplication_window_ns=S, deadline_ns=3 * S
        ),
    )
    router = Router(classes=classes, mode=api.CacheMode.THROUGH, origin_kind=-1)
    listed = tuple(api.Endpoint(f"10.0.0.{i}:80", zone=i % 2, cell=i % 2) for i in range(6))
    router.notify(api.EndpointUpdate(UpdateKind.FULL, 2, listed))
    side = {m.server: m.zone for m in listed}
    repeated = 0
    for i in range(40):
        request_id = router.request(f"k{i}")
        first = router.server_of(request_id)
        router.now += 10 * MS
        router.end_attempt(request_id, Outcome.RESET)
        if router.attempts_made[request_id] == 2:
            repeated += 1
            assert side[router.server_of(request_id)] == side[first]
            router.end_attempt(request_id, Outcome.OK)
        else:
            assert isinstance(
                router.final_responses[request_id], api.Fail
            )  # no rejection: the client might retry at another server
    assert repeated


def test_a_draining_or_gone_server_gets_no_new_requests():
    router = Router(count=4)
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        target = router.server_of(router.request("k"))
        router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(target, state),)))
        before = len(router.sends)
        for i in range(50):
            request_id = router.request(f"x{i}")
            if (request_id, 0) in router.in_flight:
                router.end_attempt(request_id, Outcome.OK)
        assert target not in {s.server for s in router.sends[before:]}


def test_a_timeout_at_the_deadline_gets_its_final_response_immediately():
    router = Router()
    request_id = router.request("k")
    router.now = router.deadlines[request_id]
    router.end_attempt(request_id, Outcome.TIMEOUT)
    assert request_id in router.final_responses


def test_nothing_is_sent_for_a_client_that_has_disconnected():
    router = Router()
    request_id = router.request("k")
    router.notify(api.ClientDisconnected(request_id))
    router.final_responses[request_id] = api.Log("gone")
    router.end_attempt(request_id, Outcome.MISS, final=True)
    assert router.attempts_made[request_id] == 1


def test_events_for_unknown_requests_are_ignored():
    router = Router()
    assert router.notify(api.ClientDisconnected("nobody")) == []
    assert router.notify(api.AttemptEnded("nobody", 0, "10.0.0.1:80", Outcome.OK, 1, True)) == []
    assert router.notify(api.StreamStarted("nobody", 0, "10.0.0.1:80")) == []
    assert router.notify(api.TimerFired(12345)) == []


def test_the_limit_of_attempts_is_kept():
    router = Router(limits=api.Limits(max_attempts=3))
    request_id = router.request("k")
    for _ in range(5):
        if request_id in router.final_responses:
            break
        router.end_attempt(request_id, Outcome.FULL)
    assert router.attempts_made[request_id] <= 3
    router.advance(2 * S)
    assert isinstance(router.final_responses[request_id], api.Reject)


def most_sends_in_a_window(router: Router, server: str, sends: list[tuple[int, str]], window: int) -> int:
    times = [at for at, name in sends if name == server]
    return max((sum(1 for t in times if at <= t < at + window) for at in times), default=0)


def worst_of_a_burst(seed: int) -> int:
    """Returns how many requests a node sends to a server that has just started, in a burst's worst window."""
    router = Router(count=4, seed=seed)
    for _ in range(300):  # each warm server serves about 25 a second
        request_id = router.request(f"w{router.next_id}")
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.OK)
    fresh = api.Endpoint("10.0.1.1:80", started_at=router.now - 100 * MS)
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (fresh,)))
    sends: list[tuple[int, str]] = []
    for _ in range(400):
        request_id = router.request(f"w{router.next_id}")
        router.advance(2 * MS)
        if (request_id, 0) in router.in_flight:
            sends.append((router.now, router.server_of(request_id)))
            if router.server_of(request_id) == fresh.server or router.next_id % 2:
                router.end_attempt(request_id, Outcome.OK)
    return most_sends_in_a_window(router, fresh.server, sends, S)


def test_a_server_that_is_warming_up_gets_a_budget_of_work():
    """Rule 4: without the budget, a burst that finds all others full goes to the server that warms up."""
    assert 0 < worst_of_a_burst(1) <= 3.0 * 0.4 * 25


def test_a_server_that_is_warming_up_gets_no_more_as_the_last_resort():
    """Guards a server in connect backoff that is the only one left.

    All requests that are sent to it arrive together once it accepts connections.
    """
    router = Router(count=4)
    for _ in range(300):  # each warm server serves about 25 a second
        request_id = router.request(f"w{router.next_id}")
        router.advance(10 * MS)
        router.end_attempt(request_id, Outcome.OK)
    fresh = api.Endpoint("10.0.1.1:80", started_at=router.now - 100 * MS)
    gone = [replace(member, state=EndpointState.GONE) for member in members(4)[:4]]
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (*gone, fresh)))
    router.balancer.servers[fresh.server].connect_backoff.until = router.now + 10 * S
    router.balancer.cache_limiter.limit = 200.0
    sends: list[tuple[int, str]] = []
    for _ in range(400):
        request_id = router.request(f"w{router.next_id}")
        router.advance(2 * MS)
        if (request_id, 0) in router.in_flight:
            sends.append((router.now, router.server_of(request_id)))  # waits for its connection
    assert 0 < most_sends_in_a_window(router, fresh.server, sends, S) <= 3.0 * 0.4 * 25


def test_two_processes_of_one_node_keep_to_the_budget_together():
    """In an upgrade, both have observed all of the node's load, and neither knows what the other sends."""
    assert worst_of_a_burst(1) + worst_of_a_burst(2) <= 3.0 * 0.4 * 25


@pytest.mark.parametrize("seed", range(12))
def test_random_streams_of_events_keep_the_rules(seed):
    """Checks rules 1 to 3; `Router` itself fails on a second final response or a send after it."""
    rng = random.Random(seed)
    tenants = (api.Tenant("a", 5.0), api.Tenant("b", 50.0))
    router = Router(count=6, seed=seed, tenants=tenants, over_quota_weight=0.1)
    states = {m.server: EndpointState.READY for m in members(6)}
    executed: dict[str, tuple[int, str]] = {}
    effects: dict[str, Effect] = {}
    notified_at: dict[str, int] = {}
    checked = 0

    def check_sends() -> None:
        nonlocal checked
        for send in router.sends[checked:]:
            if states[send.server] is not EndpointState.READY:
                assert router.now <= notified_at[send.server] + router.settings.rules.drain_grace_ns
            if send.id in executed and effects[send.id] is not Effect.SAFE:
                assert effects[send.id] is Effect.KEYED
                assert router.now <= executed[send.id][0] + 400 * MS
        checked = len(router.sends)

    for step in range(1500):
        router.advance(rng.randrange(0, 8 * MS))
        check_sends()
        for request_id in [
            u for u, d in router.deadlines.items() if d < router.now and u not in router.final_responses
        ]:
            late = [key for key in router.in_flight if key[0] == request_id]
            assert late, "a request has no final response and no attempt in flight at its deadline"
        for request_id, attempt in list(router.in_flight):
            if router.deadlines[request_id] <= router.now:
                assert attempt == router.attempts_made[request_id] - 1
                router.end_attempt(request_id, Outcome.TIMEOUT)
        draw = rng.random()
        if draw < 0.45:
            cls = rng.choice([0, 0, 0, 1, 2])
            request_id = router.request(f"k{rng.randrange(40)}", cls, write=cls > 0, tenant=rng.randrange(2))
            effects[request_id] = router.settings.classes[cls].effect
        elif draw < 0.95 and router.in_flight:
            request_id, _ = rng.choice(sorted(router.in_flight))
            server, sent = router.in_flight[request_id, router.attempts_made[request_id] - 1]
            at_origin = server == "10.9.9.9:80"
            outcome = rng.choice([Outcome.OK] * 6 + FAILURES + ([] if at_origin else [Outcome.MISS] * 4))
            if outcome not in NEVER_EXECUTED:
                executed.setdefault(request_id, (sent, server))
            router.end_attempt(request_id, outcome)
        elif draw > 0.985:
            server = rng.choice(sorted(states))
            states[server] = rng.choice(list(EndpointState))
            kind = ORIGIN_KIND if server == "10.9.9.9:80" else 0
            router.notify(
                api.EndpointUpdate(UpdateKind.DELTA, step, (api.Endpoint(server, states[server], kind=kind),))
            )
            notified_at[server] = router.now
        check_sends()
        for request_id, answer in router.final_responses.items():
            if isinstance(answer, api.Reject) and effects[request_id] is Effect.UNSAFE:
                assert request_id not in executed
    router.advance(4 * S)
    for request_id, _ in list(router.in_flight):
        router.end_attempt(request_id, Outcome.TIMEOUT)
    assert set(router.final_responses) == set(router.deadlines)
    assert router.balancer.open_requests == {}


def worst_of_a_fleet(size: int, rate_per_s: int, warmed: bool, seconds: int = 3, **changes) -> int:
    """Returns how many requests `size` nodes send to a server in the worst overload window after its start.

    Each node receives `rate_per_s` requests a second for one key, whose first server is this one.
    """
    fresh = api.Endpoint("10.0.1.1:80", started_at=START)
    key = next(k for k in map(str, range(1000)) if first_server(k, fresh.server) == fresh.server)
    sent: list[int] = []
    for seed in range(size):
        router = Router(count=4, seed=seed, fleet_size=size, **changes)
        if warmed:
            for _ in range(20):  # ten a second for two windows are 2.5 a second at each warm server
                request_id = router.request(f"w{router.next_id}")
                router.advance(100 * MS)
                router.end_attempt(request_id, Outcome.OK)
        start = replace(fresh, started_at=router.now)
        router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (start,)))
        router.advance(seed * S // rate_per_s // size)
        began = start.started_at
        for _ in range(seconds * rate_per_s):
            request_id = router.request(key)
            if (request_id, 0) in router.in_flight:
                if router.server_of(request_id) == fresh.server:
                    sent.append(router.now - began)
                router.advance(5 * MS)
                router.end_attempt(request_id, Outcome.OK)
            router.advance(S // rate_per_s - 5 * MS)
    return max((sum(at <= t < at + S for t in sent) for at in sent), default=0)


def first_server(key: str, fresh: str, started_at: int = 0) -> str:
    router = Router(count=4, tenants=(api.Tenant("a", 1e9),))  # the budget is too large to matter
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(fresh, started_at=started_at),)))
    return router.server_of(router.request(key))


def test_a_fleet_of_small_routers_keeps_to_the_slow_start_budget_together():
    """Rule 4 applies to all nodes together.

    Guards against nodes that each send one request to a server that is warming up as if they were alone: with
    200 nodes, a popular key overloaded it although no node had sent more than one request.
    """
    size = 100
    warm_server = size * 2.5  # requests a second, as the nodes have observed
    assert 0 < worst_of_a_fleet(size, 2, warmed=True) <= 3.0 * 0.5 * warm_server
    # Right after their own start, nodes have observed nothing: the quotas imply 50 a second for each server.
    quotas = (api.Tenant("a", 150.0), api.Tenant("b", 100.0))
    assert 0 < worst_of_a_fleet(size, 2, warmed=False, tenants=quotas) <= 3.0 * 0.5 * 50
    # Without quotas, a server is assumed to serve at least one request while a client waits.
    assert worst_of_a_fleet(size, 2, warmed=False, seconds=1) <= 3.0 * 0.5 * 0.5 + 2


def test_a_single_node_can_use_a_server_that_is_warming_up():
    """A budget of less than one request must not be zero, and the only server of a fleet must be used."""
    assert worst_of_a_fleet(1, 20, warmed=False) >= 1
    router = Router(count=0)
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint("10.0.1.1:80", started_at=START),)))
    answered = 0
    for _ in range(30):
        request_id = router.request("k")
        router.advance(50 * MS)
        if (request_id, 0) in router.in_flight:
            router.end_attempt(request_id, Outcome.OK)
            answered += 1
        router.advance(200 * MS)
    assert answered


def test_an_hour_of_low_load_does_not_make_the_slow_start_budget_small():
    """The observed work is load and not capacity, which follows from the quotas.

    With budgets from load alone, replaced servers were idle in a burst while keys went on to full ones.
    """
    quotas = (api.Tenant("a", 400.0),)
    assert 30 <= worst_of_a_fleet(1, 40, warmed=True, tenants=quotas) <= 3.0 * 0.5 * 100


def test_a_heavy_key_does_not_use_a_slow_start_budget_many_times():
    """Guards against a random draw by the mean work for the first send to a server.

    It allowed too many sends to a server that gets only heavier requests.
    """
    size, light, heavy, name = 200, 10 * MS, 100 * MS, "10.0.1.1:80"
    key = next(k for k in map(str, range(1000)) if first_server(k, name, START) == name)
    sent = 0
    for seed in range(size):
        router = Router(count=4, seed=seed, fleet_size=size, tenants=(api.Tenant("a", 400.0),))
        for i in range(20):
            router.end_attempt(router.request(f"w{i}", work_ns=light), Outcome.OK)
        router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(name, started_at=START),)))
        sent += router.server_of(router.request(key, work_ns=heavy)) == name
    # The quotas admit 80 a second at each of five servers; the mean work is slightly above `light` by now.
    budget = 0.5 * 3.0 * 0.3 * 80 * 1.5 * light
    assert 0 < sent * heavy <= 2.5 * budget
