"""Reports and commands: whole files that load nothing, exit codes, outputs that are never written over."""

import json
import re
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from flintridge.cli.main import main
from flintridge.lab.experiment import pool
from flintridge.lab.experiment.compare import Variant, compare
from flintridge.lab.experiment.search_results import Search, SearchRun
from flintridge.lab.experiment.sweep import parameter, sweep
from flintridge.lab.report import html, plots, tables
from flintridge.lab.result import Latency, Result, Violation, Window, as_json
from flintridge.lab.scenario import model
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Scenario

HERE = __name__ + ":fake"
NASTY = '</pre><script>alert(1)</script> & "quoted" [bold] {{ 7*7 }}'


def windows(count=30, servers=3):
    return [
        Window(
            t_s=float(t),
            requests=100,
            served=90 - t % 7,
            within_objective=80 - t % 7,
            rejected=5,
            failed=2,
            offered_weight=100.0,
            achieved_weight=85.0 - t % 7,
            p50=20.0,
            p99=300.0 + 10 * t,
            attempts=150,
            origin_attempts=12,
            in_flight={f"s-{n}": float(n + t % 3) for n in range(servers)},
        )
        for t in range(count)
    ]


def result(**named):
    plain = {
        "scenario": "day",
        "seed": 1,
        "backend": "virtual",
        "requests": 3000,
        "rules": {"drain": 1, "lost": 0},
        "latency_ms": Latency(p50=20, p99=400, p999=1500),
        "goodput": 0.8,
        "violations": [
            Violation(
                rule="drain",
                at_ms=9100,
                request_id="ab",
                node="n0",
                server="s-1",
                text=NASTY,
                records=[NASTY],
            )
        ],
        "windows": windows(),
        "faults": [("crash", 5.0, 12.0), ("drain", 9.0, 9.0), (NASTY, 20.0, 99.0)],
        "counters": {"n0": {"taken": 5}, "n1": {"sent": 7}},
    }
    return Result(**{**plain, **named})


def fake(scenario, seed, *, backend="virtual", defect=None, events=None):
    """A `play` that does what the scenario's name says."""
    if scenario.name == "raises":
        raise ValueError("on purpose")
    if events is not None:
        events.write_text('{"what":"node"}\n')
    rate = scenario.load.rate_per_s
    breaks = int(rate > 500)
    return result(scenario=scenario.name, seed=seed, goodput=1 - rate / 1000, rules={"drain": breaks})


def parts_of(page):
    assert page.lstrip().startswith("<!DOCTYPE html>") and page.rstrip().endswith("</html>")
    # Nothing is loaded, nothing is run, and what came from the wire stays text.
    assert not re.search(r"<script|<link|<img|<iframe|@import|javascript:|\son\w+=", page)
    for address in re.findall(r'(?:src|href|url)\s*[=(]\s*"?([^")\s]+)', page):
        assert address.startswith(("#", "data:")), address
    ids = re.findall(r'\sid="([^"]+)"', page)
    assert len(ids) == len(set(ids))
    for used in re.findall(r'(?:href="#|url\(#)([^")]+)', page):
        assert used in ids
    return page


@pytest.mark.parametrize("servers", [0, 3, 40])
def test_a_run_report_stands_alone_and_escapes_what_it_quotes(servers):
    found = result(windows=windows(servers=servers))
    page = parts_of(html.run_report(found, Scenario(about="a < b"), "name = '<x>'"))
    assert page.count("<svg") == 4 + (servers > 0)
    assert "a &lt; b" in page and "&lt;script&gt;" in page and "{{ 7*7 }}" in page and ">sound<" not in page
    assert page == html.run_report(found, Scenario(about="a < b"), "name = '<x>'")
    assert ("data:image/png" in page) == (servers > plots.MOST_LINES)


def test_reports_of_nothing_of_one_window_and_of_a_long_day():
    parts_of(html.run_report(Result(scenario="x", seed=1, backend="virtual")))
    parts_of(html.run_report(result(windows=windows(1), faults=[])))
    empty = [Window(t_s=float(t)) for t in range(5)]
    parts_of(html.run_report(result(windows=empty, faults=[("out", 50.0, 60.0)])))
    long = plots.merged(windows(5000))
    assert len(long) <= plots.MOST_POINTS and long[1].t_s == 9 and long[0].requests == 100
    assert long[0].p99 == max(window.p99 for window in windows(9))


def test_reports_of_experiments_from_their_json():
    sides = Variant(label="a", scenario=Scenario()), Variant(label="b", scenario=load_rate(600))
    compared = compare(*sides, [1, 2], runner=fake)
    one = sweep("s", [parameter("x=1,2")], lambda values: load_rate(50), [1], runner=fake)
    values = iter([50, 50, 600, 600])
    both = [parameter("x=1,2"), parameter('y="p","q"')]
    two = sweep("s", both, lambda _: load_rate(next(values)), [1], runner=fake)
    words = sweep("s", [parameter('y="p","q"')], lambda _: Scenario(name="raises"), [1], runner=fake)
    run = SearchRun(number=0, seed=2, name=NASTY, violations={"drain": 1}, unexplained_shortfall=0.1)
    found = Search(seed=1, space_version=1, runs=[run])
    for value in (compared, one, two, words, found):
        data = msgspec.json.encode(value)
        page = parts_of(html.of_json(data))
        assert page == html.of_json(data)
    assert "breaks in B and holds in A" in html.compare_report(compared)
    assert ">sound<" in html.sweep_report(one)
    for wrong in (b"[]", b"{", b'{"what":"x"}', b'{"goodput":1}', b'{"what":"sweep"}'):
        with pytest.raises((msgspec.MsgspecError, ValueError)):
            html.of_json(wrong)


def load_rate(rate):
    return Scenario(load=model.Load(rate_per_s=rate))


def test_tables_print_whatever_a_result_holds(capsys):
    tables.print_run(result(), ["rule drain broken 1 time"], ())
    tables.print_search(
        Search(seed=1, space_version=1, runs=[SearchRun(number=0, seed=2, name=NASTY, failure=NASTY)]), NASTY
    )
    said = capsys.readouterr().out
    assert "unsound: rule drain" in said and "[bold] {{ 7*7 }}" in said


# Commands, with the made-up `play`


@pytest.fixture
def lab(monkeypatch, tmp_path):
    """Calls `flintridge lab ...` in a folder of its own; the exit code and what it said."""
    monkeypatch.chdir(tmp_path)
    # Exchanged where jobs leave for the workers.
    whole = pool.frame
    monkeypatch.setattr(pool, "frame", lambda job: whole(msgspec.structs.replace(job, runner=HERE)))
    (tmp_path / "day.toml").write_text('name = "day"\n[load]\nrate_per_s = 100.0\n')

    def call(*arguments):
        outcome = CliRunner().invoke(main, ["lab", *map(str, arguments)])
        if outcome.exception is not None and not isinstance(outcome.exception, SystemExit):
            raise outcome.exception
        return outcome.exit_code, outcome.output

    return call


def test_run_writes_all_it_was_asked_for_and_nothing_over(lab, tmp_path):
    outputs = ("--json", "a.json", "--report", "a.html", "--events", "a.jsonl")
    code, said = lab("run", "day.toml", *outputs)
    assert code == 0 and "sound" in said
    assert sorted(path.name for path in tmp_path.iterdir()) == ["a.html", "a.json", "a.jsonl", "day.toml"]
    assert json.loads((tmp_path / "a.json").read_text()) == json.loads(
        msgspec.json.encode(as_json(fake(load("day.toml"), 1)))
    )
    before = (tmp_path / "a.html").read_bytes()
    code, said = lab("run", "day.toml", "--report", "a.html", "--seed", 9)
    assert code == 2 and "--force" in said and (tmp_path / "a.html").read_bytes() == before
    assert lab("run", "day.toml", "--report", "a.html", "--seed", 9, "--force")[0] == 0
    assert (tmp_path / "a.html").read_bytes() != before
    assert lab("report", "a.json", "--out", "b.html")[0] == 0
    parts_of((tmp_path / "b.html").read_text())
    assert lab("report", "day.toml", "--out", "c.html")[0] == 2 and not (tmp_path / "c.html").exists()


def test_exit_codes_of_a_run(lab, tmp_path):
    assert lab("run", "day.toml", "--set", "load.rate_per_s=600")[0] == 1  # a broken rule
    assert lab("run", "day.toml", "--set", "expect.goodput_at_least=0.99")[0] == 1
    known = ("--set", 'expect.breaks=["drain"]')
    assert lab("run", "day.toml", "--set", "load.rate_per_s=600", *known)[0] == 0
    assert lab("run", "day.toml", *known)[0] == 1
    code, said = lab("run", "day.toml", "--set", "name=raises", "--json", "r.json", "--events", "e.jsonl")
    assert code == 1 and "on purpose" in said
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
def test_wrong_input_is_told_in_a_line_and_writes_nothing(lab, tmp_path, arguments):
    before = (tmp_path / "day.toml").read_bytes()
    code, said = lab(*arguments)
    assert code == 2 and said.strip() and "Traceback" not in said
    assert [path.name for path in tmp_path.iterdir()] == ["day.toml"]
    assert (tmp_path / "day.toml").read_bytes() == before


def test_experiments_end_with_files_and_codes(lab, tmp_path):
    few = ("--seeds", 2, "--jobs", 2)
    assert lab("compare", "day.toml", "--b", "load.rate_per_s=200", *few, "--report", "c.html")[0] == 0
    code, said = lab("compare", "day.toml", "--b", "load.rate_per_s=600", *few, "--json", "c.json")
    assert code == 1 and "breaks in B alone" in said
    swept = lab(
        "sweep", "day.toml", "load.rate_per_s=100:300:3", *few, "--csv", "s.csv", "--report", "s.html"
    )
    assert swept[0] == 0 and len((tmp_path / "s.csv").read_text().splitlines()) == 4
    code, said = lab(
        "shrink", "day.toml", "--set", "load.rate_per_s=600", "--out", "least.toml", "--budget", 9
    )
    assert code == 0 and load("least.toml").expect.breaks == ("drain",)
    assert lab("search", "--runs", 2, "--out", "found", "--jobs", 2)[0] in (0, 1)
    assert (tmp_path / "found" / "search.json").exists()
    for name in ("c.html", "s.html"):
        parts_of((tmp_path / name).read_text())


def test_matplotlib_is_loaded_for_a_report_alone():
    code = (
        "import sys, flintridge.lab.report.tables, flintridge.cli.lab_run, flintridge.lab.experiment.shrink\n"
        "assert 'matplotlib' not in sys.modules and 'jinja2' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=Path(__file__).parent.parent)
