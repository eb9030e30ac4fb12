"""The sums of warmth against plain sums over all servers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge import api
from flintridge.policy import slow_start
from flintridge.policy.slow_start import WarmthSums, warmth_at, weight_root

RULES = api.Rules(slow_start_fraction=0.3, slow_start_ns=100)

plain = settings(derandomize=True, deadline=None, database=None, max_examples=100)
endpoints = st.builds(
    api.Endpoint,
    st.sampled_from("abcdef"),
    weight=st.sampled_from([0.0, 0.1, 1.0, 7.0, 100.0]),
    kind=st.integers(0, 1),
    started_at=st.sampled_from([0, 10, 60, 500]),  # long ago, before, now and then, far ahead
)


@given(steps=st.lists(st.tuples(endpoints, st.booleans(), st.integers(0, 40)), max_size=30))
@plain
def test_sums_are_those_of_all_servers_one_by_one(steps):
    sums, held, now, max_weight = WarmthSums(RULES), {}, 1, 0.0
    for endpoint, is_coming, pause in steps:
        if old := held.pop(endpoint.server, None):
            sums.remove(old)
        if is_coming:
            held[endpoint.server] = endpoint
            sums.add(endpoint)
            max_weight = max(max_weight, endpoint.weight)
        now += pause
        sums.weigh_against(max_weight, held.values())
        expected: dict[int, float] = {}
        for one in held.values():
            part = warmth_at(one, RULES, now) * weight_root(one.weight, max_weight)
            expected[one.kind] = expected.get(one.kind, 0.0) + part
        assert sums.totals(now) == pytest.approx(expected, rel=1e-12)
        assert sums.warming(now) == sum(warmth_at(one, RULES, now) < 1 for one in held.values())
        assert sum(sums.sizes.values()) == len(held)


def test_warm_servers_of_one_weight_are_a_whole_number_exactly():
    """Caps are rounded up: a sum that is off in its last bit would give a server one attempt more."""
    sums = WarmthSums(RULES)
    listed = [api.Endpoint(f"s{i}", weight=0.1, started_at=i % 2) for i in range(3200)]
    sums.weigh_against(0.1, listed)
    assert sums.totals(1000) == {0: 3200.0}


def test_three_thousand_that_warm_up_are_summed_without_a_look_at_each(monkeypatch):
    sums = WarmthSums(RULES)
    for i in range(3200):
        sums.add(api.Endpoint(f"s{i}", started_at=100))
    assert sums.totals(100)[0] == pytest.approx(0.3 * 3200)

    def looked_at(*_):
        raise AssertionError("a server was looked at")

    monkeypatch.setattr(slow_start, "warmth_at", looked_at)
    monkeypatch.setattr(slow_start, "weight_root", looked_at)
    monkeypatch.setattr(WarmthSums, "_is_current", looked_at)
    assert sums.totals(150)[0] == pytest.approx(0.65 * 3200)
    assert sums.warming(199) == 3200


def test_instants_of_servers_that_have_left_do_not_pile_up():
    sums = WarmthSums(RULES)
    for i in range(5000):
        endpoint = api.Endpoint(f"s{i}", started_at=10**9)
        sums.add(endpoint)
        sums.remove(endpoint)
    assert len(sums._instants) <= 2 * slow_start.SPARE_INSTANTS
    assert sums.totals(5) == {} and sums.warming(5) == 0


@pytest.mark.parametrize("rules", [api.Rules(), api.Rules(slow_start_fraction=1.0, slow_start_ns=100)])
def test_without_a_slow_start_all_are_warm(rules):
    sums = WarmthSums(rules)
    sums.add(api.Endpoint("a", started_at=50))
    assert sums.totals(40) == {0: 1.0} and sums.warming(40) == 0
    assert warmth_at(api.Endpoint("a", started_at=50), rules, 40) == 1.0
