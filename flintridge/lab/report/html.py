"""Renders reports as self-contained HTML files with inline plots, which load no other resources."""

from collections.abc import Sequence
from typing import Any

import jinja2
import msgspec

from flintridge.lab.experiment.compare import Comparison
from flintridge.lab.experiment.search_results import Search, SearchRun, ranked
from flintridge.lab.experiment.stats import METRICS, unsound_reasons
from flintridge.lab.experiment.sweep import Point, Sweep
from flintridge.lab.report.experiment_plots import compare_plots, sweep_plots
from flintridge.lab.report.run_plots import run_plots
from flintridge.lab.report.svg_figures import Plot
from flintridge.lab.report.tables import number
from flintridge.lab.result import Result, Violation
from flintridge.lab.scenario.model import Expect, Scenario

MAX_COUNTER_COLUMNS = 8
TONES = {"better": "good", "worse": "bad", "even": "", "unsure": ""}


class Row(msgspec.Struct, frozen=True):
    """A row of a table.

    Attributes:
        cells: The texts of the cells, one for each column.
        tone: The colour class of the row: `good`, `bad`, `warn`, or empty for no colour.
    """

    cells: list[str]
    tone: str = ""


class Table(msgspec.Struct, frozen=True):
    """A table of a report.

    Attributes:
        title: The heading of the table.
        head: The headings of the columns.
        rows: The rows of the table.
        about: A description of the table.
        text_columns: The indexes of the columns that contain text and are aligned to the left.
    """

    title: str
    head: list[str]
    rows: list[Row]
    about: str = ""
    text_columns: tuple[int, ...] = (0,)


class Page(msgspec.Struct, kw_only=True, frozen=True):
    """The content of a report, in roughly the order in which the template shows it.

    Attributes:
        title: The heading of the page.
        about: The lines below the heading.
        verdict: The word that is shown if there are reasons in `unsound`.
        unsound: The reasons why the run or experiment is not sound.
        cards: The name and the value of each metric.
        rules: The rules and their numbers of violations.
        tables: The tables above the plots.
        violations: The violations with the records that prove them.
        plots: The plots.
        small_tables: The tables below the plots, side by side.
        folded_texts: The title and the content of each collapsed text.
        footer: The last line of the page.
    """

    title: str
    about: list[str] = []
    verdict: str = "unsound"
    unsound: list[str] = []
    cards: list[tuple[str, str]] = []
    rules: list[Row] = []
    tables: list[Table] = []
    violations: list[Violation] = []
    plots: list[Plot] = []
    small_tables: list[Table] = []
    folded_texts: list[tuple[str, str]] = []
    footer: str = ""


def run_report(result: Result, scenario: Scenario | None = None, text: str = "") -> str:
    """Return the report of a run.

    Args:
        result: The result of the run.
        scenario: The scenario of the run, to show its description and evaluate its expectations.
        text: The scenario as TOML, which is shown unless it is empty.
    """
    expect = Expect() if scenario is None else scenario.expect
    about = [f"Seed {result.seed}, {result.backend} backend, digest {result.digest or '-'}."]
    if scenario is not None and scenario.about:
        about.insert(0, scenario.about)
    return _rendered(
        Page(
            title=result.scenario,
            about=about,
            unsound=unsound_reasons(result, expect),
            cards=_cards(result),
            rules=_rules(result, expect),
            violations=result.violations,
            plots=run_plots(result),
            small_tables=[*_faults(result), *_goodput_tables(result), *_counters(result)],
            folded_texts=[("Scenario as TOML", text)] if text else [],
            footer=_cost(result),
        )
    )


def compare_report(comparison: Comparison) -> str:
    """Return the report of a comparison."""
    differences = Table(
        "Figures",
        ["", "A", "B", "B - A", "95% interval", "B is", "sign test p"],
        [
            Row(
                [
                    difference.name,
                    number(difference.a, difference.unit),
                    number(difference.b, difference.unit),
                    f"{difference.mean:+.4g}",
                    f"{difference.low:+.4g} to {difference.high:+.4g}",
                    difference.verdict,
                    f"{difference.sign_p:.2f}",
                ],
                TONES[difference.verdict],
            )
            for difference in comparison.metrics
            if comparison.pairs
        ],
        f"Means over {len(comparison.pairs)} pairs of runs. Both runs of a pair use the same seed.",
    )
    rules = [
        Row(
            [rule.name, f"{rule.a} : {rule.b}"], "bad" if rule.new else "warn" if rule.a or rule.b else "good"
        )
        for rule in comparison.rules
    ]
    newly_broken = [f"rule {rule.name} is broken in B but not in A" for rule in comparison.rules if rule.new]
    return _rendered(
        Page(
            title=f"{comparison.a} against {comparison.b}",
            about=[
                f"A: {comparison.a}",
                f"B: {comparison.b}",
                f"{len(comparison.seeds)} seeds, {comparison.backend} backend.",
            ],
            unsound=newly_broken + comparison.failures,
            rules=rules,
            tables=[differences],
            plots=compare_plots(comparison),
            footer="Intervals: percentile bootstrap of the mean paired difference, 10,000 resamples.",
        )
    )


def sweep_report(swept: Sweep) -> str:
    """Return the report of a sweep."""
    paths = [parameter.path for parameter in swept.parameters]
    names = [metric.name for metric in METRICS]
    rows = []
    for point in swept.points:
        cells = [
            number(point.metrics[column.name].mean, column.unit) if point.metrics else "-"
            for column in METRICS
        ]
        broken = ", ".join(f"{name}: {count}" for name, count in point.violations.items())
        tone = "bad" if point.violations or point.failures else ""
        rows.append(Row([*point.values, str(point.complete_runs), *cells, broken], tone))

    def point_name(point: Point) -> str:
        return ", ".join(f"{path}={value}" for path, value in zip(paths, point.values, strict=True))

    unsound = [f"{point_name(p)}: rule {name} broken" for p in swept.points for name in p.violations]
    unsound += [f"{point_name(p)}: {line}" for p in swept.points for line in p.failures]
    return _rendered(
        Page(
            title=f"{swept.scenario} over {' and '.join(paths)}",
            about=[f"{len(swept.seeds)} seeds per point, {swept.backend} backend."],
            unsound=unsound,
            plots=sweep_plots(swept),
            tables=[Table("Points", [*paths, "seeds", *names, "broken"], rows, "Means over the seeds.")],
        )
    )


def search_report(found: Search) -> str:
    """Return the report of a search, with the worst runs first."""
    rows = [
        Row(
            [
                run.name,
                *(f"{value:.3f}" if value >= 0 else "-" for value in column_values(run)),
                " ".join(
                    f"{name}:{count}"
                    for name, count in {**run.fault_free_violations, **run.violations}.items()
                )
                or run.failure,
                ", ".join(run.faults),
            ],
            "bad" if run.violation_count or run.failure else "",
        )
        for run in ranked(found.runs)
    ]
    head = ["day", "goodput", "calm", "reference", "severity", "load", "behind", "broken", "faults"]
    bad = [
        f"{run.name}: {run.failure or 'a rule is broken'}"
        for run in found.runs
        if run.violation_count or run.failure
    ]
    return _rendered(
        Page(
            title=f"Search with seed {found.seed}",
            about=[f"{len(found.runs)} random runs in {found.minutes:.1f} minutes, {len(found.kept)} kept."],
            unsound=bad,
            tables=[Table("Days", head, rows, "Worst runs first.", (0, 7, 8))],
        )
    )


def column_values(run: SearchRun) -> tuple[float, ...]:
    """Return the metrics of one run of a search, in the order of the columns."""
    return (
        run.goodput,
        run.fault_free_goodput,
        run.reference,
        run.severity,
        run.load,
        run.unexplained_shortfall,
    )


def _rendered(page: Page) -> str:
    """Render a page with the HTML template."""
    loader = jinja2.PackageLoader("flintridge.lab.report", "")
    # Names and texts come from files and from bytes that servers sent, so everything is escaped except the
    # SVG that this package generates.
    environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.get_template("template.html.j2").render(page=page)


def _cost(result: Result) -> str:
    """Return the cost of a run (records, time, CPU and memory) as one line."""
    costs = (
        f"{result.records:,} records",
        f"{result.wall_s:.1f} s of real time",
        f"CPU: {result.lab_cpu_s:.1f} s for the lab, {result.node_cpu_s:.1f} s for the nodes",
        f"peak memory: {result.peak_memory_mb:.0f} MB",
    )
    return "; ".join(costs)


def _cards(result: Result) -> list[tuple[str, str]]:
    """Return the name and the value of each metric of a run."""
    latency = result.latency_ms
    return [
        ("goodput", number(result.goodput)),
        ("goal", number(result.goal)),
        ("worst window", number(result.min_window_goodput)),
        ("requests", f"{result.requests:,}"),
        ("served within objective", f"{result.served_within_objective:,}"),
        ("served late", f"{result.served - result.served_within_objective:,}"),
        ("refused", f"{result.rejected:,}"),
        ("failed", f"{result.failed:,}"),
        ("p50", number(latency.p50, "ms")),
        ("p99", number(latency.p99, "ms")),
        ("p999", number(latency.p999, "ms")),
        ("attempts per request", f"{result.attempts_per_request:.3f}"),
        ("origin attempts per request", f"{result.origin_per_request:.3f}"),
        ("hits", number(result.hit_fraction)),
        ("wasted work", number(result.wasted_fraction)),
    ]


def _rules(result: Result, expect: Expect) -> list[Row]:
    """Return a row for each rule, broken rules first, then by name."""
    rows = []
    for name, count in sorted(result.rules.items(), key=lambda rule: (not rule[1], rule[0])):
        known = bool(count) and name in expect.breaks
        rows.append(Row([name, f"{count} (expected)" if known else str(count)], _tone(count, known)))
    return rows


def _tone(count: int, known: bool) -> str:
    """Return the tone of a rule with `count` violations; `known` if the scenario expects them."""
    if not count:
        return "good"
    return "warn" if known else "bad"


def _goodput_tables(result: Result) -> list[Table]:
    """Return tables of the goodput by class and by tenant, each if there is more than one."""
    groups = (("class", result.goodput_by_class), ("tenant", result.goodput_by_tenant))
    return [
        Table(f"Goodput by {name}", [name, "goodput"], [Row([k, number(v)]) for k, v in sorted(of.items())])
        for name, of in groups
        if len(of) > 1
    ]


def _faults(result: Result) -> list[Table]:
    """Return a table of the faults, or no table without faults."""
    if not result.faults:
        return []
    rows = [Row([name, f"{begins:.1f} s", f"{ends:.1f} s"]) for name, begins, ends in result.faults]
    return [Table("Faults of the run", ["fault", "from", "to"], rows)]


def _counters(result: Result) -> list[Table]:
    """Return a table of the counters that the first eight nodes report, one column per node."""
    nodes = sorted(result.counters)
    names = sorted({name for counts in result.counters.values() for name in counts})
    if not names:
        return []
    shown: Sequence[str] = nodes[:MAX_COUNTER_COLUMNS]
    rows = [Row([name, *(f"{result.counters[node].get(name, 0):,}" for node in shown)]) for name in names]
    return [
        Table("Counters of the nodes", ["", *shown], rows, "For information only: no metric above uses them.")
    ]


def report_of_json(data: bytes, scenario: Scenario | None = None, text: str = "") -> str:
    """Return the report of a result that a command saved as JSON.

    Args:
        data: The content of the JSON file.
        scenario: The scenario if the file holds a run and its scenario is known.
        text: The scenario as TOML if the file holds a run.

    Raises:
        ValueError: The content is not an object, or `what` names an unknown command.
        msgspec.MsgspecError: The content is not valid JSON, or fields are missing.
    """
    plain: Any = msgspec.json.decode(data)
    if not isinstance(plain, dict):
        raise ValueError("the content is not a JSON object")
    what = plain.get("what")
    if what is None:
        return run_report(msgspec.convert(plain, Result), scenario, text)
    if what == "compare":
        return compare_report(msgspec.convert(plain, Comparison))
    if what == "sweep":
        return sweep_report(msgspec.convert(plain, Sweep))
    if what == "search":
        return search_report(msgspec.convert(plain, Search))
    raise ValueError(f"what: {what!r}: must be compare, sweep or search, or absent for a run")
