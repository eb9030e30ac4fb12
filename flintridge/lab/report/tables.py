"""Tables for the terminal."""

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from flintridge.lab.experiment.compare import Comparison
from flintridge.lab.experiment.jobs import JobFailed
from flintridge.lab.experiment.search_results import Search, SearchRun, ranked
from flintridge.lab.experiment.shrink import Shrunk
from flintridge.lab.experiment.stats import METRICS, Difference
from flintridge.lab.experiment.sweep import Sweep
from flintridge.lab.result import Result, Violation

COLOURS = {"better": "green", "worse": "red", "even": "dim", "unsure": "yellow"}


def console(*, error: bool = False) -> Console:
    """For tables: never narrower than they need where the output is a file or a pipe."""
    made = Console(stderr=error, highlight=False)
    return made if made.is_terminal else Console(stderr=error, highlight=False, width=140)


def number(value: float, unit: str = "") -> str:
    """With as many digits as can matter: milliseconds to a tenth, shares to four places."""
    if unit == "ms":
        return f"{value:.1f} ms" if abs(value) < 1000 else f"{value:,.0f} ms"
    return f"{value:.4f}" if abs(value) < 100 else f"{value:,.1f}"


def _grid(*columns: str) -> Table:
    """The first column to the left, figures to the right."""
    table = Table(header_style="bold")
    for i, column in enumerate(columns):
        table.add_column(column, justify="left" if i == 0 else "right")
    return table


def _title(out: Console, text: str) -> None:
    out.print(f"[bold]{escape(text)}", soft_wrap=True)


def run_table(result: Result) -> Table:
    """The figures of one run."""
    table = _grid("", "")
    table.show_header = False
    late, latency = result.served - result.served_within_objective, result.latency_ms
    rows = [
        ("goodput", number(result.goodput)),
        ("goal", number(result.goal)),
        ("worst window", number(result.min_window_goodput)),
        ("requests", f"{result.requests:,}"),
        ("served, in aim + late", f"{result.served_within_objective:,} + {late:,}"),
        ("refused / failed", f"{result.rejected:,} / {result.failed:,}"),
        (
            "latency p50 / p99 / p999",
            " / ".join(number(v, "ms") for v in (latency.p50, latency.p99, latency.p999)),
        ),
        (
            "attempts a request (origin)",
            f"{result.attempts_per_request:.3f} ({result.origin_per_request:.3f})",
        ),
        ("hits at cache servers", number(result.hit_fraction)),
        ("wall / lab / nodes", f"{result.wall_s:.1f} / {result.lab_cpu_s:.1f} / {result.node_cpu_s:.1f} s"),
        ("digest", result.digest[:32]),
    ]
    for name, value in rows:
        table.add_row(name, value)
    if result.end_reason != "whole":
        table.add_row("[bold red]cut short", f"[bold red]{escape(result.end_reason)}")
    for trouble in result.lab_problems:  # of the lab itself, in real time
        table.add_row("[yellow]trouble", f"[yellow]{escape(trouble)}")
    return table


def rules_table(rules: dict[str, int], expected: Iterable[str] = ()) -> Table:
    """Breaches of each rule."""
    known = tuple(expected)
    table = _grid("rule", "breaches")
    for name, count in sorted(rules.items()):
        style = "dim" if not count else "yellow" if name in known else "bold red"
        text = f"{count} (expected)" if count and name in known else str(count)
        table.add_row(f"[{style}]{escape(name)}", f"[{style}]{text}")
    return table


def breach_lines(breaches: Sequence[Violation], most: int = 8) -> list[str]:
    """One line a breach: when, which rule, the sentence."""
    lines = [f"{breach.at_ms / 1000:9.3f} s  {breach.rule}: {breach.text}" for breach in breaches[:most]]
    return lines + [f"... and {len(breaches) - most} more"] * (len(breaches) > most)


def print_run(result: Result, faults: Sequence[str], expected: Iterable[str] = ()) -> None:
    """The whole of a run on standard output; `faults` are the lines that make it unsound."""
    out = console()
    _title(out, f"{result.scenario}, seed {result.seed}, {result.backend}")
    out.print(run_table(result))
    broken = {name: count for name, count in result.rules.items() if count}
    if broken:
        out.print(rules_table(broken, expected))
        for line in breach_lines(result.violations):
            out.print(f"  {line}", markup=False, soft_wrap=True)
    else:
        out.print(f"{len(result.rules)} rules, none broken")
    for line in faults:
        out.print(f"[bold red]unsound:[/] {escape(line)}", soft_wrap=True)
    if not faults:
        out.print("[green]sound")


def print_failure(failed: JobFailed) -> None:
    """A run without a result, on standard error: its one line, and the traceback where there is one."""
    out = console(error=True)
    if failed.trace:
        out.print(failed.trace.rstrip(), markup=False, soft_wrap=True)
    out.print(f"flintridge: the run {failed.mode}: {failed.reason}", markup=False, soft_wrap=True)


def _change(figure: Difference) -> list[str]:
    colour = COLOURS[figure.verdict]
    return [
        figure.name,
        number(figure.a, figure.unit),
        number(figure.b, figure.unit),
        f"[{colour}]{figure.mean:+.4g}",
        f"{figure.low:+.4g} to {figure.high:+.4g}",
        f"[{colour}]{figure.verdict}",
        f"{figure.sign_p:.2f}",
    ]


def print_compare(comparison: Comparison) -> None:
    """Means, differences and rules of both sides, on standard output."""
    out = console()
    _title(out, f"A: {comparison.a}   B: {comparison.b}")
    out.print(f"{len(comparison.pairs)} of {len(comparison.seeds)} seeds on both sides")
    table = _grid("", "A", "B", "B - A", "95% of it", "B is", "sign p")
    for figure in comparison.metrics if comparison.pairs else ():
        table.add_row(*_change(figure))
    out.print(table)
    rules = _grid("rule", "A", "B", "")
    for rule in comparison.rules:
        if rule.a or rule.b:
            rules.add_row(
                rule.name, str(rule.a), str(rule.b), "[bold red]breaks in B alone" if rule.new else ""
            )
    if rules.row_count:
        out.print(rules)
    else:
        out.print("no rule broken on either side")
    _print_failures(out, comparison.failures)


def print_sweep(swept: Sweep) -> None:
    """A line a point."""
    out = console()
    shown = [f for f in METRICS if f.name != "p50"]
    names = [parameter.path for parameter in swept.parameters]
    _title(out, swept.scenario)
    table = _grid(*names, "seeds", *(f.name for f in shown), "broken")
    for point in swept.points:
        cells = [number(point.metrics[f.name].mean, f.unit) if point.metrics else "-" for f in shown]
        broken = " ".join(f"{name}:{count}" for name, count in point.violations.items())
        table.add_row(
            *map(escape, point.values), str(point.complete_runs), *cells, f"[bold red]{escape(broken)}"
        )
    out.print(table)
    failures = [f"{' '.join(point.values)}, {line}" for point in swept.points for line in point.failures]
    _print_failures(out, failures)


def print_search(found: Search, directory: str, most: int = 20) -> None:
    """The worst days first."""
    out = console()
    runs = ranked(found.runs)
    _title(out, "worst days")
    table = _grid("day", "goodput", "calm", "reference", "severity", "load", "behind", "requests", "what")
    for run in runs[:most]:
        values = (
            run.goodput,
            run.fault_free_goodput,
            run.reference,
            run.severity,
            run.load,
            run.unexplained_shortfall,
        )
        cells = [f"{value:.3f}" if value >= 0 else "-" for value in values]
        table.add_row(run.name, *cells, str(run.requests), _what(run))
    out.print(table)
    broken = sum(1 for run in found.runs if run.violation_count)
    failed = sum(1 for run in found.runs if run.failure)
    text = (
        f"{len(found.runs)} days: {broken} broke a rule, {failed} did not finish; {len(found.kept)} kept in "
    )
    out.print(f"{text}{directory}/kept", markup=False, soft_wrap=True)
    if found.stop_reason:
        out.print(f"not all were played: {found.stop_reason}", markup=False)


def _what(run: SearchRun) -> str:
    rules = [f"{name}:{count}" for name, count in {**run.fault_free_violations, **run.violations}.items()]
    if rules or run.failure:
        return f"[bold red]{escape(' '.join(rules) or run.failure[:60])}"
    return escape(", ".join(run.faults))


def print_shrunk(shrunk: Shrunk) -> None:
    """Before and after."""
    out = console()
    _title(out, f"{shrunk.fails}, seed {shrunk.seed}")
    table = _grid("", "before", "after")
    for name, value in shrunk.before.items():
        table.add_row(name, f"{value:g}", f"{shrunk.after[name]:g}")
    out.print(table)
    taken = sum(step.taken for step in shrunk.steps)
    out.print(f"{shrunk.runs} runs, {taken} steps taken; {shrunk.end_reason}")


def _print_failures(out: Console, failures: Sequence[str]) -> None:
    for line in failures:
        out.print(f"[bold red]no result:[/] {escape(line)}", soft_wrap=True)
