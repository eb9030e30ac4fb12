"""Compares two variants (scenarios, settings or source trees) by paired runs with the same seeds."""

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
        label: The name that tables and reports print.
        scenario: The scenario.
        tree: The source tree whose node plays the scenario; the current tree if empty.
    """

    label: str
    scenario: Scenario
    tree: str = ""


class RuleCount(msgspec.Struct, kw_only=True, frozen=True):
    """The violations of one rule, summed over all seeds.

    Attributes:
        name: The rule's name.
        a: The number of violations in A.
        b: The number of violations in B.
    """

    name: str
    a: int
    b: int

    @property
    def new(self) -> bool:
        """Return whether the rule is broken in B but not in A."""
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
        seeds: The requested seeds.
        metrics: The difference of each metric between B and A, over all pairs.
        rules: The violations of each rule over all results.
        pairs: The metrics for each seed with which both runs completed.
        failures: One line for each run that did not complete.
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
        """Return whether every run completed and no rule is broken in B that is not broken in A."""
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
    """Play both variants with each seed. Both variants get the same requests and faults for a given seed.

    Args:
        a: The first variant.
        b: The second variant.
        seeds: The seeds; each variant is played once with each of them.
        backend: `virtual` or `loopback`.
        workers: The number of worker processes; one per core if absent.
        runner: The function that plays a scenario.
        show: Whether to show progress on a terminal.

    Returns:
        The paired differences of all metrics, and the violations of each rule.
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
    return _paired_comparison(a, b, seeds, backend, outcomes[: len(seeds)], outcomes[len(seeds) :])


def _paired_comparison(
    a: Variant,
    b: Variant,
    seeds: Sequence[int],
    backend: str,
    outcomes_a: Sequence[Outcome | None],
    outcomes_b: Sequence[Outcome | None],
) -> Comparison:
    """Pair the outcomes by seed. A pair is used only if both of its runs completed."""
    paired_seeds: list[int] = []
    results_a: list[Result] = []
    results_b: list[Result] = []
    failures = []
    for seed, outcome_a, outcome_b in zip(seeds, outcomes_a, outcomes_b, strict=True):
        completed_a = _complete_result(outcome_a)
        completed_b = _complete_result(outcome_b)
        if completed_a is None:
            failures.append(f"A ({a.label}), seed {seed}: {_failure_reason(outcome_a)}")
        if completed_b is None:
            failures.append(f"B ({b.label}), seed {seed}: {_failure_reason(outcome_b)}")
        if completed_a is not None and completed_b is not None:
            paired_seeds.append(seed)
            results_a.append(completed_a)
            results_b.append(completed_b)
    # Violations are counted over all results, because a run may break a rule before it is cut short.
    violations_a = rule_totals([result for result in outcomes_a if isinstance(result, Result)])
    violations_b = rule_totals([result for result in outcomes_b if isinstance(result, Result)])
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
    """Return why a run did not complete, or an empty string if it completed."""
    return "not played" if outcome is None else failure(outcome)


def _complete_result(outcome: Outcome | None) -> Result | None:
    """Return the result of a run, or None if the run did not complete."""
    if isinstance(outcome, Result) and not failure(outcome):
        return outcome
    return None


def metric_values(result: Result) -> dict[str, float]:
    """Return the values of all compared metrics of one result, by metric name."""
    return {metric.name: metric.of(result) for metric in METRICS}


def as_json(comparison: Comparison) -> dict[str, Any]:
    """Return the comparison as built-in types, with the computed verdicts included."""
    built: dict[str, Any] = msgspec.to_builtins(comparison)
    for plain, metric in zip(built["figures"], comparison.metrics, strict=True):
        plain["verdict"] = metric.verdict
    built["sound"] = comparison.sound
    return built
