"""Prints the results of runs and experiments as tables in the terminal."""

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

FILE_WIDTH_COLUMNS = 140
COLOURS = {"better": "green", "worse": "red", "even": "dim", "unsure": "yellow"}


def console(*, error: bool = False) -> Console:
    """Return a console for tables, which is wide enough for them if the output is a file or a pipe.

    Args:
        error: Whether to print on standard error.
    """
    terminal = Console(stderr=error, highlight=False)
    return (
        terminal if terminal.is_terminal else Console(stderr=error, highlight=False, width=FILE_WIDTH_COLUMNS)
    )


def number(value: float, unit: str = "") -> str:
    """Format a value: milliseconds to a tenth, fractions to four places, large ones with separators.

    Args:
        value: The value.
        unit: `ms`, or empty for a number without a unit.
    """
    if unit == "ms":
        return f"{value:.1f} ms" if abs(value) < 1000 else f"{value:,.0f} ms"
    return f"{value:.4f}" if abs(value) < 100 else f"{value:,.1f}"


def _grid(*columns: str) -> Table:
    """Return an empty table with the first column aligned to the left and the others to the right."""
    table = Table(header_style="bold")
    for i, column in enumerate(columns):
        table.add_column(column, justify="left" if i == 0 else "right")
    return table


def _title(out: Console, text: str) -> None:
    """Print a heading."""
    out.print(f"[bold]{escape(text)}", soft_wrap=True)


def run_table(result: Result) -> Table:
    """Return a table of the metrics of one run."""
    table = _grid("", "")
    table.show_header = False
    late = result.served - result.served_within_objective
    latency = result.latency_ms
    rows = [
        ("goodput", number(result.goodput)),
        ("goal", number(result.goal)),
        ("worst window", number(result.min_window_goodput)),
        ("requests", f"{result.requests:,}"),
        ("served within objective + late", f"{result.served_within_objective:,} + {late:,}"),
        ("refused / failed", f"{result.rejected:,} / {result.failed:,}"),
        (
            "latency p50 / p99 / p999",
            " / ".join(number(v, "ms") for v in (latency.p50, latency.p99, latency.p999)),
        ),
        (
            "attempts per request (origin)",
            f"{result.attempts_per_request:.3f} ({result.origin_per_request:.3f})",
        ),
        ("hit fraction of cache servers", number(result.hit_fraction)),
        ("wall / lab / nodes", f"{result.wall_s:.1f} / {result.lab_cpu_s:.1f} / {result.node_cpu_s:.1f} s"),
        ("digest", result.digest[:32]),
    ]
    for name, value in rows:
        table.add_row(name, value)
    if result.end_reason != "whole":
        table.add_row("[bold red]cut short", f"[bold red]{escape(result.end_reason)}")
    for problem in result.lab_problems:  # problems of the lab itself, which occur in real time
        table.add_row("[yellow]lab problem", f"[yellow]{escape(problem)}")
    return table


def rules_table(rules: dict[str, int], expected: Iterable[str] = ()) -> Table:
    """Return a table of the violations of each rule; expected violations are marked."""
    known = tuple(expected)
    table = _grid("rule", "breaches")
    for name, count in sorted(rules.items()):
        style = "dim"
        text = str(count)
        if count and name in known:
            style = "yellow"
            text = f"{count} (expected)"
        elif count:
            style = "bold red"
        table.add_row(f"[{style}]{escape(name)}", f"[{style}]{text}")
    return table


def violation_lines(violations: Sequence[Violation], maximum: int = 8) -> list[str]:
    """Return a line for each of the first `maximum` violations: its time, its rule and its text."""
    lines = [
        f"{violation.at_ms / 1000:9.3f} s  {violation.rule}: {violation.text}"
        for violation in violations[:maximum]
    ]
    if len(violations) > maximum:
        lines.append(f"... and {len(violations) - maximum} more")
    return lines


def print_run(result: Result, unsound: Sequence[str], expected: Iterable[str] = ()) -> None:
    """Print a run on standard output.

    Args:
        result: The result of the run.
        unsound: The reasons why the run is not sound, one line for each.
        expected: The rules that the scenario expects to be broken.
    """
    out = console()
    _title(out, f"{result.scenario}, seed {result.seed}, {result.backend}")
    out.print(run_table(result))
    broken = {name: count for name, count in result.rules.items() if count}
    if broken:
        out.print(rules_table(broken, expected))
        for line in violation_lines(result.violations):
            out.print(f"  {line}", markup=False, soft_wrap=True)
    else:
        out.print(f"{len(result.rules)} rules, none broken")
    for line in unsound:
        out.print(f"[bold red]unsound:[/] {escape(line)}", soft_wrap=True)
    if not unsound:
        out.print("[green]sound")


def print_failure(failed: JobFailed) -> None:
    """Print the traceback, if there is one, and the reason of a failed run on standard error."""
    out = console(error=True)
    if failed.trace:
        out.print(failed.trace.rstrip(), markup=False, soft_wrap=True)
    out.print(f"flintridge: the run {failed.mode}: {failed.reason}", markup=False, soft_wrap=True)


def _difference_cells(difference: Difference) -> list[str]:
    """Return the cells of the row of one metric."""
    colour = COLOURS[difference.verdict]
    return [
        difference.name,
        number(difference.a, difference.unit),
        number(difference.b, difference.unit),
        f"[{colour}]{difference.mean:+.4g}",
        f"{difference.low:+.4g} to {difference.high:+.4g}",
        f"[{colour}]{difference.verdict}",
        f"{difference.sign_p:.2f}",
    ]


def print_compare(comparison: Comparison) -> None:
    """Print the means, differences and violations of both variants on standard output."""
    out = console()
    _title(out, f"A: {comparison.a}   B: {comparison.b}")
    out.print(f"both runs completed with {len(comparison.pairs)} of {len(comparison.seeds)} seeds")
    table = _grid("", "A", "B", "B - A", "95% interval", "B is", "sign p")
    for difference in comparison.metrics if comparison.pairs else ():
        table.add_row(*_difference_cells(difference))
    out.print(table)
    rules = _grid("rule", "A", "B", "")
    for rule in comparison.rules:
        if rule.a or rule.b:
            rules.add_row(
                rule.name, str(rule.a), str(rule.b), "[bold red]broken only in B" if rule.new else ""
            )
    if rules.row_count:
        out.print(rules)
    else:
        out.print("no rule broken in A or B")
    _print_failures(out, comparison.failures)


def print_sweep(swept: Sweep) -> None:
    """Print a table of all points on standard output."""
    out = console()
    shown = [metric for metric in METRICS if metric.name != "p50"]
    names = [parameter.path for parameter in swept.parameters]
    _title(out, swept.scenario)
    table = _grid(*names, "seeds", *(metric.name for metric in shown), "broken")
    for point in swept.points:
        cells = [
            number(point.metrics[metric.name].mean, metric.unit) if point.metrics else "-" for metric in shown
        ]
        broken = " ".join(f"{name}:{count}" for name, count in point.violations.items())
        table.add_row(
            *map(escape, point.values), str(point.complete_runs), *cells, f"[bold red]{escape(broken)}"
        )
    out.print(table)
    failures = [f"{' '.join(point.values)}, {line}" for point in swept.points for line in point.failures]
    _print_failures(out, failures)


def print_search(found: Search, directory: str, maximum: int = 20) -> None:
    """Print the runs of a search on standard output, the worst first.

    Args:
        found: The search.
        directory: The directory of the search.
        maximum: The maximum number of runs to print.
    """
    out = console()
    runs = ranked(found.runs)
    _title(out, "worst runs")
    table = _grid("day", "goodput", "calm", "reference", "severity", "load", "behind", "requests", "what")
    for run in runs[:maximum]:
        values = (
            run.goodput,
            run.fault_free_goodput,
            run.reference,
            run.severity,
            run.load,
            run.unexplained_shortfall,
        )
        cells = [f"{value:.3f}" if value >= 0 else "-" for value in values]
        table.add_row(run.name, *cells, str(run.requests), _run_note(run))
    out.print(table)
    broken = sum(1 for run in found.runs if run.violation_count)
    failed = sum(1 for run in found.runs if run.failure)
    text = f"{len(found.runs)} runs: {broken} broke a rule, {failed} failed; {len(found.kept)} kept in "
    out.print(f"{text}{directory}/kept", markup=False, soft_wrap=True)
    if found.stop_reason:
        out.print(f"the search ended before all runs were played: {found.stop_reason}", markup=False)


def _run_note(run: SearchRun) -> str:
    """Return the note for a run: its broken rules, else its failure, else its faults."""
    rules = [f"{name}:{count}" for name, count in {**run.fault_free_violations, **run.violations}.items()]
    if rules or run.failure:
        return f"[bold red]{escape(' '.join(rules) or run.failure[:60])}"
    return escape(", ".join(run.faults))


def print_shrunk(shrunk: Shrunk) -> None:
    """Print the sizes of a scenario before and after shrinking on standard output."""
    out = console()
    _title(out, f"{shrunk.fails}, seed {shrunk.seed}")
    table = _grid("", "before", "after")
    for name, value in shrunk.before.items():
        table.add_row(name, f"{value:g}", f"{shrunk.after[name]:g}")
    out.print(table)
    taken = sum(step.taken for step in shrunk.steps)
    out.print(f"{shrunk.runs} runs, {taken} steps taken; {shrunk.end_reason}")


def _print_failures(out: Console, failures: Sequence[str]) -> None:
    """Print a line for each run without a result."""
    for line in failures:
        out.print(f"[bold red]no result:[/] {escape(line)}", soft_wrap=True)
