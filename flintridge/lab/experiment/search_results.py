"""What a search records of each run, and how its runs are ranked.

How far a run falls behind is the goodput that it lost without an explanation:

- the *fault-free goodput* is that of the same scenario and seed without its faults (a scenario without
  faults, and a run that went well, needs no second run);
- the *reference* is the fault-free goodput, or the fluid bound of `fluid.py` where that is higher, less 15
  parts in 100 as it knows neither queues nor deadlines: a node that jams without any fault must not be
  measured against itself;
- the *shortfall* is the reference less the goodput of the run, at least 0;
- the *unexplained shortfall* weighs its two components: what the run lost against the fault-free goodput
  counts times (1 - severity), where `fault_severity.py` estimates the fraction of the service that its faults
  take from any node (a fleet that lost half of its servers is asked for less); what the fault-free goodput
  itself lacks to the reference counts in full.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from flintridge.lab.experiment.fault_severity import severity
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

FLUID_BOUND_FRACTION = 0.85  # of the fluid bound, which knows neither queues nor deadlines
NOT_KNOWN = -1.0


class SearchRun(msgspec.Struct, kw_only=True):
    """One run of a search, a line of its summary.

    Attributes:
        number: Its number in the search, from 0.
        seed: The seed that it is played with.
        name: The scenario's name.
        goodput: The goodput with faults.
        fault_free_goodput: The goodput without them, -1 where that was not played.
        reference: The goodput that it is measured against.
        severity: The fraction of the service that its faults take from any node.
        load: The load on the bottleneck, 1 where that is fully used.
        shortfall: The reference less the goodput, at least 0.
        unexplained_shortfall: What of it the faults do not explain, -1 without a complete result.
        requests: First attempts of all requests.
        violations: Violations by broken rule.
        fault_free_violations: The same in the run without faults.
        faults: The tags of the scenario's faults.
        failure: Why there is no complete result, empty where there is one.
    """

    number: int
    seed: int
    name: str
    goodput: float = 0.0
    fault_free_goodput: float = msgspec.field(default=NOT_KNOWN, name="calm")
    reference: float = 0.0
    severity: float = 0.0
    load: float = 0.0
    shortfall: float = 0.0
    unexplained_shortfall: float = msgspec.field(default=NOT_KNOWN, name="behind")
    requests: int = 0
    violations: dict[str, int] = msgspec.field(default_factory=dict, name="rules")
    fault_free_violations: dict[str, int] = msgspec.field(default_factory=dict, name="calm_rules")
    faults: list[str] = []
    failure: str = msgspec.field(default="", name="failed")

    @property
    def violation_count(self) -> int:
        """Return the violations with and without faults together."""
        return sum(self.violations.values()) + sum(self.fault_free_violations.values())


class SearchResult(msgspec.Struct, kw_only=True):
    """The file of a run, `days/NNNNNN.json`.

    Attributes:
        run: The run's line of the summary.
        result: Its result, absent where the run failed.
    """

    run: SearchRun = msgspec.field(name="day")
    result: Result | None = None


class Search(msgspec.Struct, kw_only=True, tag_field="what", tag="search"):
    """The summary of a search, `search.json`.

    Attributes:
        seed: The seed that all scenarios are drawn from.
        space_version: The version of the space that they are drawn from.
        runs: The runs by number.
        kept: The names of the kept scenarios, worst first.
        minutes: Real time of the search, over all times it was continued.
        stop_reason: Why it ended before all runs were played, empty where it did not.
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
        number: The run's number in the search.
        seed: The seed that it was played with.
        scenario: Its scenario.
        result: Its result, absent where the run failed.
        fault_free: The result without faults, absent where that was not played.
        failure_reason: Why a result is absent, if it is.

    Returns:
        The run's line of the summary.
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
    by_faults = run.shortfall  # without a fault-free run all of it is put down to the faults
    if run.fault_free_goodput >= 0:
        by_faults = min(run.shortfall, max(0.0, run.fault_free_goodput - result.goodput))
    run.unexplained_shortfall = by_faults * (1 - run.severity) + (run.shortfall - by_faults)
    return run


def broken_rules(result: Result) -> dict[str, int]:
    """Return the violations of the rules that were broken, by name."""
    return {name: count for name, count in sorted(result.rules.items()) if count}


def ranked(runs: Iterable[SearchRun]) -> list[SearchRun]:
    """Return runs worst first: broken rules, failed runs, then by their unexplained shortfall."""

    def rank(run: SearchRun) -> tuple[bool, bool, float, int]:
        return (not run.violation_count, not run.failure, -run.unexplained_shortfall, run.number)

    return sorted(runs, key=rank)


def summary(found: Search) -> dict[str, Any]:
    """Return a search as plain values."""
    built: dict[str, Any] = msgspec.to_builtins(found)
    built["sound"] = found.sound
    return built
