"""Scenario files: the shipped ones, overrides and bases."""

import pytest
from support.configuration import fault_lines

from flintridge.lab.scenario.load import dump, load, names


@pytest.mark.parametrize("with_defaults", [False, True])
def test_shipped_scenario_when_dumped_and_loaded_then_is_the_same(tmp_path, with_defaults):
    for name, about in names().items():
        assert about
        scenario = load(name)
        (tmp_path / "day.toml").write_text(dump(scenario, with_defaults=with_defaults))
        assert scenario.name == name
        assert load(tmp_path / "day.toml") == scenario


def test_load_when_given_overrides_then_changes_single_values_even_if_the_file_omits_them(tmp_path):
    (tmp_path / "day.toml").write_text('faults = [{ what = "crash", count = 1 }]\n')
    changes = ["load.rate_per_s=300", "faults[0].for_s=3", "kinds[0].cores=4", "load.shape=wave"]
    scenario = load(tmp_path / "day.toml", [*changes, "discovery.notice_s[1]=9", 'zones=["a", "b"]'])
    assert scenario.load.rate_per_s == 300
    assert scenario.faults[0].for_s == 3
    assert scenario.kinds[0].cores == 4
    assert scenario.load.shape == "wave"
    assert scenario.discovery.notice_s == (0.5, 9)
    assert scenario.zones == ("a", "b")


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("load.rate=3", "--set load.rate=3: load.rate: 3: wrong unit: it is rate_per_s (a second)"),
        ("faults[9].for_s=3", "--set faults[9].for_s=3: there is no [9] in a list of 6"),
        ("links.jitter[1]=3", "the path names [1] of a value that is not a list"),
        ("length_s.x=3", "the path names x of a value that is not a table"),
        ("load", "must be PATH=VALUE"),
        ("a..b=1", "'a..b' is not a path"),
        ("[0]=1", "'[0]' is not a path"),
        ("load.shape=[", "'[' is not a TOML value"),
        ("length_s=3\nname='x'", "is more than one value"),
        ("load.trace=none.jsonl", "load.trace: there is no file"),
        ("faults[0].what=crahs", "unknown: did you mean crash?"),
    ],
)
def test_load_when_an_override_is_wrong_then_reports_one_line_that_names_it(change, reason):
    (line,) = fault_lines(load, "catastrophe", [change])
    assert reason in line
    assert line.startswith("--set ")


def test_load_when_a_scenario_has_a_base_then_merges_table_by_table(tmp_path):
    (tmp_path / "t.jsonl").touch()
    (tmp_path / "a.toml").write_text('base = "calm"\nname = "a"\n[load]\nswing = 0.5\ntrace = "t.jsonl"\n')
    (tmp_path / "b.toml").write_text('base = "a.toml"\nservers = [{ kind = "mid", count = 3 }]\n')
    scenario = load(tmp_path / "b.toml")
    assert scenario.name == "a"
    assert scenario.load.swing == 0.5
    assert scenario.load.rate_per_s == load("calm").load.rate_per_s
    assert len(scenario.servers) == 1
    assert scenario.load.trace == str(tmp_path / "t.jsonl")


def test_load_when_a_base_is_circular_or_missing_then_reports_it(tmp_path):
    (tmp_path / "b.toml").write_text('base = "a.toml"\nservers = [{ kind = "mid", count = 3 }]\n')
    (tmp_path / "a.toml").write_text('base = "b.toml"\n')
    (line,) = fault_lines(load, tmp_path / "b.toml")
    assert "base: " in line
    assert "extends this file, directly or indirectly" in line
    (tmp_path / "a.toml").write_text('base = "none.toml"\n')
    assert "cannot be read" in fault_lines(load, tmp_path / "a.toml")[0]


def test_load_when_a_name_is_unknown_then_suggests_a_shipped_scenario():
    assert "did you mean calm?" in fault_lines(load, "clam")[0]
