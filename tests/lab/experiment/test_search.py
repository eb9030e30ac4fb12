"""A search of random scenarios: what is kept, and how it goes on."""

import json

import msgspec
import pytest
from support.lab_fake_runs import fake

from flintridge.lab.experiment.search import search
from flintridge.lab.experiment.search_directory import SearchDirectoryError
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario


def drawn(seed, number):
    """Day 3 breaks a rule, day 4 raises, day 5 falls behind, the others do well."""
    faults = {3: (model.Crash(count=1),), 5: (model.DiscoveryStale(), model.Reload())}.get(number, ())
    about = "raise" if number == 4 else ""
    return Scenario(name=f"d{number}", about=about, faults=faults, load=model.Load(rate_per_s=1)), number + 1


def hunted(directory, **named):
    return search(
        directory,
        seed=1,
        workers=2,
        runner=fake,
        dump=lambda day: msgspec.json.encode(day).decode(),
        draw=drawn,
        **named,
    )


def test_search_keeps_what_fails_and_goes_on_where_it_was(tmp_path):
    where = tmp_path / "found"
    first = hunted(where, runs=5)
    assert [day.number for day in first.runs] == [0, 1, 2, 3, 4]
    assert first.kept == ["d3", "d4"] and not first.sound
    marks = {path: path.stat().st_mtime_ns for path in where.rglob("d*.*")}
    second = hunted(where, runs=7)
    assert [day.number for day in second.runs] == list(range(7)) and second.kept == ["d3", "d4", "d5"]
    assert {path: path.stat().st_mtime_ns for path in marks} == marks  # nothing was written over
    run = second.runs[5]
    assert run.reference == pytest.approx(1 - 0.001 + 6e-4) and run.shortfall == pytest.approx(0.2)
    assert 0 < run.unexplained_shortfall < 0.2
    assert sorted(path.name for path in (where / "kept").iterdir()) == [
        *("d3.json", "d3.toml", "d4.toml", "d5.json", "d5.toml")
    ]
    whole = json.loads((where / "search.json").read_text())
    assert whole["what"] == "search" and [day["number"] for day in whole["days"]] == list(range(7))


def test_search_refuses_folders_that_are_not_its_own(tmp_path):
    (tmp_path / "mine.txt").write_text("keep")
    with pytest.raises(SearchDirectoryError, match="not empty"):
        hunted(tmp_path, runs=1)
    hunted(tmp_path / "a", runs=1)
    with pytest.raises(SearchDirectoryError, match="seed 1"):
        search(tmp_path / "a", runs=1, seed=2, dump=str, runner=fake)
    (tmp_path / "a" / "search.json").write_text("{")
    with pytest.raises(SearchDirectoryError, match="cannot be read"):
        hunted(tmp_path / "a", runs=1)
