"""One or two parameters of a scenario over a range of values, some seeds each."""

import csv
import io
import itertools
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import run_jobs
from flintridge.lab.experiment.stats import FIGURES, bootstrap, mean, rule_totals
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

MOST_VALUES = 1000  # of a parameter: more is a slip of the keyboard


class BadSweep(ValueError):
    """A parameter that cannot be read."""


class Parameter(msgspec.Struct, kw_only=True, frozen=True):
    """A path of the scenario, and its values as written in TOML."""

    path: str
    values: tuple[str, ...]


class Spread(msgspec.Struct, kw_only=True, frozen=True):
    """A figure over the seeds of a point: its mean and a bootstrap 95% interval of it."""

    mean: float
    low: float
    high: float


class Point(msgspec.Struct, kw_only=True):
    """The seeds of one combination of values."""

    values: list[str]
    seeds: int  # with a whole result
    figures: dict[str, Spread] = {}
    broken: dict[str, int] = {}
    failures: list[str] = []


class Sweep(msgspec.Struct, kw_only=True, tag_field="what", tag="sweep"):
    """All points, the last parameter running fastest."""

    scenario: str
    backend: str
    seeds: list[int]
    parameters: list[Parameter]
    points: list[Point]

    @property
    def sound(self) -> bool:
        return not any(point.broken or point.failures for point in self.points)


def parameter(text: str) -> Parameter:
    """`path=v1,v2,...` or `path=low:high:steps`, with `:log` behind it for equal ratios.

    Raises BadSweep. Steps are values, both ends included; whole numbers stay whole where all of them are.
    """
    path, equals, values = text.partition("=")
    path = path.strip()
    if not equals or not path or not values.strip():
        raise BadSweep(f"{text!r}: wants PATH=V1,V2,... or PATH=LOW:HIGH:STEPS")
    listed = _range(text, values) if ":" in values and not set(values) & set('"[{,') else _split(values)
    if len(set(listed)) < len(listed):
        raise BadSweep(f"{text!r}: names a value twice")
    if not listed or "" in listed:
        raise BadSweep(f"{text!r}: has an empty value")
    return Parameter(path=path, values=tuple(listed))


def _range(text: str, values: str) -> list[str]:
    low_text, *rest = (part.strip() for part in values.split(":"))
    log = len(rest) == 3 and rest[2] == "log"
    try:
        low, high, steps = float(low_text), float(rest[0]), int(rest[1])
    except (ValueError, IndexError):
        raise BadSweep(f"{text!r}: a range is LOW:HIGH:STEPS, three numbers, or LOW:HIGH:STEPS:log") from None
    if len(rest) > 2 and not log:
        raise BadSweep(f"{text!r}: only ':log' may follow LOW:HIGH:STEPS")
    if not 2 <= steps <= MOST_VALUES:
        raise BadSweep(f"{text!r}: {steps} steps, may be 2 to {MOST_VALUES}")
    if low == high or (log and min(low, high) <= 0) or not abs(high - low) < float("inf"):
        raise BadSweep(f"{text!r}: the ends must be two numbers (above 0 for log)")
    if log:
        found = [low * (high / low) ** (i / (steps - 1)) for i in range(steps)]
    else:
        found = [low + (high - low) * i / (steps - 1) for i in range(steps)]
    found[-1] = high
    written = "." not in low_text + rest[0] and "e" not in (low_text + rest[0]).lower()
    if written and all(abs(value - round(value)) < 1e-9 for value in found):
        return [str(round(value)) for value in found]
    texts = [f"{value:.12g}" for value in found]
    return [text if set(text) & set(".e") else f"{text}.0" for text in texts]


def _split(values: str) -> list[str]:
    """At commas outside of brackets, braces and quotes."""
    found, depth, quote = [""], 0, ""
    for letter in values:
        if quote:
            quote = "" if letter == quote else quote
        elif letter in "\"'":
            quote = letter
        elif letter == "," and depth == 0:
            found.append("")
            continue
        else:
            depth += (letter in "[{") - (letter in "]}")
        found[-1] += letter
    return [value.strip() for value in found]


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
    """Play every combination under every seed.

    `build` makes the scenario of a combination from its overrides (`path=value`); all are made before the
    first run, so that a wrong value is told at once, by whatever `build` raises.
    """
    if not 1 <= len(parameters) <= 2 or len({p.path for p in parameters}) < len(parameters):
        raise BadSweep("a sweep is over one or two different parameters")
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
            _point(values, seeds, found)
            for values, found in zip(combinations, _batches(outcomes, len(seeds)), strict=True)
        ],
    )


def _batches(outcomes: Sequence[Outcome | None], size: int) -> list[Sequence[Outcome | None]]:
    return [outcomes[at : at + size] for at in range(0, len(outcomes), size)]


def _point(values: Sequence[str], seeds: Sequence[int], outcomes: Sequence[Outcome | None]) -> Point:
    whole, failures = [], []
    for seed, outcome in zip(seeds, outcomes, strict=True):
        why = "not played" if outcome is None else failure(outcome)
        if why:
            failures.append(f"seed {seed}: {why}")
        elif isinstance(outcome, Result):
            whole.append(outcome)
    totals = rule_totals([outcome for outcome in outcomes if isinstance(outcome, Result)])
    return Point(
        values=list(values),
        seeds=len(whole),
        figures={f.name: _spread([f.of(r) for r in whole]) for f in FIGURES} if whole else {},
        broken={name: count for name, count in totals.items() if count},
        failures=failures,
    )


def _spread(values: Sequence[float]) -> Spread:
    low, high = bootstrap(values)
    return Spread(mean=mean(values), low=low, high=high)


def as_json(swept: Sweep) -> dict[str, Any]:
    """Plain values."""
    built: dict[str, Any] = msgspec.to_builtins(swept)
    return built


def as_csv(swept: Sweep) -> str:
    """A line a point: its values, seeds, the mean and interval of each figure, breaches."""
    file = io.StringIO()
    writer = csv.writer(file, lineterminator="\n")
    names = [figure.name for figure in FIGURES]
    columns = [f"{name}{end}" for name in names for end in ("", "_low", "_high")]
    writer.writerow([*(p.path for p in swept.parameters), "seeds", *columns, "broken", "failures"])
    for point in swept.points:
        cells: list[float | str] = []
        for name in names:
            spread = point.figures.get(name)
            cells += ["", "", ""] if spread is None else [spread.mean, spread.low, spread.high]
        broken = " ".join(f"{name}:{count}" for name, count in point.broken.items())
        writer.writerow([*point.values, point.seeds, *cells, broken, "; ".join(point.failures)])
    return file.getvalue()
