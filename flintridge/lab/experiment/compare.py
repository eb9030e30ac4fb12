"""A against B, paired by seed: two scenarios, two settings, or two source trees."""

from collections.abc import Sequence
from typing import Any

import msgspec

from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import run_jobs
from flintridge.lab.experiment.stats import METRICS, Difference, difference, rule_totals
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario


class Variant(msgspec.Struct, kw_only=True, frozen=True):
    """One of the two variants that are compared.

    Attributes:
        label: As tables and reports print it.
        scenario: The scenario.
        tree: The source tree whose node plays it; this one where empty.
    """

    label: str
    scenario: Scenario
    tree: str = ""


class RuleCount(msgspec.Struct, kw_only=True, frozen=True):
    """Violations of a rule over all seeds.

    Attributes:
        name: The rule's name.
        a: Violations in A.
        b: Violations in B.
    """

    name: str
    a: int
    b: int

    @property
    def new(self) -> bool:
        """Return whether the rule is broken in B and holds in A."""
        return self.b > 0 and self.a == 0


class Pair(msgspec.Struct, kw_only=True, frozen=True):
    """The metrics of both variants under one seed.

    Attributes:
        seed: The seed of both runs.
        a: The metrics of A, by name.
        b: The metrics of B, by name.
    """

    seed: int
    a: dict[str, float]
    b: dict[str, float]


class Comparison(msgspec.Struct, kw_only=True, tag_field="what", tag="compare"):
    """The result of a comparison, as `--json` prints it.

    Attributes:
        a: The label of A.
        b: The label of B.
        backend: The backend of all runs.
        seeds: The seeds that were asked for.
        metrics: B against A, over the pairs.
        rules: Violations over all results.
        pairs: The seeds under which both runs completed.
        failures: A line for each run that did not complete.
    """

    a: str
    b: str
    backend: str
    seeds: list[int]
    metrics: list[Difference] = msgspec.field(name="figures")
    rules: list[RuleCount]
    pairs: list[Pair]
    failures: list[str] = []

    @property
    def sound(self) -> bool:
        """Return whether no rule that holds in A is broken in B, and every run completed."""
        return not self.failures and not any(rule.new for rule in self.rules)


def compare(
    a: Variant,
    b: Variant,
    seeds: Sequence[int],
    *,
    backend: str = "virtual",
    workers: int | None = None,
    runner: str | Runner = PLAY,
    show: bool = False,
) -> Comparison:
    """Play both variants under each seed; the requests and faults of a seed are the same for both.

    Args:
        a: The first variant.
        b: The second one.
        seeds: The seeds, each played once by either variant.
        backend: `virtual` or `loopback`.
        workers: Worker processes; one a core where absent.
        runner: The function that plays a scenario.
        show: Whether to show progress on a terminal.

    Returns:
        The paired differences, and the rules that were broken.
    """
    play = runner_name(runner)
    jobs = [
        Job(
            scenario=variant.scenario,
            seed=seed,
            label=variant.label,
            backend=backend,
            tree=variant.tree,
            runner=play,
        )
        for variant in (a, b)
        for seed in seeds
    ]
    outcomes = run_jobs(jobs, workers=workers, show=show, title="compare")
    return _compared(a, b, seeds, backend, outcomes[: len(seeds)], outcomes[len(seeds) :])


def _compared(
    a: Variant,
    b: Variant,
    seeds: Sequence[int],
    backend: str,
    of_a: Sequence[Outcome | None],
    of_b: Sequence[Outcome | None],
) -> Comparison:
    """Pair the outcomes by seed; a pair counts when both of its runs completed."""
    paired_seeds: list[int] = []
    results_a: list[Result] = []
    results_b: list[Result] = []
    failures = []
    for seed, outcome_a, outcome_b in zip(seeds, of_a, of_b, strict=True):
        complete_a = _complete_result(outcome_a)
        complete_b = _complete_result(outcome_b)
        if complete_a is None:
            failures.append(f"A ({a.label}), seed {seed}: {_failure_reason(outcome_a)}")
        if complete_b is None:
            failures.append(f"B ({b.label}), seed {seed}: {_failure_reason(outcome_b)}")
        if complete_a is not None and complete_b is not None:
            paired_seeds.append(seed)
            results_a.append(complete_a)
            results_b.append(complete_b)
    # Rules are counted over all results there are: a run that was cut short may have broken one before.
    violations_a = rule_totals([result for result in of_a if isinstance(result, Result)])
    violations_b = rule_totals([result for result in of_b if isinstance(result, Result)])
    names = sorted({*violations_a, *violations_b})
    return Comparison(
        a=a.label,
        b=b.label,
        backend=backend,
        seeds=list(seeds),
        metrics=[difference(metric, results_a, results_b) for metric in METRICS],
        rules=[
            RuleCount(name=name, a=violations_a.get(name, 0), b=violations_b.get(name, 0)) for name in names
        ],
        pairs=[
            Pair(seed=seed, a=metric_values(result_a), b=metric_values(result_b))
            for seed, result_a, result_b in zip(paired_seeds, results_a, results_b, strict=True)
        ],
        failures=failures,
    )


def _failure_reason(outcome: Outcome | None) -> str:
    """Return why a run did not complete, empty where it did."""
    return "not played" if outcome is None else failure(outcome)


def _complete_result(outcome: Outcome | None) -> Result | None:
    """Return the result of a run that completed."""
    if isinstance(outcome, Result) and not failure(outcome):
        return outcome
    return None


def metric_values(result: Result) -> dict[str, float]:
    """Return the compared metrics of one result, by name."""
    return {metric.name: metric.of(result) for metric in METRICS}


def as_json(comparison: Comparison) -> dict[str, Any]:
    """Return the comparison as plain values, with the verdicts written out."""
    built: dict[str, Any] = msgspec.to_builtins(comparison)
    for plain, metric in zip(built["figures"], comparison.metrics, strict=True):
        plain["verdict"] = metric.verdict
    built["sound"] = comparison.sound
    return built
