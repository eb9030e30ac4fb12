"""Slow start: warmth sums, compared with sums over all servers, and the budget of warming servers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.policy import MS, START, S

from flintridge import api
from flintridge.policy import slow_start
from flintridge.policy.slow_start import SlowStartBudget, WarmthSums, WarmUpUse, warmth_at, weight_root

RULES = api.Rules(slow_start_fraction=0.3, slow_start_ns=100)

plain = settings(derandomize=True, deadline=None, database=None, max_examples=100)
endpoints = st.builds(
    api.Endpoint,
    st.sampled_from("abcdef"),
    weight=st.sampled_from([0.0, 0.1, 1.0, 7.0, 100.0]),
    kind=st.integers(0, 1),
    started_at=st.sampled_from([0, 10, 60, 500]),  # long ago, early, during the steps, in the future
)


@given(steps=st.lists(st.tuples(endpoints, st.booleans(), st.integers(0, 40)), max_size=30))
@plain
def test_sums_equal_those_over_each_server(steps):
    sums, held, now, max_weight = WarmthSums(RULES), {}, 1, 0.0
    for endpoint, is_coming, pause in steps:
        if old := held.pop(endpoint.server, None):
            sums.remove(old)
        if is_coming:
            held[endpoint.server] = endpoint
            sums.add(endpoint)
            max_weight = max(max_weight, endpoint.weight)
        now += pause
        sums.set_max_weight(max_weight, held.values())
        expected: dict[int, float] = {}
        for one in held.values():
            part = warmth_at(one, RULES, now) * weight_root(one.weight, max_weight)
            expected[one.kind] = expected.get(one.kind, 0.0) + part
        assert sums.totals(now) == pytest.approx(expected, rel=1e-12)
        assert sums.count_warming(now) == sum(warmth_at(one, RULES, now) < 1 for one in held.values())
        assert sum(sums.sizes.values()) == len(held)


def test_the_sum_of_warm_servers_of_equal_weight_is_an_exact_integer():
    """Caps are rounded up, so an error in the last bit of a sum would give a server one attempt more."""
    sums = WarmthSums(RULES)
    listed = [api.Endpoint(f"s{i}", weight=0.1, started_at=i % 2) for i in range(3200)]
    sums.set_max_weight(0.1, listed)
    assert sums.totals(1000) == {0: 3200.0}


def test_three_thousand_warming_servers_are_summed_without_evaluating_each(monkeypatch):
    sums = WarmthSums(RULES)
    for i in range(3200):
        sums.add(api.Endpoint(f"s{i}", started_at=100))
    assert sums.totals(100)[0] == pytest.approx(0.3 * 3200)

    def fail_if_evaluated(*_):
        raise AssertionError("a server was evaluated")

    monkeypatch.setattr(slow_start, "warmth_at", fail_if_evaluated)
    monkeypatch.setattr(slow_start, "weight_root", fail_if_evaluated)
    monkeypatch.setattr(WarmthSums, "_is_current", fail_if_evaluated)
    assert sums.totals(150)[0] == pytest.approx(0.65 * 3200)
    assert sums.count_warming(199) == 3200


def test_phase_changes_of_removed_servers_do_not_accumulate():
    sums = WarmthSums(RULES)
    for i in range(5000):
        endpoint = api.Endpoint(f"s{i}", started_at=10**9)
        sums.add(endpoint)
        sums.remove(endpoint)
    assert len(sums._phase_changes) <= 2 * slow_start.MAX_STALE_PHASE_CHANGES
    assert sums.totals(5) == {} and sums.count_warming(5) == 0


@pytest.mark.parametrize("rules", [api.Rules(), api.Rules(slow_start_fraction=1.0, slow_start_ns=100)])
def test_without_a_slow_start_all_servers_are_warm(rules):
    sums = WarmthSums(rules)
    sums.add(api.Endpoint("a", started_at=50))
    assert sums.totals(40) == {0: 1.0} and sums.count_warming(40) == 0
    assert warmth_at(api.Endpoint("a", started_at=50), rules, 40) == 1.0


class Fleet:
    """`count` servers that can be picked, of which the first `warming` are warming up."""

    mean_weight = 1.0

    def __init__(self, count: int = 4, warming: int = 1) -> None:
        self.ready = [f"s{i}" for i in range(count)]
        self.warmth_sums = WarmthSums(api.Rules(slow_start_fraction=0.5, slow_start_ns=10 * S))
        for i, name in enumerate(self.ready):
            self.warmth_sums.add(api.Endpoint(name, started_at=START if i < warming else 0))


def budget(quota_per_s: float = 40.0, fleet_size: int = 1, **rules) -> SlowStartBudget:
    rules = {"overload_multiple": 4.0, "overload_window_ns": S} | rules
    made = api.Settings(
        classes=(api.RequestClass(deadline_ns=200 * MS), api.RequestClass(latency_objective_ns=10 * MS)),
        tenants=(api.Tenant(quota_per_s=quota_per_s),),
        rules=api.Rules(slow_start_fraction=0.5, slow_start_ns=10 * S, **rules),
        fleet_size=fleet_size,
    )
    return SlowStartBudget(made, Fleet(), random.Random(1))


WARM, COLD = api.Endpoint("s1"), api.Endpoint("s0", started_at=START)


@pytest.mark.parametrize(
    ("quota_per_s", "fleet_size", "allocated", "warm_work", "expected"),
    [
        (40.0, 1, 1.0, 0.0, 100.0),  # ten requests per server and window
        (40.0, 5, 1.0, 0.0, 20.0),
        (40.0, 5, 3.0, 0.0, 60.0),
        (40.0, 5, 1.0, 70.0, 70.0),  # the observed work is higher
        (0.0, 1, 1.0, 0.0, 50.0),  # without quotas, one request while a client waits
    ],
)
def test_the_work_of_a_warm_server_is_estimated_from_quotas_or_observed(
    quota_per_s, fleet_size, allocated, warm_work, expected
):
    made = budget(quota_per_s, fleet_size)
    made.record_request(10.0)
    made.allocated = allocated
    made.warm_work = warm_work
    assert made.node_work() == pytest.approx(expected)


def test_a_cold_server_gets_in_any_window_at_most_its_fraction_of_the_work_of_a_warm_one():
    made, use = budget(), WarmUpUse()
    made.record_request(10.0)  # 100 a window for a warm one; the budget is half of 4 times that, times warmth
    now, sent = START, []
    while now < START + 10 * S:
        if made.is_within_budget(COLD, use, 10.0, now):
            made.record_send(COLD, use, 10.0, now)
            sent.append(now)
        allowed = 200 * made.warmth(COLD, now)
        assert 10 * sum(at > now - S for at in sent) <= allowed
        now += 20 * MS
    assert len(sent) > 100


def test_a_budget_below_one_request_is_granted_at_random_once_a_window():
    made = budget(quota_per_s=1.0, fleet_size=1)
    made.record_request(10.0)  # 2.5 a window for a warm one and 2.5 for a cold one: a quarter of a request
    uses = [WarmUpUse() for _ in range(400)]
    first = [made.is_within_budget(COLD, use, 1.0, START) for use in uses]
    assert 70 < sum(first) < 130
    kept = [use for use, is_kept in zip(uses, first, strict=True) if is_kept]
    assert all(made.is_within_budget(COLD, use, 1.0, START + S - 1) for use in kept)
    assert sum(made.is_within_budget(COLD, use, 1.0, START + S) for use in kept) < len(kept) / 2
    assert not any(
        made.is_within_budget(COLD, WarmUpUse(draw=0.5, draw_expires_at=START + S), 1.0, START) for _ in uses
    )
