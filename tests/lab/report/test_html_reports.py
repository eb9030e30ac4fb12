"""Tests that HTML reports are complete files which load no other resources."""

import msgspec
import pytest
from support.lab_reports import HOSTILE_TEXT, check_page, fake, load_rate, result, windows

from flintridge.lab.experiment.compare import Variant, compare
from flintridge.lab.experiment.search_results import Search, SearchRun
from flintridge.lab.experiment.sweep import parameter, sweep
from flintridge.lab.report import html, run_plots
from flintridge.lab.result import Result, Window
from flintridge.lab.scenario.model import Scenario


@pytest.mark.parametrize("servers", [0, 3, 40])
def test_a_run_report_is_self_contained_and_escapes_all_texts(servers):
    found = result(windows=windows(servers=servers))
    page = check_page(html.run_report(found, Scenario(about="a < b"), "name = '<x>'"))
    assert page.count("<svg") == 4 + (servers > 0)
    assert "a &lt; b" in page and "&lt;script&gt;" in page and "{{ 7*7 }}" in page and ">sound<" not in page
    assert page == html.run_report(found, Scenario(about="a < b"), "name = '<x>'")
    assert ("data:image/png" in page) == (servers > run_plots.MAX_LINES)


def test_reports_of_runs_with_no_window_one_window_and_many_windows():
    check_page(html.run_report(Result(scenario="x", seed=1, backend="virtual")))
    check_page(html.run_report(result(windows=windows(1), faults=[])))
    empty = [Window(t_s=float(t)) for t in range(5)]
    check_page(html.run_report(result(windows=empty, faults=[("out", 50.0, 60.0)])))
    merged = run_plots.merge_windows(windows(5000))
    assert len(merged) <= run_plots.MAX_POINTS and merged[1].t_s == 9 and merged[0].requests == 100
    assert merged[0].p99 == max(window.p99 for window in windows(9))


def test_reports_of_experiments_are_made_from_their_json():
    variants = Variant(label="a", scenario=Scenario()), Variant(label="b", scenario=load_rate(600))
    compared = compare(*variants, [1, 2], runner=fake)
    one = sweep("s", [parameter("x=1,2")], lambda values: load_rate(50), [1], runner=fake)
    values = iter([50, 50, 600, 600])
    parameters = [parameter("x=1,2"), parameter('y="p","q"')]
    two = sweep("s", parameters, lambda _: load_rate(next(values)), [1], runner=fake)
    words = sweep("s", [parameter('y="p","q"')], lambda _: Scenario(name="raises"), [1], runner=fake)
    run = SearchRun(number=0, seed=2, name=HOSTILE_TEXT, violations={"drain": 1}, unexplained_shortfall=0.1)
    found = Search(seed=1, space_version=1, runs=[run])
    for value in (compared, one, two, words, found):
        data = msgspec.json.encode(value)
        page = check_page(html.report_of_json(data))
        assert page == html.report_of_json(data)
    assert "is broken in B but not in A" in html.compare_report(compared)
    assert ">sound<" in html.sweep_report(one)
    for wrong in (b"[]", b"{", b'{"what":"x"}', b'{"goodput":1}', b'{"what":"sweep"}'):
        with pytest.raises((msgspec.MsgspecError, ValueError)):
            html.report_of_json(wrong)
