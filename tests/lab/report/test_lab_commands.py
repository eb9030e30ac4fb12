"""Tests of the lab commands: exit codes, and output files that are overwritten only on request."""

import json

import msgspec
import pytest
from click.testing import CliRunner
from support.lab_reports import FAKE_RUNNER, check_page, fake

from flintridge.cli.main import main
from flintridge.lab.experiment import pool
from flintridge.lab.result import as_json
from flintridge.lab.scenario.load import load


@pytest.fixture
def lab(monkeypatch, tmp_path):
    """A function that runs `flintridge lab ...` in a new directory and returns its exit code and output."""
    monkeypatch.chdir(tmp_path)
    # The fake runner replaces the real one when a job is sent to a worker.
    encode_frame = pool.frame
    monkeypatch.setattr(
        pool, "frame", lambda job: encode_frame(msgspec.structs.replace(job, runner=FAKE_RUNNER))
    )
    (tmp_path / "day.toml").write_text('name = "day"\n[load]\nrate_per_s = 100.0\n')

    def call(*arguments):
        outcome = CliRunner().invoke(main, ["lab", *map(str, arguments)])
        if outcome.exception is not None and not isinstance(outcome.exception, SystemExit):
            raise outcome.exception
        return outcome.exit_code, outcome.output

    return call


def test_run_writes_all_requested_files_and_overwrites_none(lab, tmp_path):
    outputs = ("--json", "a.json", "--report", "a.html", "--events", "a.jsonl")
    code, output = lab("run", "day.toml", *outputs)
    assert code == 0 and "sound" in output
    assert sorted(path.name for path in tmp_path.iterdir()) == ["a.html", "a.json", "a.jsonl", "day.toml"]
    assert json.loads((tmp_path / "a.json").read_text()) == json.loads(
        msgspec.json.encode(as_json(fake(load("day.toml"), 1)))
    )
    before = (tmp_path / "a.html").read_bytes()
    code, output = lab("run", "day.toml", "--report", "a.html", "--seed", 9)
    assert code == 2 and "--force" in output and (tmp_path / "a.html").read_bytes() == before
    assert lab("run", "day.toml", "--report", "a.html", "--seed", 9, "--force")[0] == 0
    assert (tmp_path / "a.html").read_bytes() != before
    assert lab("report", "a.json", "--out", "b.html")[0] == 0
    check_page((tmp_path / "b.html").read_text())
    assert lab("report", "day.toml", "--out", "c.html")[0] == 2 and not (tmp_path / "c.html").exists()


def test_exit_codes_of_a_run(lab, tmp_path):
    assert lab("run", "day.toml", "--set", "load.rate_per_s=600")[0] == 1  # a broken rule
    assert lab("run", "day.toml", "--set", "expect.goodput_at_least=0.99")[0] == 1
    known = ("--set", 'expect.breaks=["drain"]')
    assert lab("run", "day.toml", "--set", "load.rate_per_s=600", *known)[0] == 0
    assert lab("run", "day.toml", *known)[0] == 1
    code, output = lab("run", "day.toml", "--set", "name=raises", "--json", "r.json", "--events", "e.jsonl")
    assert code == 1 and "on purpose" in output
    assert [path.name for path in tmp_path.iterdir()] == ["day.toml"]


@pytest.mark.parametrize(
    "arguments",
    [
        ("run", "none.toml"),
        ("run", "day.toml", "--set", "load.rate_per_s=-1"),
        ("run", "day.toml", "--json", "no/x.json"),
        ("run", "day.toml", "--json", "x", "--report", "x"),
        ("run", "day.toml", "--defect", "no-such"),
        ("compare", "day.toml"),
        ("compare", "day.toml", "--tree", "."),
        ("sweep", "day.toml", "load.rate_per_s"),
        ("sweep", "day.toml", "load.rate_per_s=1,-1"),
        ("sweep", "day.toml", "a=1", "b=1", "c=1"),
        ("search", "--out", "day.toml"),
        ("shrink", "day.toml", "--out", "day.toml"),
        ("shrink", "day.toml", "--out", "x", "--rule", "drain"),
        ("shrink", "day.toml", "--out", "x", "--rule", "drain", "--unfinished"),
        ("report", "none.json"),
    ],
)
def test_invalid_input_is_reported_in_one_line_and_writes_nothing(lab, tmp_path, arguments):
    before = (tmp_path / "day.toml").read_bytes()
    code, output = lab(*arguments)
    assert code == 2 and output.strip() and "Traceback" not in output
    assert [path.name for path in tmp_path.iterdir()] == ["day.toml"]
    assert (tmp_path / "day.toml").read_bytes() == before


def test_experiments_write_their_files_and_return_exit_codes(lab, tmp_path):
    few = ("--seeds", 2, "--jobs", 2)
    assert lab("compare", "day.toml", "--b", "load.rate_per_s=200", *few, "--report", "c.html")[0] == 0
    code, output = lab("compare", "day.toml", "--b", "load.rate_per_s=600", *few, "--json", "c.json")
    assert code == 1 and "broken only in B" in output
    swept = lab(
        "sweep", "day.toml", "load.rate_per_s=100:300:3", *few, "--csv", "s.csv", "--report", "s.html"
    )
    assert swept[0] == 0 and len((tmp_path / "s.csv").read_text().splitlines()) == 4
    code, output = lab(
        "shrink", "day.toml", "--set", "load.rate_per_s=600", "--out", "least.toml", "--budget", 9
    )
    assert code == 0 and load("least.toml").expect.breaks == ("drain",)
    assert lab("search", "--runs", 2, "--out", "found", "--jobs", 2)[0] in (0, 1)
    assert (tmp_path / "found" / "search.json").exists()
    for name in ("c.html", "s.html"):
        check_page((tmp_path / name).read_text())
