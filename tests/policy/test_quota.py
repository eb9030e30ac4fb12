"""Quotas: requests over quota are served last and rejected first.

Each test fails without the code that prevents the failure it describes.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, Router, S

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.quota import MIN_DEPTH_TOKENS, QUOTA_SLACK, Quotas, RetryBudget, TokenBucket

plain = settings(derandomize=True, deadline=None, database=None, max_examples=100)
rates = st.sampled_from([0.0, 0.5, 4.0, 100.0])
pauses = st.sampled_from([0, 1 * MS, 300 * MS, 2 * S, 100 * S])


def test_requests_of_a_tenant_over_its_quota_wait_behind_others():
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    first = [router.request(f"k{i}", tenant=0) for i in range(20)]
    calm = router.request("calm", tenant=1)
    within_quota = [*first[: int(MIN_DEPTH_TOKENS)], calm]
    for request_id in within_quota[:5]:
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)
    assert [send.id for send in router.sends] == within_quota
    router.end_attempt(within_quota[5], Outcome.CANCELLED, final=True)
    assert router.sends[-1].id == first[len(within_quota) - 1]  # the first one over quota


@pytest.mark.parametrize("is_marked", [False, True])
def test_a_request_that_was_never_sent_uses_up_no_quota_and_its_repeat_is_counted_like_any_other(is_marked):
    """Guards a tenant within its quota: in an overload, its clients' repeats would put it over the quota."""
    router = Router(count=1, tenants=(api.Tenant("one", 2.0),), fleet_size=50)
    router.balancer.quotas.over_quota_admit_fraction = 0.0
    router.balancer.cache_limiter.max_permits = 0
    for _ in range(3 * int(MIN_DEPTH_TOKENS)):
        request_id = router.request("k", work_ns=MS, retry=is_marked)
        assert request_id not in router.final_responses  # it waits for a permit
        router.notify(api.ClientDisconnected(request_id))
    router.notify(api.AllocationUpdate())  # permits again
    request_id = router.request("k", work_ns=MS, retry=is_marked)
    served = 0
    while request_id not in router.final_responses:
        router.end_attempt(request_id, Outcome.CANCELLED, final=True)
        served += 1
        request_id = router.request("k", work_ns=MS, retry=is_marked)
    assert served == MIN_DEPTH_TOKENS


def test_requests_over_quota_are_rejected_first():
    """With one request in flight at each of many nodes, the queue order cannot protect other tenants."""
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    router.balancer.quotas.over_quota_admit_fraction = 0.0
    flood = [router.request(f"k{i}", tenant=0) for i in range(20)]
    rejected = [
        request_id for request_id in flood if isinstance(router.final_responses.get(request_id), api.Reject)
    ]
    assert 0 < len(rejected) < 20 and rejected == flood[-len(rejected) :]
    assert router.request("calm", tenant=1) not in router.final_responses


def test_bad_rounds_halve_the_admitted_fraction_over_quota_and_good_ones_restore_it():
    router = Router(count=2)
    for outcome, least, most in ((Outcome.FULL, 0.0, 0.5), (Outcome.OK, 0.51, 1.0)):
        for i in range(200):
            router.request(f"k{i}")
            router.now += 10 * MS
            while router.in_flight:
                router.end_attempt(next(iter(router.in_flight))[0], outcome)
            router.advance(100 * MS)
        assert least <= router.balancer.quotas.over_quota_admit_fraction <= most


@given(rate=rates, pauses=st.lists(pauses, max_size=60))
@plain
def test_a_bucket_gives_no_more_than_its_depth_and_the_tokens_added_since(rate, pauses):
    bucket = TokenBucket.full(rate, 0)
    depth = max(MIN_DEPTH_TOKENS, rate)
    now, taken = 0, 0
    for pause in pauses:
        now += pause
        before = bucket.level(now)
        assert 0 <= before <= depth
        assert bucket.try_take(now) is (before >= 1)
        taken += before >= 1
        assert bucket.level(now) == (before - 1 if before >= 1 else before)
    assert taken <= depth + rate * now / S + 1e-6


@given(rate=st.sampled_from([0.5, 4.0, 100.0]), taken=st.integers(0, 200))
@plain
def test_a_bucket_has_a_token_after_the_wait_that_it_returns(rate, taken):
    bucket = TokenBucket.full(rate, 0)
    for _ in range(taken):
        bucket.try_take(0)
    wait_ns = bucket.wait_ns(0)
    assert (wait_ns <= 0) is (bucket.level(0) >= 1)
    assert bucket.level(int(wait_ns) + 1) >= 1 - 1e-6


@pytest.mark.parametrize(("taken", "level"), [(0, 8.0), (1, 8.0), (3, 6.0)])
def test_a_token_that_is_given_back_can_be_taken_again_up_to_the_depth(taken, level):
    bucket = TokenBucket.full(0.5, 0)
    for _ in range(taken):
        assert bucket.try_take(0)
    bucket.give_back(0)
    assert bucket.level(0) == level


def test_a_new_rate_applies_from_its_change_on():
    bucket = TokenBucket(1.0, 0.0, 0)
    bucket.set_rate(10.0, 2 * S)
    assert bucket.level(2 * S) == 2 and bucket.level(2 * S + 100 * MS) == 3


def quotas(**allocation) -> Quotas:
    made = Quotas((api.Tenant("one", 10.0), api.Tenant("free")), 5, random.Random(1))
    made.apply(api.AllocationUpdate(**allocation), 0)
    return made


@pytest.mark.parametrize(
    ("tenant", "allocated", "rate_per_s"),
    [
        (0, {}, QUOTA_SLACK * 2),
        (0, {0: 2.0}, QUOTA_SLACK * 4),
        (0, {0: 0.0}, 0),
        (1, {1: 2.0}, 0),
        (7, {}, 0),
    ],
)
def test_a_rate_is_the_share_of_the_node_in_the_quota_times_its_allocation(tenant, allocated, rate_per_s):
    made = quotas(tenants=allocated)
    assert made.rate_per_s(tenant) == rate_per_s
    assert (made.wait_ns(tenant, 0) is None) is (rate_per_s == 0)
    admitted = sum(made.try_take(tenant, 0) for _ in range(50))
    assert admitted == (8 if tenant == 0 else 50)  # all are admitted without a quota


def test_a_retry_budget_admits_all_retries_without_a_limit_and_else_as_many_as_its_tokens():
    budget = RetryBudget()
    assert all(budget.try_take(0) for _ in range(100))
    budget.apply(api.AllocationUpdate({-1: 2.0}, retries_per_s=2.0, retries_per_attempt=0.5), 0)
    assert sum(budget.try_take(0) for _ in range(100)) == MIN_DEPTH_TOKENS
    budget.record_first_attempt(0)
    budget.record_first_attempt(0)
    assert sum(budget.try_take(0) for _ in range(10)) == 1
    assert sum(budget.try_take(S) for _ in range(10)) == 4
