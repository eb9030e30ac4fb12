"""How a run fails: predicates that a smaller scenario has to satisfy as well."""

import msgspec

from flintridge.lab.experiment.jobs import Outcome, failure
from flintridge.lab.result import Result
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

MAX_NAME_PREFIX_CHARACTERS = 57  # leaves room for the suffix within the format's limit of a name


class ScenarioDoesNotFailError(ValueError):
    """The scenario does not fail in the way that was asked for."""


class Breaks(msgspec.Struct, frozen=True, tag="breaks"):
    """A rule is broken.

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
    """Goodput is below `goodput` on a run that ended by itself.

    A smaller fleet under the same load would get there without any fault, so a candidate must be fair:
    neither more loaded (`fluid.py`) nor harder hit by its faults (`fault_severity.py`) than the scenario that
    was given.

    Attributes:
        goodput: The bound, a fraction from 0 to 1.
    """

    goodput: float

    def __call__(self, outcome: Outcome) -> bool:
        """Return whether the run ended by itself with less goodput than the bound."""
        return (
            isinstance(outcome, Result) and outcome.end_reason == "whole" and outcome.goodput < self.goodput
        )

    def __str__(self) -> str:
        """Return the predicate as messages and scenario descriptions print it."""
        return f"goodput under {self.goodput:g}"


class DidNotComplete(msgspec.Struct, frozen=True, tag="unfinished"):
    """The run does not come to its end: it raises, dies, hangs or is cut short."""

    def __call__(self, outcome: Outcome) -> bool:
        """Return whether the run did not complete."""
        return bool(failure(outcome))

    def __str__(self) -> str:
        """Return the predicate as messages and scenario descriptions print it."""
        return "run not finished"


Predicate = Breaks | GoodputBelow | DidNotComplete


def default_predicate(outcome: Outcome) -> Predicate:
    """Return how a run fails where the caller named no predicate.

    Returns:
        The rule that was broken most often, the first by name among equals; otherwise that the run did not
        complete.

    Raises:
        ScenarioDoesNotFailError: The run completed and broke no rule.
    """
    if isinstance(outcome, Result):
        broken = [(-count, name) for name, count in outcome.rules.items() if count]
        if broken:
            return Breaks(min(broken)[1])
    if failure(outcome):
        return DidNotComplete()
    raise ScenarioDoesNotFailError("the run is whole and breaks no rule; name a goodput it should fall under")


def with_expectation(scenario: Scenario, predicate: Predicate, original_name: str, seed: int) -> Scenario:
    """Write into a scenario what a run of it shows: a broken rule as known, a goodput as not yet reached.

    Args:
        scenario: The scenario that still fails.
        predicate: How it fails.
        original_name: The name of the scenario that was shrunk to this one.
        seed: The seed that it fails with.

    Returns:
        The scenario with its expectation, a name and a description.
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
