"""Reports as single HTML files: the template filled, plots inline, nothing loaded from anywhere."""

from collections.abc import Sequence
from typing import Any

import jinja2
import msgspec

from flintridge.lab.experiment.compare import Comparison
from flintridge.lab.experiment.search_results import Search, SearchRun, ranked
from flintridge.lab.experiment.stats import METRICS, unsound_reasons
from flintridge.lab.experiment.sweep import Point, Sweep
from flintridge.lab.report.plots import Plot, compare_plots, run_plots, sweep_plots
from flintridge.lab.report.tables import number
from flintridge.lab.result import Result, Violation
from flintridge.lab.scenario.model import Expect, Scenario

TONES = {"better": "good", "worse": "bad", "even": "", "unsure": ""}


class Row(msgspec.Struct, frozen=True):
    """Cells of a table; `tone` is good, bad, warn or nothing."""

    cells: list[str]
    tone: str = ""


class Table(msgspec.Struct, frozen=True):
    """`texts` are the columns, beside the first one, that hold words."""

    title: str
    head: list[str]
    rows: list[Row]
    about: str = ""
    texts: tuple[int, ...] = (0,)


class Page(msgspec.Struct, kw_only=True, frozen=True):
    """What the template shows, in its order."""

    title: str
    about: list[str] = []
    verdict: str = "unsound"
    unsound: list[str] = []
    cards: list[tuple[str, str]] = []
    rules: list[Row] = []
    tables: list[Table] = []
    violations: list[Violation] = []
    plots: list[Plot] = []
    after: list[Table] = []  # small ones, side by side
    texts: list[tuple[str, str]] = []
    footer: str = ""


def run_report(result: Result, scenario: Scenario | None = None, text: str = "") -> str:
    """A run's report. With the scenario its description and expectations are told; `text` is its TOML."""
    expect = Expect() if scenario is None else scenario.expect
    about = [f"Seed {result.seed}, {result.backend} backend, digest {result.digest or '-'}."]
    if scenario is not None and scenario.about:
        about.insert(0, scenario.about)
    return _filled(
        Page(
            title=result.scenario,
            about=about,
            unsound=unsound_reasons(result, expect),
            cards=_cards(result),
            rules=_rules(result, expect),
            violations=result.violations,
            plots=run_plots(result),
            after=[*_faults(result), *_shares(result), *_counters(result)],
            texts=[("The scenario", text)] if text else [],
            footer=_cost(result),
        )
    )


def compare_report(comparison: Comparison) -> str:
    """A comparison's report."""
    differences = Table(
        "Figures",
        ["", "A", "B", "B - A", "95% of it", "B is", "sign test p"],
        [
            Row(
                [
                    one.name,
                    number(one.a, one.unit),
                    number(one.b, one.unit),
                    f"{one.mean:+.4g}",
                    f"{one.low:+.4g} to {one.high:+.4g}",
                    one.verdict,
                    f"{one.sign_p:.2f}",
                ],
                TONES[one.verdict],
            )
            for one in comparison.metrics
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
    return _filled(
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
    """A sweep's report."""
    paths = [parameter.path for parameter in swept.parameters]
    names = [metric.name for metric in METRICS]
    rows = []
    for point in swept.points:
        cells = [number(point.metrics[f.name].mean, f.unit) if point.metrics else "-" for f in METRICS]
        broken = ", ".join(f"{name}: {count}" for name, count in point.violations.items())
        tone = "bad" if point.violations or point.failures else ""
        rows.append(Row([*point.values, str(point.complete_runs), *cells, broken], tone))

    def place(point: Point) -> str:
        return ", ".join(f"{path}={value}" for path, value in zip(paths, point.values, strict=True))

    unsound = [f"{place(p)}: rule {name} broken" for p in swept.points for name in p.violations]
    unsound += [f"{place(p)}: {line}" for p in swept.points for line in p.failures]
    return _filled(
        Page(
            title=f"{swept.scenario} over {' and '.join(paths)}",
            about=[f"{len(swept.seeds)} seeds a point, {swept.backend} backend."],
            unsound=unsound,
            plots=sweep_plots(swept),
            tables=[Table("Points", [*paths, "seeds", *names, "broken"], rows, "Means over the seeds.")],
        )
    )


def search_report(found: Search) -> str:
    """A search's report: its days, the worst first."""
    rows = [
        Row(
            [
                run.name,
                *(f"{value:.3f}" if value >= 0 else "-" for value in metrics_of(run)),
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
    return _filled(
        Page(
            title=f"Search with seed {found.seed}",
            about=[f"{len(found.runs)} random days in {found.minutes:.1f} minutes, {len(found.kept)} kept."],
            unsound=bad,
            tables=[Table("Days", head, rows, "Worst first.", (0, 7, 8))],
        )
    )


def metrics_of(run: SearchRun) -> tuple[float, ...]:
    """A search day's figures, in the order of the columns."""
    return (
        run.goodput,
        run.fault_free_goodput,
        run.reference,
        run.severity,
        run.load,
        run.unexplained_shortfall,
    )


def _filled(page: Page) -> str:
    loader = jinja2.PackageLoader("flintridge.lab.report", "")
    # Names and sentences come from files and from servers' bytes: all are escaped, but for our own SVG.
    environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.get_template("template.html.j2").render(page=page)


def _cost(result: Result) -> str:
    parts = (
        f"{result.records:,} records",
        f"{result.wall_s:.1f} s of real time",
        f"CPU: {result.lab_cpu_s:.1f} s for the lab, {result.node_cpu_s:.1f} s for the nodes",
        f"memory: {result.peak_memory_mb:.0f} MB at most",
    )
    return "; ".join(parts)


def _cards(result: Result) -> list[tuple[str, str]]:
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
    """Broken ones first, then by name."""
    rows = []
    for name, count in sorted(result.rules.items(), key=lambda rule: (not rule[1], rule[0])):
        known = bool(count) and name in expect.breaks
        rows.append(Row([name, f"{count} (known)" if known else str(count)], _tone(count, known)))
    return rows


def _tone(count: int, known: bool) -> str:
    if not count:
        return "good"
    return "warn" if known else "bad"


def _shares(result: Result) -> list[Table]:
    groups = (("class", result.goodput_by_class), ("tenant", result.goodput_by_tenant))
    return [
        Table(f"Goodput by {name}", [name, "goodput"], [Row([k, number(v)]) for k, v in sorted(of.items())])
        for name, of in groups
        if len(of) > 1
    ]


def _faults(result: Result) -> list[Table]:
    if not result.faults:
        return []
    rows = [Row([name, f"{begins:.1f} s", f"{ends:.1f} s"]) for name, begins, ends in result.faults]
    return [Table("What went wrong", ["fault", "from", "to"], rows)]


def _counters(result: Result) -> list[Table]:
    """The nodes' own counters, side by side."""
    nodes = sorted(result.counters)
    names = sorted({name for counts in result.counters.values() for name in counts})
    if not names:
        return []
    most: Sequence[str] = nodes[:8]
    rows = [Row([name, *(f"{result.counters[n].get(name, 0):,}" for n in most)]) for name in names]
    return [
        Table("The nodes' own counters", ["", *most], rows, "For reading only: no figure above uses them.")
    ]


def of_json(data: bytes, scenario: Scenario | None = None, text: str = "") -> str:
    """The report of what any of the commands saved as JSON. Raises msgspec.MsgspecError, ValueError."""
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
