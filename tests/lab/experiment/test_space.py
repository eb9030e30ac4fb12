"""Tests that random scenarios are valid and bounded, and that they include every fault and class."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.lab.experiment import space
from flintridge.lab.experiment.fault_severity import severity
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.scenario import model

quick = settings(derandomize=True, deadline=None, database=None, max_examples=60)


@quick
@given(st.integers(0, 2**32))
def test_every_random_scenario_is_valid_and_bounded(seed):
    scenario = space.draw(random.Random(seed), "day")
    assert space.contradictions(scenario) == []
    assert scenario == space.draw(random.Random(seed), "day")
    servers, flow = sum(group.count for group in scenario.servers), flows(scenario)
    assert 1 <= scenario.nodes.count <= 5 and 3 <= servers <= 40 and 8 <= scenario.length_s <= 25
    assert scenario.load.rate_per_s * (scenario.length_s + scenario.warmup_s) <= space.MAX_REQUESTS * 1.01
    assert 0.15 <= flow.cache_load <= 1.2 and flow.origin_load <= 1.2 and 0 < flow.bound <= 1
    assert 0 <= severity(scenario) <= 0.95 and len(scenario.faults) <= 5
    assert all(fault.at_s < scenario.length_s for fault in scenario.faults)


def test_random_scenarios_include_every_fault_and_every_class_effect():
    scenarios = [space.draw(random.Random(seed), "day") for seed in range(400)]
    tags = {fault.__struct_config__.tag for scenario in scenarios for fault in scenario.faults}
    # The nodes of random fleets have no peers yet, so no link between nodes can fail. In virtual time, a node
    # has no directory, so no directory errors can occur.
    excluded = {"peer_link", "folder_errors"}
    assert tags == {kind.__struct_config__.tag for kind in model.AnyFault.__args__} - excluded
    assert {cls.effect for scenario in scenarios for cls in scenario.classes} == {"safe", "keyed", "unsafe"}
