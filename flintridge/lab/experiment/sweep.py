"""Sweeps one or two parameters of a scenario over lists of values, with several seeds per combination."""

import csv
import io
import itertools
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import run_jobs
from flintridge.lab.experiment.stats import METRICS, bootstrap, mean, rule_totals
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

MAX_VALUES = 1000  # the limit for one parameter; a larger number is taken for a typing error
INTEGER_TOLERANCE = 1e-9


class SweepParameterError(ValueError):
    """The parameters of a sweep are invalid."""


class Parameter(msgspec.Struct, kw_only=True, frozen=True):
    """A scenario parameter that is varied.

    Attributes:
        path: The path of the parameter in the scenario format, such as `load.rate_per_s`.
        values: The values of the parameter, written as in TOML.
    """

    path: str
    values: tuple[str, ...]


class MetricSummary(msgspec.Struct, kw_only=True, frozen=True):
    """The summary of one metric over the seeds of a point.

    Attributes:
        mean: The mean over the seeds.
        low: The lower end of the bootstrap 95% interval of the mean.
        high: The upper end of the bootstrap 95% interval of the mean.
    """

    mean: float
    low: float
    high: float


class Point(msgspec.Struct, kw_only=True):
    """The summary of all runs of one combination of parameter values.

    Attributes:
        values: The value of each parameter.
        complete_runs: The number of seeds whose run completed.
        metrics: The summary of each metric over the completed runs, by name; empty if none completed.
        violations: The number of violations over all results, by name of the broken rule.
        failures: One line for each run that did not complete.
    """

    values: list[str]
    complete_runs: int = msgspec.field(name="seeds")
    metrics: dict[str, MetricSummary] = msgspec.field(default_factory=dict, name="figures")
    violations: dict[str, int] = msgspec.field(default_factory=dict, name="broken")
    failures: list[str] = []


class Sweep(msgspec.Struct, kw_only=True, tag_field="what", tag="sweep"):
    """The result of a sweep, as `--json` prints it.

    Attributes:
        scenario: The name of the scenario.
        backend: The backend of all runs.
        seeds: The seeds of each point.
        parameters: The varied parameters.
        points: The points of all combinations of values, with the last parameter varying fastest.
    """

    scenario: str
    backend: str
    seeds: list[int]
    parameters: list[Parameter]
    points: list[Point]

    @property
    def sound(self) -> bool:
        """Return whether no rule was broken and every run completed."""
        return not any(point.violations or point.failures for point in self.points)


def parameter(text: str) -> Parameter:
    """Parse `path=v1,v2,...`, `path=low:high:steps` or, for equal ratios, `path=low:high:steps:log`.

    `steps` is the number of values, including both ends. The values are written as integers if all of them
    are integers and both ends are written as such.

    Args:
        text: The parameter as written on the command line.

    Raises:
        SweepParameterError: The text cannot be parsed, or has too many, duplicate or empty values.
    """
    path, equals, values = text.partition("=")
    path = path.strip()
    if not equals or not path or not values.strip():
        raise SweepParameterError(f"{text!r}: expected PATH=V1,V2,... or PATH=LOW:HIGH:STEPS")
    listed = _range(text, values) if ":" in values and not set(values) & set('"[{,') else _split(values)
    if len(set(listed)) < len(listed):
        raise SweepParameterError(f"{text!r}: contains a value twice")
    if not listed or "" in listed:
        raise SweepParameterError(f"{text!r}: contains an empty value")
    return Parameter(path=path, values=tuple(listed))


def _range(text: str, values: str) -> list[str]:
    """Return the values of `low:high:steps` or `low:high:steps:log`; `text` is quoted in error messages."""
    low_text, *rest = (part.strip() for part in values.split(":"))
    log = len(rest) == 3 and rest[2] == "log"
    try:
        low = float(low_text)
        high = float(rest[0])
        steps = int(rest[1])
    except (ValueError, IndexError):
        raise SweepParameterError(
            f"{text!r}: a range must be LOW:HIGH:STEPS (three numbers) or LOW:HIGH:STEPS:log"
        ) from None
    if len(rest) > 2 and not log:
        raise SweepParameterError(f"{text!r}: only ':log' may follow LOW:HIGH:STEPS")
    if not 2 <= steps <= MAX_VALUES:
        raise SweepParameterError(f"{text!r}: the number of steps is {steps}, must be 2 to {MAX_VALUES}")
    if low == high or (log and min(low, high) <= 0) or not abs(high - low) < float("inf"):
        raise SweepParameterError(f"{text!r}: the ends must be different finite numbers (above 0 for log)")
    if log:
        numbers = [low * (high / low) ** (i / (steps - 1)) for i in range(steps)]
    else:
        numbers = [low + (high - low) * i / (steps - 1) for i in range(steps)]
    numbers[-1] = high
    ends = low_text + rest[0]
    ends_are_integers = "." not in ends and "e" not in ends.lower()
    if ends_are_integers and all(abs(value - round(value)) < INTEGER_TOLERANCE for value in numbers):
        return [str(round(value)) for value in numbers]
    texts = [f"{value:.12g}" for value in numbers]
    return [text if set(text) & set(".e") else f"{text}.0" for text in texts]


def _split(values: str) -> list[str]:
    """Split at commas that are not within brackets, braces or quotes."""
    items = [""]
    depth = 0
    quote = ""
    for character in values:
        if quote:
            if character == quote:
                quote = ""
        elif character in "\"'":
            quote = character
        elif character == "," and depth == 0:
            items.append("")
            continue
        elif character in "[{":
            depth += 1
        elif character in "]}":
            depth -= 1
        items[-1] += character
    return [item.strip() for item in items]


def sweep(
    name: str,
    parameters: Sequence[Parameter],
    build: Callable[[list[str]], Scenario],
    seeds: Sequence[int],
    *,
    backend: str = "virtual",
    workers: int | None = None,
    runner: str | Runner = PLAY,
    show: bool = False,
) -> Sweep:
    """Play every combination of values with every seed.

    All scenarios are built before the first run, so that an invalid value is reported immediately.

    Args:
        name: The name of the scenario.
        parameters: One or two parameters.
        build: Returns the scenario of a combination, given the overrides (`path=value`); its exceptions are
            passed on.
        seeds: The seeds of each combination.
        backend: `virtual` or `loopback`.
        workers: The number of worker processes; one per core if absent.
        runner: The function that plays a scenario.
        show: Whether to show progress on a terminal.

    Raises:
        SweepParameterError: There are no parameters, more than two, or two with the same path.
    """
    if not 1 <= len(parameters) <= 2 or len({p.path for p in parameters}) < len(parameters):
        raise SweepParameterError("a sweep needs one or two different parameters")
    play = runner_name(runner)
    combinations = list(itertools.product(*(p.values for p in parameters)))
    scenarios = [
        build([f"{p.path}={value}" for p, value in zip(parameters, values, strict=True)])
        for values in combinations
    ]
    jobs = [
        Job(scenario=scenario, seed=seed, label=" ".join(values), backend=backend, runner=play)
        for scenario, values in zip(scenarios, combinations, strict=True)
        for seed in seeds
    ]
    outcomes = run_jobs(jobs, workers=workers, show=show, title="sweep")
    return Sweep(
        scenario=name,
        backend=backend,
        seeds=list(seeds),
        parameters=list(parameters),
        points=[
            _point(values, seeds, batch)
            for values, batch in zip(combinations, _batches(outcomes, len(seeds)), strict=True)
        ],
    )


def _batches(outcomes: Sequence[Outcome | None], size: int) -> list[Sequence[Outcome | None]]:
    """Split outcomes into consecutive batches of `size`."""
    return [outcomes[start : start + size] for start in range(0, len(outcomes), size)]


def _point(values: Sequence[str], seeds: Sequence[int], outcomes: Sequence[Outcome | None]) -> Point:
    """Summarize the outcomes of one combination, one for each seed."""
    complete = []
    failures = []
    for seed, outcome in zip(seeds, outcomes, strict=True):
        reason = "not played" if outcome is None else failure(outcome)
        if reason:
            failures.append(f"seed {seed}: {reason}")
        elif isinstance(outcome, Result):
            complete.append(outcome)
    totals = rule_totals([outcome for outcome in outcomes if isinstance(outcome, Result)])
    metrics = {}
    if complete:
        metrics = {metric.name: _summary([metric.of(result) for result in complete]) for metric in METRICS}
    return Point(
        values=list(values),
        complete_runs=len(complete),
        metrics=metrics,
        violations={name: count for name, count in totals.items() if count},
        failures=failures,
    )


def _summary(values: Sequence[float]) -> MetricSummary:
    """Return the mean of a metric and its bootstrap interval."""
    interval = bootstrap(values)
    return MetricSummary(mean=mean(values), low=interval.low, high=interval.high)


def as_json(swept: Sweep) -> dict[str, Any]:
    """Return the sweep as built-in types."""
    built: dict[str, Any] = msgspec.to_builtins(swept)
    return built


def as_csv(swept: Sweep) -> str:
    """Return a CSV row for each point.

    It holds the parameter values, the number of completed runs, the mean and interval of each metric, the
    violations and the failures.
    """
    file = io.StringIO()
    writer = csv.writer(file, lineterminator="\n")
    names = [metric.name for metric in METRICS]
    columns = [f"{name}{end}" for name in names for end in ("", "_low", "_high")]
    writer.writerow([*(p.path for p in swept.parameters), "seeds", *columns, "broken", "failures"])
    for point in swept.points:
        cells: list[float | str] = []
        for name in names:
            summary = point.metrics.get(name)
            cells += ["", "", ""] if summary is None else [summary.mean, summary.low, summary.high]
        broken = " ".join(f"{name}:{count}" for name, count in point.violations.items())
        writer.writerow([*point.values, point.complete_runs, *cells, broken, "; ".join(point.failures)])
    return file.getvalue()
