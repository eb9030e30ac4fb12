"""Random scenarios: valid, bounded, and of every kind."""

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
def test_every_random_day_is_valid_and_bounded(seed):
    day = space.draw(random.Random(seed), "day")
    assert space.contradictions(day) == []
    assert day == space.draw(random.Random(seed), "day")
    servers, flow = sum(group.count for group in day.servers), flows(day)
    assert 1 <= day.nodes.count <= 5 and 3 <= servers <= 40 and 8 <= day.length_s <= 25
    assert day.load.rate_per_s * (day.length_s + day.warmup_s) <= space.MAX_REQUESTS * 1.01
    assert 0.15 <= flow.cache_load <= 1.2 and flow.origin_load <= 1.2 and 0 < flow.bound <= 1
    assert 0 <= severity(day) <= 0.95 and len(day.faults) <= 5
    assert all(fault.at_s < day.length_s for fault in day.faults)


def test_the_space_holds_every_fault_and_every_class():
    days = [space.draw(random.Random(seed), "day") for seed in range(400)]
    tags = {fault.__struct_config__.tag for day in days for fault in day.faults}
    # Its fleets hear nobody yet, so nothing can go wrong between nodes; and it plays in virtual time, where a
    # node has no folder.
    elsewhere = {"peer_link", "folder_errors"}
    assert tags == {kind.__struct_config__.tag for kind in model.AnyFault.__args__} - elsewhere
    assert {cls.effect for day in days for cls in day.classes} == {"safe", "keyed", "unsafe"}
