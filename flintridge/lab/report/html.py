"""Reports as single HTML files: the template filled, plots inline, nothing loaded from anywhere."""

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
        cells: Their texts, one for each column.
        tone: How it is coloured: `good`, `bad`, `warn`, or empty for not at all.
    """

    cells: list[str]
    tone: str = ""


class Table(msgspec.Struct, frozen=True):
    """A table of a report.

    Attributes:
        title: Its heading.
        head: The columns' headings.
        rows: Its rows.
        about: What it shows.
        texts: The indexes of the columns that hold words, which are aligned to the left.
    """

    title: str
    head: list[str]
    rows: list[Row]
    about: str = ""
    texts: tuple[int, ...] = (0,)


class Page(msgspec.Struct, kw_only=True, frozen=True):
    """What the template shows, in its order.

    Attributes:
        title: The heading.
        about: Lines below it.
        verdict: The word shown where there are reasons in `unsound`.
        unsound: Why the run or experiment is not sound.
        cards: Metrics, name and value each.
        rules: Rules with their violations.
        tables: Tables above the plots.
        violations: Violations with the records that prove them.
        plots: Plots.
        after: Small tables below the plots, side by side.
        texts: Folded texts, title and text each.
        footer: The last line.
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
    after: list[Table] = []
    texts: list[tuple[str, str]] = []
    footer: str = ""


def run_report(result: Result, scenario: Scenario | None = None, text: str = "") -> str:
    """Return the report of a run.

    Args:
        result: The run's result.
        scenario: Its scenario, whose description and expectations are shown as well.
        text: The scenario as TOML, shown where it is not empty.
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
            after=[*_faults(result), *_goodput_tables(result), *_counters(result)],
            texts=[("The scenario", text)] if text else [],
            footer=_cost(result),
        )
    )


def compare_report(comparison: Comparison) -> str:
    """Return the report of a comparison."""
    differences = Table(
        "Figures",
        ["", "A", "B", "B - A", "95% of it", "B is", "sign test p"],
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
        f"Means over {len(comparison.pairs)} pairs of runs, each pair under one seed.",
    )
    rules = [
        Row(
            [rule.name, f"{rule.a} : {rule.b}"], "bad" if rule.new else "warn" if rule.a or rule.b else "good"
        )
        for rule in comparison.rules
    ]
    worse = [f"rule {rule.name} breaks in B and holds in A" for rule in comparison.rules if rule.new]
    return _rendered(
        Page(
            title=f"{comparison.a} against {comparison.b}",
            about=[
                f"A: {comparison.a}",
                f"B: {comparison.b}",
                f"{len(comparison.seeds)} seeds, {comparison.backend} backend.",
            ],
            unsound=worse + comparison.failures,
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
        cells = [number(point.metrics[f.name].mean, f.unit) if point.metrics else "-" for f in METRICS]
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
            about=[f"{len(swept.seeds)} seeds a point, {swept.backend} backend."],
            unsound=unsound,
            plots=sweep_plots(swept),
            tables=[Table("Points", [*paths, "seeds", *names, "broken"], rows, "Means over the seeds.")],
        )
    )


def search_report(found: Search) -> str:
    """Return the report of a search: its runs, the worst first."""
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
            about=[f"{len(found.runs)} random days in {found.minutes:.1f} minutes, {len(found.kept)} kept."],
            unsound=bad,
            tables=[Table("Days", head, rows, "Worst first.", (0, 7, 8))],
        )
    )


def column_values(run: SearchRun) -> tuple[float, ...]:
    """Return the metrics of a search's run, in the order of the columns."""
    return (
        run.goodput,
        run.fault_free_goodput,
        run.reference,
        run.severity,
        run.load,
        run.unexplained_shortfall,
    )


def _rendered(page: Page) -> str:
    """Fill the template."""
    loader = jinja2.PackageLoader("flintridge.lab.report", "")
    # Names and sentences come from files and from servers' bytes: all are escaped, but for our own SVG.
    environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.get_template("template.html.j2").render(page=page)


def _cost(result: Result) -> str:
    """Return what the run took, as a line."""
    costs = (
        f"{result.records:,} records",
        f"{result.wall_s:.1f} s of real time",
        f"CPU: {result.lab_cpu_s:.1f} s for the lab, {result.node_cpu_s:.1f} s for the nodes",
        f"memory: {result.peak_memory_mb:.0f} MB at most",
    )
    return "; ".join(costs)


def _cards(result: Result) -> list[tuple[str, str]]:
    """Return the metrics of a run, name and value each."""
    latency = result.latency_ms
    return [
        ("goodput", number(result.goodput)),
        ("goal", number(result.goal)),
        ("worst window", number(result.min_window_goodput)),
        ("requests", f"{result.requests:,}"),
        ("served in aim", f"{result.served_within_objective:,}"),
        ("served late", f"{result.served - result.served_within_objective:,}"),
        ("refused", f"{result.rejected:,}"),
        ("failed", f"{result.failed:,}"),
        ("p50", number(latency.p50, "ms")),
        ("p99", number(latency.p99, "ms")),
        ("p999", number(latency.p999, "ms")),
        ("attempts a request", f"{result.attempts_per_request:.3f}"),
        ("origin a request", f"{result.origin_per_request:.3f}"),
        ("hits", number(result.hit_fraction)),
        ("work wasted", number(result.wasted_fraction)),
    ]


def _rules(result: Result, expect: Expect) -> list[Row]:
    """Return a row for each rule, broken ones first, then by name."""
    rows = []
    for name, count in sorted(result.rules.items(), key=lambda rule: (not rule[1], rule[0])):
        known = bool(count) and name in expect.breaks
        rows.append(Row([name, f"{count} (known)" if known else str(count)], _tone(count, known)))
    return rows


def _tone(count: int, known: bool) -> str:
    """Return the tone of a rule with so many violations, which the scenario expects or not."""
    if not count:
        return "good"
    return "warn" if known else "bad"


def _goodput_tables(result: Result) -> list[Table]:
    """Return goodput by class and by tenant, where there is more than one."""
    groups = (("class", result.goodput_by_class), ("tenant", result.goodput_by_tenant))
    return [
        Table(f"Goodput by {name}", [name, "goodput"], [Row([k, number(v)]) for k, v in sorted(of.items())])
        for name, of in groups
        if len(of) > 1
    ]


def _faults(result: Result) -> list[Table]:
    """Return a table of the faults, if there are any."""
    if not result.faults:
        return []
    rows = [Row([name, f"{begins:.1f} s", f"{ends:.1f} s"]) for name, begins, ends in result.faults]
    return [Table("What went wrong", ["fault", "from", "to"], rows)]


def _counters(result: Result) -> list[Table]:
    """Return the nodes' own counters, side by side, of the first eight nodes."""
    nodes = sorted(result.counters)
    names = sorted({name for counts in result.counters.values() for name in counts})
    if not names:
        return []
    shown: Sequence[str] = nodes[:MAX_COUNTER_COLUMNS]
    rows = [Row([name, *(f"{result.counters[node].get(name, 0):,}" for node in shown)]) for name in names]
    return [
        Table("The nodes' own counters", ["", *shown], rows, "For reading only: no figure above uses them.")
    ]


def report_of_json(data: bytes, scenario: Scenario | None = None, text: str = "") -> str:
    """Return the report of what any of the commands saved as JSON.

    Args:
        data: The file's content.
        scenario: Of a run, its scenario if it is known.
        text: Of a run, its scenario as TOML.

    Raises:
        ValueError: The content is no object, or of an unknown command.
        msgspec.MsgspecError: It is no JSON, or lacks fields.
    """
    plain: Any = msgspec.json.decode(data)
    if not isinstance(plain, dict):
        raise ValueError("holds no object")
    what = plain.get("what")
    if what is None:
        return run_report(msgspec.convert(plain, Result), scenario, text)
    if what == "compare":
        return compare_report(msgspec.convert(plain, Comparison))
    if what == "sweep":
        return sweep_report(msgspec.convert(plain, Sweep))
    if what == "search":
        return search_report(msgspec.convert(plain, Search))
    raise ValueError(f"what: {what!r}: one of compare, sweep, search, or none for a run")
