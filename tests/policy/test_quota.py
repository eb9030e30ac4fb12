"""Quotas: what is beyond them waits last and is rejected first.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome


def test_a_tenant_beyond_its_quota_waits_behind():
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    first = [router.request(f"k{i}", tenant=0) for i in range(20)]
    calm = router.request("calm", tenant=1)
    flood = router.request("flood", tenant=0)  # newer, so first among equals
    router.end_attempt(first[0], Outcome.OK)
    assert calm in router.attempts_made and flood not in router.attempts_made


def test_requests_beyond_quotas_are_rejected_first():
    """With one request out at each of many routers, waiting order alone cannot protect the others' share."""
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    router.balancer.quotas.admitted_over_quota = 0.0
    flood = [router.request(f"k{i}", tenant=0) for i in range(20)]
    rejected = [
        request_id for request_id in flood if isinstance(router.final_responses.get(request_id), api.Reject)
    ]
    assert 0 < len(rejected) < 20 and rejected == flood[-len(rejected) :]
    assert router.request("calm", tenant=1) not in router.final_responses


def test_bad_rounds_halve_what_is_admitted_beyond_quotas_and_good_ones_bring_it_back():
    router = Router(count=2)
    for outcome, least, most in ((Outcome.FULL, 0.0, 0.5), (Outcome.OK, 0.51, 1.0)):
        for i in range(200):
            request_id = router.request(f"k{i}")
            router.now += 10 * MS
            while (
                request_id not in router.final_responses
                and (request_id, router.attempts_made.get(request_id, 0) - 1) in router.in_flight
            ):
                router.end_attempt(request_id, outcome)
            router.advance(100 * MS)
        assert least <= router.balancer.quotas.admitted_over_quota <= most
