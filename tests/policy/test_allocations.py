"""Allocations: their effect on quotas, floors, permits and retries, and the end of leases."""

from dataclasses import replace

import pytest
from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome

TENANTS = (api.Tenant("flood", 100.0), api.Tenant("calm", 100.0))


def router(**changes) -> Router:
    return Router(count=4, tenants=TENANTS, fleet_size=10, **changes)


def admitted(made: Router, seconds: int, tenant: int = 0, over_quota: float = 0.0) -> int:
    """Sends 200 requests a second and returns how many are admitted; each is served immediately."""
    served = 0
    for i in range(seconds * 200):
        made.balancer.quotas.over_quota_admit_fraction = (
            over_quota  # at 0, all requests over quota are rejected
        )
        request_id = made.request(f"k{i}", tenant=tenant)
        if request_id not in made.final_responses:
            served += 1
            made.end_attempt(request_id, Outcome.OK)
        made.advance(5 * MS)
    return served


@pytest.mark.parametrize(("part", "least", "most"), [(1.0, 150, 170), (2.0, 300, 330), (0.2, 30, 40)])
def test_a_quota_follows_the_allocation(part, least, most):
    """The quota with slack is 150 requests a second for 10 nodes, so the even share of a node is 15."""
    made = router()
    if part != 1.0:
        made.notify(api.AllocationUpdate({0: part}))
    assert least <= admitted(made, 10) <= most
    assert 150 <= admitted(made, 10, tenant=1) <= 170


def test_a_lease_ends_by_the_clock_even_if_the_policy_is_not_notified():
    made = router()
    made.notify(
        api.AllocationUpdate({0: 4.0}, valid_until=made.now + 5 * S, fallback=api.AllocationUpdate({0: 0.4}))
    )
    assert 300 <= admitted(made, 5) <= 365
    assert admitted(made, 5) <= 0.4 * 15 * 5 + 8
    assert made.balancer.allocation.tenants == {0: 0.4}


def test_time_before_a_lease_is_accounted_at_the_old_rate():
    """Guards against a node that was idle for long and then uses what its lender has used meanwhile."""
    made = router()
    made.balancer.quotas.rates_per_s[0] = 100.0  # a bucket that is deep enough to show the difference
    admitted(made, 2)
    made.notify(api.AllocationUpdate({0: 0.0}))
    made.advance(60 * S)
    made.notify(api.AllocationUpdate({0: 1.0}))
    assert admitted(made, 1) <= 101


@pytest.mark.parametrize("strict", [False, True])
def test_requests_over_quota_are_rejected_despite_capacity_only_if_quotas_are_strict(strict):
    made = router()
    made.notify(api.AllocationUpdate(strict_quotas=strict))
    served = admitted(made, 4, over_quota=1.0)
    assert served <= 4 * 15 + 15 if strict else served == 800


def test_a_strict_quota_is_checked_again_for_each_retry():
    """A request that was rejected once must not count as over quota forever."""
    made = router()
    made.notify(api.AllocationUpdate(strict_quotas=True))
    while (request_id := made.request("k", work_ns=MS)) not in made.final_responses:
        made.end_attempt(request_id, Outcome.OK)
    made.advance(100 * MS)
    assert made.request("k", work_ns=MS, retry=True) not in made.final_responses


def test_floors_and_minimum_increases_of_limiters_follow_the_allocation():
    made = Router(count=4, fleet_size=100)
    limiters = made.balancer.cache_limiter, made.balancer.origin_limiter
    assert [limiter.floor for limiter in limiters] == [0.1, 0.1]
    made.notify(
        api.AllocationUpdate(
            concurrency_floors=50.0,
            valid_until=made.now + S,
            fallback=api.AllocationUpdate(concurrency_floors=10.0),
        )
    )
    assert [limiter.floor for limiter in limiters] == [2.0, 2.0] and limiters[0].min_increase == 1.0
    made.advance(2 * S)
    made.request("k")
    assert [limiter.floor for limiter in limiters] == pytest.approx([0.4, 0.4])


def test_permits_limit_the_attempts_in_flight_at_the_origin_and_at_the_caches():
    made = Router(count=4, mode=api.CacheMode.ASIDE)
    made.notify(api.AllocationUpdate(origin_permits=2, cache_permits=3))
    request_ids = [made.request(f"k{i}") for i in range(10)]
    assert len(made.in_flight) == 3
    for request_id in [request_id for request_id in request_ids if made.attempts_made.get(request_id)][:3]:
        made.end_attempt(request_id, Outcome.MISS, final=False)
    at_origin = [server for server, _ in made.in_flight.values() if server == "10.9.9.9:80"]
    assert len(at_origin) == 2 and len(made.in_flight) == 5
    made.notify(api.AllocationUpdate(origin_permits=0, cache_permits=0))
    waiting = made.request("another")
    assert made.attempts_made.get(waiting) is None
    made.notify(api.AllocationUpdate())
    made.advance(1 * MS)
    made.request("one more")
    assert made.attempts_made.get(waiting) == 1


def test_retries_are_a_fraction_of_first_attempts_and_an_allocated_rate():
    allocation = api.AllocationUpdate({-1: 1.0}, retries_per_s=2.0, retries_per_attempt=0.1)
    # 300 first attempts in 15 s allow 30 retries, plus 2 or 6 a second, plus an initial burst of 8.
    for event, least, most in (
        (None, 300, 900),
        (allocation, 60, 68),
        (replace(allocation, tenants={-1: 3.0}), 110, 128),
    ):
        made = Router(count=12, seed=3)
        if event is not None:
            made.notify(event)
        repeats = 0
        for i in range(300):
            request_id = made.request(f"k{i}")
            while (
                request_id not in made.final_responses
                and (request_id, made.attempts_made.get(request_id, 0) - 1) in made.in_flight
            ):
                repeats += made.attempts_made[request_id] > 1
                made.end_attempt(request_id, Outcome.ERROR, final=False)
            made.advance(50 * MS)
        assert least <= repeats <= most, event


def test_an_attempt_at_the_origin_after_a_miss_is_not_a_retry():
    made = Router(count=3)
    made.notify(api.AllocationUpdate({-1: 0.0}, retries_per_s=0.001))
    for i in range(20):
        request_id = made.request(f"k{i}")
        made.end_attempt(request_id, Outcome.MISS, final=False)
        made.end_attempt(request_id, Outcome.OK)
    assert not any(isinstance(answer, api.Reject) for answer in made.final_responses.values())


def test_the_work_for_a_server_that_is_warming_up_follows_the_allocation():
    tenants = (api.Tenant("one", 1000.0),)
    made = Router(count=4, tenants=tenants, fleet_size=20)
    made.request("k")
    even = made.balancer.slow_start.node_work()
    made.notify(api.AllocationUpdate(slow_start=5.0))
    assert made.balancer.slow_start.node_work() == pytest.approx(5 * even)
