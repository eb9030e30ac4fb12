"""Quotas: what is beyond them waits last and is rejected first.

Each test fails without the code that answers its failure.
"""

from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome


def test_a_tenant_beyond_its_quota_waits_behind():
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    first = [router.ask(f"k{i}", tenant=0) for i in range(20)]
    calm = router.ask("calm", tenant=1)
    flood = router.ask("flood", tenant=0)  # newer, so first among equals
    router.end(first[0], Outcome.OK)
    assert calm in router.tries and flood not in router.tries


def test_requests_beyond_quotas_are_rejected_first():
    """With one request out at each of many routers, waiting order alone cannot protect the others' share."""
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    router.balancer.admitted_over_quota = 0.0
    flood = [router.ask(f"k{i}", tenant=0) for i in range(20)]
    refused = [uid for uid in flood if isinstance(router.answers.get(uid), api.Reject)]
    assert 0 < len(refused) < 20 and refused == flood[-len(refused) :]
    assert router.ask("calm", tenant=1) not in router.answers


def test_bad_rounds_halve_what_is_admitted_beyond_quotas_and_good_ones_bring_it_back():
    router = Router(count=2)
    for outcome, least, most in ((Outcome.FULL, 0.0, 0.5), (Outcome.OK, 0.51, 1.0)):
        for i in range(200):
            uid = router.ask(f"k{i}")
            router.now += 10 * MS
            while uid not in router.answers and (uid, router.tries.get(uid, 0) - 1) in router.out:
                router.end(uid, outcome)
            router.pass_time(100 * MS)
        assert least <= router.balancer.admitted_over_quota <= most
