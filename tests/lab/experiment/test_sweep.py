"""Tests of the parameters of a sweep, its points and its CSV output."""

import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment.sweep import SweepParameterError, as_csv, parameter, sweep
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


@pytest.mark.parametrize(
    ("text", "values"),
    [
        ("a=1:4:4", ("1", "2", "3", "4")),
        ("a=0:1:3", ("0.0", "0.5", "1.0")),
        ("a=1.0:3:3", ("1.0", "2.0", "3.0")),
        ("a=1:100:3:log", ("1", "10", "100")),
        ("a=4:1:4", ("4", "3", "2", "1")),
        ("a=0:1e-5:2", ("0.0", "1e-05")),
        ('a="x,y",[1,2], 3', ('"x,y"', "[1,2]", "3")),
    ],
)
def test_a_parameter_is_parsed_to_its_values(text, values):
    assert parameter(text).values == values


@pytest.mark.parametrize(
    "text",
    [
        *("a", "=1", "a=", "a=1,,2", "a=1,1", "a=1:2", "a=1:2:1", "a=1:2:x", "a=0:5:3:log", "a=1:2:3:lin"),
        *("a=2:2:3", "a=1:inf:3", "a=nan:1:3", "a=1:2:1001"),
    ],
)
def test_invalid_parameters_are_rejected(text):
    with pytest.raises(SweepParameterError):
        parameter(text)


def test_sweep_over_two_parameters_and_its_csv():
    def build(overrides):
        rate, nodes = (float(text.split("=")[1]) for text in overrides)
        faults = (model.Crash(count=1),) if rate > 100 else ()
        return Scenario(load=model.Load(rate_per_s=rate), nodes=model.Nodes(count=int(nodes)), faults=faults)

    parameters = [parameter("load.rate_per_s=100,500"), parameter("nodes.count=1,2")]
    found = sweep("x", parameters, build, [1, 2], workers=2, runner=fake)
    assert [point.values for point in found.points] == [
        ["100", "1"],
        ["100", "2"],
        ["500", "1"],
        ["500", "2"],
    ]
    assert [point.violations for point in found.points] == [{}, {}, {}, {"drain": 2}] and not found.sound
    assert found.points[0].metrics["goodput"].mean == pytest.approx(0.90015)
    lines = as_csv(found).splitlines()
    assert lines[0].startswith("load.rate_per_s,nodes.count,seeds,goodput,") and len(lines) == 5
    assert "drain:2" in lines[4]
