"""Tests of the search over random scenarios: the scenarios that it keeps, and its continuation."""

import json

import msgspec
import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment.search import search
from flintridge.lab.experiment.search_directory import SearchDirectoryError
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def draw_scenario(seed, number):
    """Run 3 breaks a rule, run 4 raises an exception, run 5 has a shortfall, and the others succeed."""
    faults = {3: (model.Crash(count=1),), 5: (model.DiscoveryStale(), model.Reload())}.get(number, ())
    about = "raise" if number == 4 else ""
    return Scenario(name=f"d{number}", about=about, faults=faults, load=model.Load(rate_per_s=1)), number + 1


def run_search(directory, **named):
    return search(
        directory,
        seed=1,
        workers=2,
        runner=fake,
        dump=lambda scenario: msgspec.json.encode(scenario).decode(),
        draw=draw_scenario,
        **named,
    )


def test_search_keeps_failing_scenarios_and_continues_after_completed_runs(tmp_path):
    directory = tmp_path / "found"
    first = run_search(directory, runs=5)
    assert [entry.number for entry in first.runs] == [0, 1, 2, 3, 4]
    assert first.kept == ["d3", "d4"] and not first.sound
    times = {path: path.stat().st_mtime_ns for path in directory.rglob("d*.*")}
    second = run_search(directory, runs=7)
    assert [entry.number for entry in second.runs] == list(range(7)) and second.kept == ["d3", "d4", "d5"]
    # No existing file was overwritten.
    assert {path: path.stat().st_mtime_ns for path in times} == times
    run = second.runs[5]
    assert run.reference == pytest.approx(1 - 0.001 + 6e-4) and run.shortfall == pytest.approx(0.2)
    assert 0 < run.unexplained_shortfall < 0.2
    assert sorted(path.name for path in (directory / "kept").iterdir()) == [
        *("d3.json", "d3.toml", "d4.toml", "d5.json", "d5.toml")
    ]
    summary = json.loads((directory / "search.json").read_text())
    assert summary["what"] == "search" and [entry["number"] for entry in summary["days"]] == list(range(7))


def test_search_rejects_a_directory_with_other_files_or_another_search(tmp_path):
    (tmp_path / "mine.txt").write_text("keep")
    with pytest.raises(SearchDirectoryError, match="not empty"):
        run_search(tmp_path, runs=1)
    run_search(tmp_path / "a", runs=1)
    with pytest.raises(SearchDirectoryError, match="seed 1"):
        search(tmp_path / "a", runs=1, seed=2, dump=str, runner=fake)
    (tmp_path / "a" / "search.json").write_text("{")
    with pytest.raises(SearchDirectoryError, match="cannot be read"):
        run_search(tmp_path / "a", runs=1)
