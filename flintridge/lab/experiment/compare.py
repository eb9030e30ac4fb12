"""A against B, paired by seed: two scenarios, two settings, or two source trees."""

from collections.abc import Sequence
from typing import Any

import msgspec

from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import run_jobs
from flintridge.lab.experiment.stats import FIGURES, Difference, difference, rule_totals
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario


class Side(msgspec.Struct, kw_only=True, frozen=True):
    """One of the two: a scenario, and the source tree whose node plays it (ours where empty)."""

    label: str
    scenario: Scenario
    tree: str = ""


class RuleCount(msgspec.Struct, kw_only=True, frozen=True):
    """Breaches of a rule over all seeds."""

    name: str
    a: int
    b: int

    @property
    def new(self) -> bool:
        """It breaks in B and holds in A."""
        return self.b > 0 and self.a == 0


class Pair(msgspec.Struct, kw_only=True, frozen=True):
    """The figures of both sides under one seed, by name."""

    seed: int
    a: dict[str, float]
    b: dict[str, float]


class Comparison(msgspec.Struct, kw_only=True, tag_field="what", tag="compare"):
    """What came of it; pairs without two whole results are in `failures` alone."""

    a: str
    b: str
    backend: str
    seeds: list[int]
    figures: list[Difference]
    rules: list[RuleCount]
    pairs: list[Pair]
    failures: list[str] = []

    @property
    def sound(self) -> bool:
        """No rule breaks in B that holds in A, and every run ended."""
        return not self.failures and not any(rule.new for rule in self.rules)


def compare(
    a: Side,
    b: Side,
    seeds: Sequence[int],
    *,
    backend: str = "virtual",
    workers: int | None = None,
    runner: str | Runner = PLAY,
    show: bool = False,
) -> Comparison:
    """Play both under each seed; the requests and faults of a seed are the same for both sides."""
    play = runner_name(runner)
    jobs = [
        Job(
            scenario=side.scenario,
            seed=seed,
            label=side.label,
            backend=backend,
            tree=side.tree,
            runner=play,
        )
        for side in (a, b)
        for seed in seeds
    ]
    outcomes = run_jobs(jobs, workers=workers, show=show, title="compare")
    return _compared(a, b, seeds, backend, outcomes[: len(seeds)], outcomes[len(seeds) :])


def _compared(
    a: Side,
    b: Side,
    seeds: Sequence[int],
    backend: str,
    of_a: Sequence[Outcome | None],
    of_b: Sequence[Outcome | None],
) -> Comparison:
    pairs: list[tuple[int, Result, Result]] = []
    failures = []
    for seed, left, right in zip(seeds, of_a, of_b, strict=True):
        for name, side, outcome in (("A", a, left), ("B", b, right)):
            why = "not played" if outcome is None else failure(outcome)
            if why:
                failures.append(f"{name} ({side.label}), seed {seed}: {why}")
        if isinstance(left, Result) and isinstance(right, Result) and not (failure(left) or failure(right)):
            pairs.append((seed, left, right))
    lefts, rights = [left for _, left, _ in pairs], [right for _, _, right in pairs]
    # Rules are counted over all results there are: a run that was cut short may have broken one before.
    broken_a = rule_totals([r for r in of_a if isinstance(r, Result)])
    broken_b = rule_totals([r for r in of_b if isinstance(r, Result)])
    names = sorted({*broken_a, *broken_b})
    return Comparison(
        a=a.label,
        b=b.label,
        backend=backend,
        seeds=list(seeds),
        figures=[difference(figure, lefts, rights) for figure in FIGURES],
        rules=[RuleCount(name=n, a=broken_a.get(n, 0), b=broken_b.get(n, 0)) for n in names],
        pairs=[Pair(seed=seed, a=figures(x), b=figures(y)) for seed, x, y in pairs],
        failures=failures,
    )


def figures(result: Result) -> dict[str, float]:
    """The compared figures of one result, by name."""
    return {figure.name: figure.of(result) for figure in FIGURES}


def as_json(comparison: Comparison) -> dict[str, Any]:
    """Plain values, with the verdicts written out."""
    built: dict[str, Any] = msgspec.to_builtins(comparison)
    for plain, one in zip(built["figures"], comparison.figures, strict=True):
        plain["verdict"] = one.verdict
    built["sound"] = comparison.sound
    return built
