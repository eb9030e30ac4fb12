"""The contents of generated requests."""

import pytest

from flintridge.lab.load.arrival_schedule import ArrivalSchedule
from flintridge.lab.load.arrivals import step_of
from flintridge.lab.load.generated_requests import WeightedChoice, zone_weights
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import RequestClass, Scenario, Tenant
from flintridge.lab.seeds import Seeds


def test_requests_when_a_burst_and_a_hot_key_start_then_differ_only_in_keys_of_reads():
    scenario = Scenario(
        length_s=3,
        warmup_s=1,
        load=model.Load(rate_per_s=300),
        classes=(RequestClass(name="read", share=3), RequestClass(name="put", write=True, effect="keyed")),
        tenants=(Tenant(name="a", share=0.5, usage=2), Tenant(name="b", share=0.5, usage=0)),
        zones=("x", "y"),
    )
    plain = ArrivalSchedule(scenario, Seeds(1), ["x", "y"])
    burst = ArrivalSchedule(scenario, Seeds(1), ["x", "y"])
    burst.keys.set_hot_key(0.5)
    expected = {d.scheduled_ms: d for d in plain.all()}
    heated = {}
    for n in range(step_of(burst.start_ms), step_of(burst.end_ms) + 1):
        for slot in burst.step(n, lambda t: 2.0):
            request = burst.request(slot).request
            if slot.layer == 0:
                heated[request.scheduled_ms] = request
    changed = [t for t, d in expected.items() if heated[t] != d]
    assert heated.keys() == expected.keys()
    assert all(heated[t].key == burst.keys.hot and not heated[t].write for t in changed)
    assert 0.4 < len(changed) / sum(not d.write for d in expected.values()) < 0.6
    assert {d.tenant for d in expected.values()} == {"a"}
    assert all(heated[t].work_ms == expected[t].work_ms for t in expected)


def test_zone_weights_when_computed_then_follow_nodes_and_skew():
    assert zone_weights(("a", "b"), ("a", "b", "a", "b"), 0.2) == pytest.approx([0.7, 0.3])
    assert zone_weights(("a", "b", "c"), ("b",), 0.0) == [0, 1, 0]
    assert zone_weights(("a", "b"), ("a", "b"), 0.9) == [1, 0]
    assert zone_weights(("a",), ("a",), 0.3) == [1]
    assert zone_weights(("a", "b"), (), 0.0) == [0.5, 0.5]
    assert WeightedChoice([0, 1, 0]).at(0.0) == 1 and WeightedChoice([1, 1]).at(1.0) == 1
