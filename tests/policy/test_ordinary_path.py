"""The ordinary path of requests: ring, caps, clockwise walk, and own attempts in flight."""

import bisect
import math

from support.policy import ORIGIN_KIND, Router, members

from flintridge import api
from flintridge.api import EndpointState, Outcome, UpdateKind
from flintridge.policy.hash_ring import points, position_of
from flintridge.policy.server_selection import LOAD_SLACK, MIN_CAP

CACHES = [m.server for m in members(5) if m.kind != ORIGIN_KIND]


def clockwise(key: str, servers: list[str]) -> list[str]:
    """Returns the servers clockwise from the key on, computed without the ring."""
    ring = sorted((position, s) for s in servers for position in points(s, 0))
    at = bisect.bisect(ring, (position_of(key), ""))
    return list(dict.fromkeys(s for _, s in ring[at:] + ring[:at]))


def servers_of(router: Router, keys: list[str]) -> dict[str, str]:
    found = {}
    for key in keys:
        request_id = router.request(key)
        found[key] = router.server_of(request_id)
        router.end_attempt(request_id, Outcome.OK)
    return found


def test_a_key_goes_to_its_first_clockwise_server():
    router = Router()
    keys = [f"key{i}" for i in range(200)]
    assert servers_of(router, keys) == {key: clockwise(key, CACHES)[0] for key in keys}


def test_a_full_server_passes_the_key_on_clockwise():
    router = Router(count=5)
    order = clockwise("hot", CACHES)
    in_flight = dict.fromkeys(CACHES, 0)
    for total in range(10):
        cap = max(MIN_CAP, math.ceil((1 + LOAD_SLACK) * (total + 1) / 5))
        expected = next(s for s in order if in_flight[s] < cap)
        assert router.server_of(router.request("hot")) == expected
        in_flight[expected] += 1


def test_every_outcome_releases_its_permit():
    for outcome in (
        Outcome.OK,
        Outcome.ERROR,
        Outcome.TIMEOUT,
        Outcome.FULL,
        Outcome.RESET,
        Outcome.CANCELLED,
    ):
        router = Router()
        request_id = router.request("k")
        assert router.balancer.cache_limiter.inflight == 1
        router.end_attempt(request_id, outcome, final=True)
        assert router.balancer.cache_limiter.inflight == 0
        assert all(s.inflight == 0 for s in router.balancer.servers.values())


def test_membership_changes_move_few_keys():
    router = Router(count=10)
    keys = [f"key{i}" for i in range(300)]
    before = servers_of(router, keys)
    lost = "10.0.0.3:80"
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(lost, EndpointState.GONE),)))
    after = servers_of(router, keys)
    assert lost not in after.values()
    assert all(after[k] == before[k] for k in keys if before[k] != lost)
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 3, (api.Endpoint(lost),)))
    assert servers_of(router, keys) == before


def test_a_miss_and_a_write_go_to_the_origin():
    router = Router()
    request_id = router.request("k")
    router.end_attempt(request_id, Outcome.MISS)
    assert router.server_of(request_id) == "10.9.9.9:80"
    assert router.server_of(router.request("w", cls=1, write=True)) == "10.9.9.9:80"


def test_a_write_in_read_through_mode_goes_to_a_server_on_the_ring():
    router = Router(mode=api.CacheMode.THROUGH, origin_kind=-1)
    request_id = router.request("w", cls=1, write=True)
    assert router.server_of(request_id) in [*clockwise("w", CACHES), "10.9.9.9:80"]


def test_requests_without_a_key_are_spread_over_the_servers():
    router = Router(count=10)
    used = set()
    for _ in range(60):
        request_id = router.request(None)
        used.add(router.server_of(request_id))
        router.end_attempt(request_id, Outcome.OK)
    assert len(used) > 5


def test_with_an_empty_list_requests_are_rejected_in_time_without_an_error():
    router = Router()
    router.notify(api.EndpointUpdate(UpdateKind.FULL, 2, ()))
    router.advance(2_000_000_000)
    request_id = router.request("k")
    router.advance(2_000_000_000)
    assert isinstance(router.final_responses[request_id], api.Reject)


def test_a_list_without_an_origin_ends_a_miss():
    router = Router()
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint("10.9.9.9:80", EndpointState.GONE),)))
    request_id = router.request("k")
    router.end_attempt(request_id, Outcome.MISS)
    router.advance(2_000_000_000)
    assert isinstance(router.final_responses[request_id], api.Reject)


def test_a_malformed_response_is_retried_at_the_same_server_and_ejects_no_server():
    """Guards the origin: each malformed response moved keys away, or excluded the only origin."""
    router = Router()
    for i in range(100):
        request_id = router.request(f"w{i}")
        router.now += 1_000_000
        router.end_attempt(request_id, Outcome.OK)
    home = router.server_of(router.request("k"))
    request_id = router.request("k")
    assert router.server_of(request_id) == home
    router.now += 1_000_000
    router.end_attempt(request_id, Outcome.ERROR, malformed=True)
    assert router.server_of(request_id) == home
    router.end_attempt(request_id, Outcome.ERROR, malformed=True)
    assert router.server_of(request_id) != home  # after two malformed responses
    request_id = router.request("other")
    router.end_attempt(request_id, Outcome.MISS)
    origin = router.server_of(request_id)
    router.end_attempt(request_id, Outcome.ERROR, malformed=True)  # a cache may have stored it
    router.end_attempt(request_id, Outcome.MISS)
    assert router.server_of(request_id) == origin
    for i in range(200):
        request_id = router.request(f"n{i}")
        router.now += 1_000_000
        malformed = i % 25 == 24
        router.end_attempt(
            request_id, Outcome.ERROR if malformed else Outcome.OK, final=True, malformed=malformed
        )
    router.balancer.outliers.refresh(router.now)
    assert min(router.balancer.outliers.fractions.values()) > 0.8


def test_a_server_gets_keys_in_proportion_to_its_weight_and_more_in_flight():
    """Guards small servers: with as many keys as large ones, they rejected a quarter of all requests."""
    router = Router(count=0)
    weights = {f"10.0.0.{i}:80": 4.0 if i < 2 else 0.5 for i in range(6)}
    listed = tuple(api.Endpoint(s, weight=w) for s, w in weights.items())
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, listed))
    keys = servers_of(router, [f"key{i}" for i in range(3000)])
    counts = {s: sum(home == s for home in keys.values()) for s in weights}
    large = counts["10.0.0.0:80"] + counts["10.0.0.1:80"]
    assert 0.7 < large / len(keys) < 0.9  # their weights are 8 of 10
    router.balancer.cache_limiter.limit = 100.0
    for i in range(40):
        router.request(f"held{i}")
    in_flight = {s: router.balancer.servers[s].inflight for s in weights}
    assert min(in_flight["10.0.0.0:80"], in_flight["10.0.0.1:80"]) > max(
        in_flight[s] for s in list(weights)[2:]
    )
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 3, (api.Endpoint("10.0.0.9:80", weight=0.0),)))
    router.request("no weight said")
