"""What the decisions make of holdings: quotas, floors and places of limiters, repeats, and loans that end."""

from dataclasses import replace

import pytest
from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome

TENANTS = (api.Tenant("flood", 100.0), api.Tenant("calm", 100.0))


def router(**changes) -> Router:
    return Router(count=4, tenants=TENANTS, fleet_size=10, **changes)


def let_in(made: Router, seconds: int, tenant: int = 0, spare: float = 0.0) -> int:
    """How many of a flood get a place in so long; each is served at once."""
    served = 0
    for i in range(seconds * 200):
        made.balancer.admitted_over_quota = spare  # at 0 what is beyond a quota is refused, so that it shows
        uid = made.ask(f"k{i}", tenant=tenant)
        if uid not in made.answers:
            served += 1
            made.end(uid, Outcome.OK)
        made.pass_time(5 * MS)
    return served


@pytest.mark.parametrize(("part", "least", "most"), [(1.0, 150, 170), (2.0, 300, 330), (0.2, 30, 40)])
def test_a_quota_is_kept_by_the_part_that_is_held(part, least, most):
    """150 a second and all nodes: 15 a second a node by right."""
    made = router()
    if part != 1.0:
        made.tell(api.AllocationUpdate({0: part}))
    assert least <= let_in(made, 10) <= most
    assert 150 <= let_in(made, 10, tenant=1) <= 170


def test_a_loan_ends_by_the_clock_whether_or_not_anybody_tells():
    made = router()
    made.tell(
        api.AllocationUpdate({0: 4.0}, valid_until=made.now + 5 * S, fallback=api.AllocationUpdate({0: 0.4}))
    )
    assert 300 <= let_in(made, 5) <= 365
    assert let_in(made, 5) <= 0.4 * 15 * 5 + 8
    assert made.balancer.allocation.tenants == {0: 0.4}


def test_time_before_a_loan_counts_by_the_rate_of_before():
    """Else a node idle for long would have what its lender used meanwhile."""
    made = router()
    made.balancer.rates_per_s[0] = 100.0  # a bucket deep enough to show
    let_in(made, 2)
    made.tell(api.AllocationUpdate({0: 0.0}))
    made.pass_time(60 * S)
    made.tell(api.AllocationUpdate({0: 1.0}))
    assert let_in(made, 1) <= 101


@pytest.mark.parametrize("strict", [False, True])
def test_what_is_beyond_a_quota_is_refused_with_room_only_where_that_is_strict(strict):
    made = router()
    made.tell(api.AllocationUpdate(strict_quotas=strict))
    served = let_in(made, 4, spare=1.0)
    assert served <= 4 * 15 + 15 if strict else served == 800


def test_a_strict_quota_is_asked_again_at_each_try():
    """What was refused once is not beyond its quota for ever."""
    made = router()
    made.tell(api.AllocationUpdate(strict_quotas=True))
    while (uid := made.ask("k", work_ns=MS)) not in made.answers:
        made.end(uid, Outcome.OK)
    made.pass_time(100 * MS)
    assert made.ask("k", work_ns=MS, retry=True) not in made.answers


def test_floors_and_steps_of_gates_follow_what_is_held():
    made = Router(count=4, fleet_size=100)
    limiters = made.balancer.caches, made.balancer.origin
    assert [limiter.floor for limiter in limiters] == [0.1, 0.1]
    made.tell(
        api.AllocationUpdate(
            concurrency_floors=50.0,
            valid_until=made.now + S,
            fallback=api.AllocationUpdate(concurrency_floors=10.0),
        )
    )
    assert [limiter.floor for limiter in limiters] == [2.0, 2.0] and limiters[0].step == 1.0
    made.pass_time(2 * S)
    made.ask("k")
    assert [limiter.floor for limiter in limiters] == pytest.approx([0.4, 0.4])


def test_places_bound_what_is_out_at_the_origin_and_at_the_caches():
    made = Router(count=4, mode=api.CacheMode.ASIDE)
    made.tell(api.AllocationUpdate(origin_permits=2, cache_permits=3))
    uids = [made.ask(f"k{i}") for i in range(10)]
    assert len(made.out) == 3
    for uid in [uid for uid in uids if made.tries.get(uid)][:3]:
        made.end(uid, Outcome.MISS, final=False)
    at_origin = [server for server, _ in made.out.values() if server == "10.9.9.9:80"]
    assert len(at_origin) == 2 and len(made.out) == 5
    made.tell(api.AllocationUpdate(origin_permits=0, cache_permits=0))
    waiting = made.ask("another")
    assert made.tries.get(waiting) is None
    made.tell(api.AllocationUpdate())
    made.pass_time(1 * MS)
    made.ask("one more")
    assert made.tries.get(waiting) == 1


def test_repeats_are_a_share_of_first_attempts_and_a_rate_that_is_held():
    held = api.AllocationUpdate({-1: 1.0}, retries_per_s=2.0, retries_per_attempt=0.1)
    # 300 first attempts in 15 s: 30 by their share, 2 or 6 a second, and 8 in a row at first.
    for event, least, most in (
        (None, 300, 900),
        (held, 60, 68),
        (replace(held, tenants={-1: 3.0}), 110, 128),
    ):
        made = Router(count=12, seed=3)
        if event is not None:
            made.tell(event)
        repeats = 0
        for i in range(300):
            uid = made.ask(f"k{i}")
            while uid not in made.answers and (uid, made.tries.get(uid, 0) - 1) in made.out:
                repeats += made.tries[uid] > 1
                made.end(uid, Outcome.ERROR, final=False)
            made.pass_time(50 * MS)
        assert least <= repeats <= most, event


def test_the_way_to_the_origin_after_a_miss_is_no_repeat():
    made = Router(count=3)
    made.tell(api.AllocationUpdate({-1: 0.0}, retries_per_s=0.001))
    for i in range(20):
        uid = made.ask(f"k{i}")
        made.end(uid, Outcome.MISS, final=False)
        made.end(uid, Outcome.OK)
    assert not any(isinstance(answer, api.Reject) for answer in made.answers.values())


def test_the_part_of_a_cold_servers_work_follows_what_is_held():
    tenants = (api.Tenant("one", 1000.0),)
    made = Router(count=4, tenants=tenants, fleet_size=20)
    made.ask("k")
    even = made.balancer.node_work()
    made.tell(api.AllocationUpdate(slow_start=5.0))
    assert made.balancer.node_work() == pytest.approx(5 * even)
