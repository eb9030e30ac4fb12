"""Tests of the shrinking of failing scenarios."""

import msgspec
import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment import failure_predicates, shrink, space
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def large_scenario():
    faults = (
        model.Reload(at_s=1),
        model.Crash(at_s=9, count=2),
        model.DiscoveryStale(at_s=2),
        model.Flush(at_s=3),
    )
    zones = ("east", "west")
    return Scenario(
        name="big",
        length_s=20,
        zones=zones,
        nodes=model.Nodes(count=5),
        kinds=(model.Kind(name="box"), model.Kind(name="old", cores=1, crowd=0.1)),
        servers=(
            model.Group(kind="box", count=7, zone="east"),
            model.Group(kind="old", count=4, zone="west"),
        ),
        classes=(model.RequestClass(name="read"), model.RequestClass(name="put", effect="keyed", write=True)),
        links=model.Links(jitter=0.4, cut=0.1),
        load=model.Load(rate_per_s=300, shape="wave"),
        faults=faults,
    )


def test_the_smallest_scenario_that_breaks_the_rule_does_not_depend_on_the_number_of_workers():
    found = [
        shrink.shrink(large_scenario(), 3, budget=400, workers=workers, runner=fake) for workers in (1, 5)
    ]
    assert found[0] == found[1] and found[0].fails == "rule drain broken"
    smallest = found[0].scenario
    assert [type(fault) for fault in smallest.faults] == [model.Crash]
    assert smallest.nodes.count == 2 and sum(group.count for group in smallest.servers) == 1
    assert smallest.length_s <= 2 and smallest.keys.count == 1 and smallest.load.rate_per_s < 1.5
    assert len(smallest.zones) == len(smallest.classes) == len(smallest.kinds) == 1
    assert smallest.links == model.Links() and smallest.kinds[0] == model.Kind(name=smallest.kinds[0].name)
    assert smallest.expect.breaks == ("drain",) and space.contradictions(smallest) == []
    assert found[0].runs <= 400 and found[0].end_reason == "nothing smaller fails"


def test_the_budget_limits_the_runs_and_a_scenario_that_does_not_fail_is_rejected():
    found = shrink.shrink(
        large_scenario(), 3, failure_predicates.Breaks("drain"), budget=4, workers=8, runner=fake
    )
    assert found.runs == 4 and found.end_reason == "the budget is used up"
    with pytest.raises(failure_predicates.ScenarioDoesNotFailError, match="lost"):
        shrink.shrink(large_scenario(), 3, failure_predicates.Breaks("lost"), runner=fake)
    with pytest.raises(failure_predicates.ScenarioDoesNotFailError, match="whole"):
        shrink.shrink(Scenario(), 3, runner=fake)
    incomplete = shrink.shrink(
        msgspec.structs.replace(large_scenario(), about="raise"), 3, budget=60, runner=fake
    )
    assert incomplete.fails == "run not finished" and incomplete.scenario.faults == ()


def test_a_failure_that_depends_on_the_seed_is_reproduced_with_another_seed():
    scenario = msgspec.structs.replace(large_scenario(), about="fickle")
    assert len(shrink.shrink(scenario, 9, seeds_per_candidate=1, budget=30, runner=fake).scenario.faults) == 4
    found = shrink.shrink(scenario, 9, seeds_per_candidate=3, budget=300, runner=fake)
    assert found.seed == 2 and found.scenario.faults == () and "--seed 2" in found.scenario.about


def test_with_a_goodput_bound_no_candidate_has_a_higher_load_than_the_given_scenario():
    scenario = large_scenario()
    found = shrink.shrink(scenario, 1, failure_predicates.GoodputBelow(0.5), budget=200, runner=fake)
    assert flows(found.scenario).load <= flows(scenario).load * 1.03
    assert found.scenario.expect.goodput_at_least == 0.5
