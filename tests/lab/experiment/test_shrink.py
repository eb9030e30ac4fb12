"""Shrinking a scenario that fails."""

import msgspec
import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment import failure_predicates, shrink, space
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def big():
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


def test_shrinks_to_the_least_that_still_breaks_the_rule_however_many_run_at_once():
    found = [shrink.shrink(big(), 3, budget=400, workers=workers, runner=fake) for workers in (1, 5)]
    assert found[0] == found[1] and found[0].fails == "rule drain broken"
    least = found[0].scenario
    assert [type(fault) for fault in least.faults] == [model.Crash]
    assert least.nodes.count == 2 and sum(group.count for group in least.servers) == 1
    assert least.length_s <= 2 and least.keys.count == 1 and least.load.rate_per_s < 1.5
    assert len(least.zones) == len(least.classes) == len(least.kinds) == 1
    assert least.links == model.Links() and least.kinds[0] == model.Kind(name=least.kinds[0].name)
    assert least.expect.breaks == ("drain",) and space.contradictions(least) == []
    assert found[0].runs <= 400 and found[0].end_reason == "nothing smaller fails"


def test_a_budget_is_kept_and_what_does_not_fail_is_refused():
    found = shrink.shrink(big(), 3, failure_predicates.Breaks("drain"), budget=4, workers=8, runner=fake)
    assert found.runs == 4 and found.end_reason == "the budget is used up"
    with pytest.raises(failure_predicates.ScenarioDoesNotFailError, match="lost"):
        shrink.shrink(big(), 3, failure_predicates.Breaks("lost"), runner=fake)
    with pytest.raises(failure_predicates.ScenarioDoesNotFailError, match="whole"):
        shrink.shrink(Scenario(), 3, runner=fake)
    unfinished = shrink.shrink(msgspec.structs.replace(big(), about="raise"), 3, budget=60, runner=fake)
    assert unfinished.fails == "run not finished" and unfinished.scenario.faults == ()


def test_a_failure_that_hangs_on_the_seed_is_found_again_under_another():
    day = msgspec.structs.replace(big(), about="fickle")
    assert len(shrink.shrink(day, 9, seeds_per_candidate=1, budget=30, runner=fake).scenario.faults) == 4
    found = shrink.shrink(day, 9, seeds_per_candidate=3, budget=300, runner=fake)
    assert found.seed == 2 and found.scenario.faults == () and "--seed 2" in found.scenario.about


def test_under_a_goodput_no_candidate_is_more_loaded_than_what_was_given():
    day = big()
    found = shrink.shrink(day, 1, failure_predicates.GoodputBelow(0.5), budget=200, runner=fake)
    assert flows(found.scenario).load <= flows(day).load * 1.03
    assert found.scenario.expect.goodput_at_least == 0.5
