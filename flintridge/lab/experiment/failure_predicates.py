"""Predicates that describe how a run fails. A shrunk scenario must satisfy the same predicate."""

import msgspec

from flintridge.lab.experiment.jobs import Outcome, failure
from flintridge.lab.result import Result
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

MAX_NAME_PREFIX_CHARACTERS = 57  # leaves room for the suffix within the length limit of scenario names


class ScenarioDoesNotFailError(ValueError):
    """The scenario does not satisfy the requested failure predicate."""


class Breaks(msgspec.Struct, frozen=True, tag="breaks"):
    """The run breaks a rule.

    Attributes:
        rule: The rule's name.
    """

    rule: str

    def __call__(self, outcome: Outcome) -> bool:
        """Return whether the run broke the rule."""
        return isinstance(outcome, Result) and outcome.rules.get(self.rule, 0) > 0

    def __str__(self) -> str:
        """Return the predicate as messages and scenario descriptions print it."""
        return f"rule {self.rule} broken"


class GoodputBelow(msgspec.Struct, frozen=True, tag="under"):
    """The run plays to its end and its goodput is below `goodput`.

    A smaller fleet under the same load would fall below the bound without any fault. A candidate must
    therefore be comparable with the given scenario: neither its load (`fluid.py`) nor the severity of its
    faults (`fault_severity.py`) may be higher.

    Attributes:
        goodput: The upper bound, a fraction from 0 to 1.
    """

    goodput: float

    def __call__(self, outcome: Outcome) -> bool:
        """Return whether the run played to its end with a goodput below the bound."""
        return (
            isinstance(outcome, Result) and outcome.end_reason == "whole" and outcome.goodput < self.goodput
        )

    def __str__(self) -> str:
        """Return the predicate as messages and scenario descriptions print it."""
        return f"goodput under {self.goodput:g}"


class DidNotComplete(msgspec.Struct, frozen=True, tag="unfinished"):
    """The run does not complete: it raises an exception, its process ends, it hangs, or it is cut short."""

    def __call__(self, outcome: Outcome) -> bool:
        """Return whether the run did not complete."""
        return bool(failure(outcome))

    def __str__(self) -> str:
        """Return the predicate as messages and scenario descriptions print it."""
        return "run not finished"


Predicate = Breaks | GoodputBelow | DidNotComplete


def default_predicate(outcome: Outcome) -> Predicate:
    """Choose the predicate for a failing run if the caller gave none.

    Returns:
        `Breaks` for the rule with the most violations (the first by name on a tie). If no rule was broken,
        `DidNotComplete`.

    Raises:
        ScenarioDoesNotFailError: The run completed and broke no rule.
    """
    if isinstance(outcome, Result):
        broken = [(-count, name) for name, count in outcome.rules.items() if count]
        if broken:
            return Breaks(min(broken)[1])
    if failure(outcome):
        return DidNotComplete()
    raise ScenarioDoesNotFailError("the whole run was played and broke no rule; specify a goodput bound")


def with_expectation(scenario: Scenario, predicate: Predicate, original_name: str, seed: int) -> Scenario:
    """Add the expectation that follows from a failure predicate to a shrunk scenario.

    A broken rule becomes an expected violation. A goodput bound becomes the minimum goodput, which the
    scenario does not reach yet.

    Args:
        scenario: The shrunk scenario, which still fails.
        predicate: How the scenario fails.
        original_name: The name of the scenario before shrinking.
        seed: The seed with which the scenario fails.

    Returns:
        The scenario with its expectation, a new name and a description.
    """
    expect = model.Expect()
    if isinstance(predicate, Breaks):
        expect = model.Expect(breaks=(predicate.rule,))
    elif isinstance(predicate, GoodputBelow):
        expect = model.Expect(goodput_at_least=predicate.goodput)
    return msgspec.structs.replace(
        scenario,
        name=f"{original_name[:MAX_NAME_PREFIX_CHARACTERS]}-least",
        about=f"shrunk from {original_name}: {predicate} with --seed {seed}",
        expect=expect,
    )
