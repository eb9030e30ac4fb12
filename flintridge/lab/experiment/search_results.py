"""The records of a search, and the ranking of its runs.

Runs are ranked by their unexplained shortfall, the loss of goodput that their faults do not explain:

- The *fault-free goodput* is the goodput of the same scenario and seed without faults. A scenario without
  faults and a run with a good goodput need no second run.
- The *reference* is the higher one of the fault-free goodput and 85% of the bound from `fluid.py`. The bound
  is reduced by 15% because the fluid model has neither queues nor deadlines. It is used because a node that
  becomes overloaded without any fault must not be compared only with itself.
- The *shortfall* is the reference minus the goodput of the run, at least 0.
- The *unexplained shortfall* is the sum of two parts. The loss against the fault-free goodput is multiplied
  by (1 - severity): `fault_severity.py` estimates the fraction of requests that any node loses to the faults,
  so less is expected of a fleet that lost half of its servers. The difference between the reference and the
  fault-free goodput counts in full.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from flintridge.lab.experiment.fault_severity import severity
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

FLUID_BOUND_FRACTION = 0.85  # below 1 because the fluid model has neither queues nor deadlines
NOT_AVAILABLE = -1.0


class SearchRun(msgspec.Struct, kw_only=True):
    """One run of a search, an entry of the summary.

    Attributes:
        number: The number of the run in the search, from 0.
        seed: The seed that the scenario is played with.
        name: The name of the scenario.
        goodput: The goodput with faults.
        fault_free_goodput: The goodput without faults; -1 if no fault-free run was played.
        reference: The goodput that the run is compared with.
        severity: The estimated fraction of requests that any node loses to the faults.
        load: The load on the bottleneck; 1 means fully used.
        shortfall: The reference minus the goodput, at least 0.
        unexplained_shortfall: The part of the shortfall that the faults do not explain; -1 without a
            complete result.
        requests: The number of first attempts of all requests.
        violations: The number of violations by name of the broken rule.
        fault_free_violations: The number of violations in the fault-free run, by name of the broken rule.
        faults: The tags of the scenario's faults.
        failure: Why there is no complete result; empty if there is one.
    """

    number: int
    seed: int
    name: str
    goodput: float = 0.0
    fault_free_goodput: float = msgspec.field(default=NOT_AVAILABLE, name="calm")
    reference: float = 0.0
    severity: float = 0.0
    load: float = 0.0
    shortfall: float = 0.0
    unexplained_shortfall: float = msgspec.field(default=NOT_AVAILABLE, name="behind")
    requests: int = 0
    violations: dict[str, int] = msgspec.field(default_factory=dict, name="rules")
    fault_free_violations: dict[str, int] = msgspec.field(default_factory=dict, name="calm_rules")
    faults: list[str] = []
    failure: str = msgspec.field(default="", name="failed")

    @property
    def violation_count(self) -> int:
        """Return the number of violations in the runs with and without faults together."""
        return sum(self.violations.values()) + sum(self.fault_free_violations.values())


class SearchResult(msgspec.Struct, kw_only=True):
    """The file of a run, `days/NNNNNN.json`.

    Attributes:
        run: The summary entry of the run.
        result: The result; absent if the run failed.
    """

    run: SearchRun = msgspec.field(name="day")
    result: Result | None = None


class Search(msgspec.Struct, kw_only=True, tag_field="what", tag="search"):
    """The summary of a search, `search.json`.

    Attributes:
        seed: The seed from which all scenarios are drawn.
        space_version: The version of the scenario space from which they are drawn.
        runs: The runs in the order of their numbers.
        kept: The names of the kept scenarios, worst first.
        minutes: The duration of the search in minutes of real time, including all continuations.
        stop_reason: Why the search ended before all runs were played; empty if all were played.
    """

    seed: int
    space_version: int = msgspec.field(name="space")
    runs: list[SearchRun] = msgspec.field(default_factory=list, name="days")
    kept: list[str] = []
    minutes: float = 0.0
    stop_reason: str = msgspec.field(default="", name="stopped")

    @property
    def sound(self) -> bool:
        """Return whether no rule was broken and every run completed."""
        return not any(run.violation_count or run.failure for run in self.runs)


def evaluate_run(
    number: int,
    seed: int,
    scenario: Scenario,
    result: Result | None,
    fault_free: Result | None,
    failure_reason: str = "",
) -> SearchRun:
    """Evaluate a run against its reference.

    Args:
        number: The number of the run in the search.
        seed: The seed that the scenario was played with.
        scenario: The scenario of the run.
        result: The result; absent if the run failed.
        fault_free: The result without faults; absent if no fault-free run was played.
        failure_reason: Why the result, or the fault-free result, is absent; empty if neither run failed.

    Returns:
        The summary entry of the run.
    """
    flow = flows(scenario)
    run = SearchRun(
        number=number,
        seed=seed,
        name=scenario.name,
        severity=severity(scenario),
        load=flow.load,
        faults=[fault.__struct_config__.tag or "" for fault in scenario.faults],  # type: ignore[misc]
        failure=failure_reason,
    )
    if result is None:
        return run
    run.goodput = result.goodput
    run.requests = result.requests
    run.violations = broken_rules(result)
    run.fault_free_violations = {} if fault_free is None else broken_rules(fault_free)
    if result.end_reason != "whole":
        run.failure = f"cut short: {result.end_reason}"
        return run
    if not scenario.faults:
        run.fault_free_goodput = result.goodput
    elif fault_free is not None and fault_free.end_reason == "whole":
        run.fault_free_goodput = fault_free.goodput
    run.reference = max(run.fault_free_goodput, FLUID_BOUND_FRACTION * flow.bound)
    run.shortfall = max(0.0, run.reference - result.goodput)
    loss_to_faults = (
        run.shortfall
    )  # without a fault-free run, the whole shortfall is attributed to the faults
    if run.fault_free_goodput >= 0:
        loss_to_faults = min(run.shortfall, max(0.0, run.fault_free_goodput - result.goodput))
    run.unexplained_shortfall = loss_to_faults * (1 - run.severity) + (run.shortfall - loss_to_faults)
    return run


def broken_rules(result: Result) -> dict[str, int]:
    """Return the number of violations of each broken rule, by name."""
    return {name: count for name, count in sorted(result.rules.items()) if count}


def ranked(runs: Iterable[SearchRun]) -> list[SearchRun]:
    """Sort runs, worst first: broken rules, then failed runs, then by unexplained shortfall."""

    def rank(run: SearchRun) -> tuple[bool, bool, float, int]:
        return (not run.violation_count, not run.failure, -run.unexplained_shortfall, run.number)

    return sorted(runs, key=rank)


def summary(found: Search) -> dict[str, Any]:
    """Return a search as built-in types, with the computed verdict included."""
    built: dict[str, Any] = msgspec.to_builtins(found)
    built["sound"] = found.sound
    return built
