"""Shrinks a failing scenario to the smallest one that still fails the same way, by delta debugging.

A pass (`shrink_passes.py`) yields candidates, the largest reductions first. The first candidate *in that
order* that still fails is taken, no matter how many are played concurrently and which of them ends first, so
the result depends only on the scenario, the seed and the budget. All passes are repeated until none of them
makes progress. The budget counts candidates up to the one that was taken; later candidates of the same batch,
which are played only for speed, are not counted.

A failure that depends on a few milliseconds disappears with that seed as soon as anything else changes. Each
candidate is therefore played with several seeds, and the first one that fails becomes the seed of the result.
"""

from collections.abc import Callable, Iterator, Sequence

import msgspec

from flintridge.lab.experiment.failure_predicates import (
    GoodputBelow,
    Predicate,
    ScenarioDoesNotFailError,
    default_predicate,
    with_expectation,
)
from flintridge.lab.experiment.fault_severity import severity
from flintridge.lab.experiment.fluid import flows
from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import Pool
from flintridge.lab.experiment.shrink_passes import PASSES, CandidateGenerator, server_count
from flintridge.lab.experiment.space import contradictions
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

NOTHING_SMALLER = "nothing smaller fails"
BUDGET_USED_UP = "the budget is used up"
LOAD_TOLERANCE_RATIO = 1.02
MIN_LOAD_LIMIT = 0.05  # comparing loads below this value is meaningless
SEVERITY_TOLERANCE_RATIO = 1.02
SEVERITY_TOLERANCE = 0.005


class Step(msgspec.Struct, kw_only=True):
    """A candidate that was played and counted against the budget.

    Attributes:
        number: The number of runs counted so far, including this one.
        taken: Whether the candidate still failed and replaced the smallest scenario so far.
        text: The pass and the reduction, and the seed if it differs from that of the smallest scenario.
    """

    number: int
    taken: bool
    text: str


class Shrunk(msgspec.Struct, kw_only=True, tag_field="what", tag="shrink"):
    """The result of a shrinking, as `--json` prints it.

    Attributes:
        scenario: The smallest scenario found.
        seed: The seed with which the scenario fails; it may differ from the given one.
        fails: A description of the failure.
        runs: The number of runs counted against the budget.
        steps: All counted candidates, in the order of the passes.
        before: The sizes of the given scenario, by name.
        after: The sizes of the smallest scenario, by the same names.
        end_reason: Why no further candidate was played.
    """

    scenario: Scenario
    seed: int
    fails: str
    runs: int
    steps: list[Step]
    before: dict[str, float]
    after: dict[str, float]
    end_reason: str = msgspec.field(default=NOTHING_SMALLER, name="ended")


class ShrinkCandidate(msgspec.Struct, frozen=True):
    """A reduced scenario that is played to see whether it still fails.

    Attributes:
        text: A description of the reduction.
        scenario: The reduced scenario.
        seed: The seed that the scenario is played with.
    """

    text: str
    scenario: Scenario
    seed: int


class ShrinkLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits of one shrinking.

    Attributes:
        width: The number of candidates that are played concurrently.
        budget: The maximum number of counted runs.
        seeds_per_candidate: The number of seeds with which each candidate is played.
    """

    width: int
    budget: int
    seeds_per_candidate: int


PlayCandidates = Callable[[Sequence[ShrinkCandidate]], list[Outcome | None]]


def scenario_sizes(scenario: Scenario) -> dict[str, float]:
    """Return the sizes of a scenario that shrinking reduces, by the names that `--json` prints."""
    return {
        "faults": len(scenario.faults),
        "nodes": scenario.nodes.count,
        "servers": server_count(scenario),
        "zones": len(scenario.zones),
        "classes": len(scenario.classes),
        "keys": scenario.keys.count,
        "seconds": scenario.length_s,
        "rate_per_s": scenario.load.rate_per_s,
    }


def shrink(
    scenario: Scenario,
    seed: int,
    predicate: Predicate | None = None,
    *,
    budget: int = 500,
    seeds_per_candidate: int = 3,
    backend: str = "virtual",
    defect: str | None = None,
    workers: int | None = None,
    runner: str | Runner = PLAY,
    on_step: Callable[[Step], None] = lambda step: None,
    limit_s: float | None = None,
) -> Shrunk:
    """Reduce a scenario as far as it still fails the same way.

    Args:
        scenario: The scenario that fails.
        seed: The seed with which it fails.
        predicate: How it fails; chosen from the outcome of a first run if absent.
        budget: The maximum number of counted runs.
        seeds_per_candidate: The number of seeds with which each candidate is played.
        backend: `virtual` or `loopback`.
        defect: The seeded defect to play with, if any.
        workers: The number of worker processes; one per core if absent.
        runner: The function that plays a scenario.
        on_step: Called with each counted candidate.
        limit_s: The limit of each run in seconds of real time. If absent, the scenario's own limit plus a
            margin.

    Returns:
        The smallest scenario found and the steps to it.

    Raises:
        ScenarioDoesNotFailError: The given scenario does not fail in this way.
    """
    play = runner_name(runner)
    template = Job(scenario=scenario, seed=seed, backend=backend, defect=defect, runner=play, limit_s=limit_s)
    with Pool(workers) as pool:

        def run(candidates: Sequence[ShrinkCandidate]) -> list[Outcome | None]:
            return pool.run(
                [msgspec.structs.replace(template, scenario=c.scenario, seed=c.seed) for c in candidates]
            )

        given = ShrinkCandidate("as given", scenario, seed)
        first = run([given])[0]
        assert first is not None
        predicate = predicate or default_predicate(first)
        _require_failure(predicate, first)
        limits = ShrinkLimits(width=pool.size, budget=budget, seeds_per_candidate=seeds_per_candidate)
        shrinker = Shrinker(given, predicate, first, run, limits, on_step)
        shrinker.run_until_no_progress()
    return _shrunk(scenario, predicate, shrinker, budget)


def _shrunk(given: Scenario, predicate: Predicate, shrinker: "Shrinker", budget: int) -> Shrunk:
    """Return the result of a finished shrinking."""
    found = shrinker.smallest
    smallest = with_expectation(found.scenario, predicate, given.name, found.seed)
    return Shrunk(
        scenario=smallest,
        seed=found.seed,
        fails=str(predicate),
        runs=shrinker.runs,
        steps=shrinker.steps,
        before=scenario_sizes(given),
        after=scenario_sizes(smallest),
        end_reason=BUDGET_USED_UP if shrinker.runs >= budget else NOTHING_SMALLER,
    )


def _require_failure(predicate: Predicate, outcome: Outcome) -> None:
    """Raise ScenarioDoesNotFailError unless the outcome satisfies the predicate."""
    if predicate(outcome):
        return
    observed = failure(outcome)
    if not observed and isinstance(outcome, Result):
        observed = f"goodput {outcome.goodput:.4f}"
    raise ScenarioDoesNotFailError(f"the scenario does not fail as requested ({predicate}): {observed}")


class Shrinker:
    """The state of one shrinking: the smallest scenario so far and the outcome of its run.

    Attributes:
        smallest: The last candidate that was taken; at first the given scenario.
        outcome: The outcome of the run of `smallest`.
        runs: The number of runs counted against the budget, including the run of the given scenario.
        steps: All counted candidates.
    """

    def __init__(
        self,
        given: ShrinkCandidate,
        predicate: Predicate,
        outcome: Outcome,
        run: PlayCandidates,
        limits: ShrinkLimits,
        on_step: Callable[[Step], None],
    ) -> None:
        """Begin with the given scenario.

        Args:
            given: The given scenario with its seed.
            predicate: The predicate that candidates must satisfy.
            outcome: The outcome of the run of the given scenario.
            run: Plays candidates concurrently and returns their outcomes in the same order.
            limits: The budget, the batch size and the seeds per candidate.
            on_step: Called with each counted candidate.
        """
        self.smallest = given
        self.outcome = outcome
        self.runs = 1
        self.steps: list[Step] = []
        self._predicate = predicate
        self._run = run
        self._limits = limits
        self._on_step = on_step
        self._given_load = flows(given.scenario).load
        self._given_severity = severity(given.scenario)
        self._not_failing: set[tuple[Scenario, int]] = set()  # pairs of scenario and seed that did not fail

    def run_until_no_progress(self) -> None:
        """Repeat all passes until a round takes no candidate or the budget is used up."""
        progress = True
        while progress and self.runs < self._limits.budget:
            progress = False
            for name, generate in PASSES:
                # Texts of rejected candidates: within one pass of a round, a rejected reduction is not
                # tried again on a scenario that has become smaller since.
                rejected: set[str] = set()
                while self.runs < self._limits.budget and self._take_first(name, generate, rejected):
                    progress = True

    def _take_first(self, name: str, generate: CandidateGenerator, rejected: set[str]) -> bool:
        """Take the first candidate of a pass that still fails; return whether there was one."""
        batch: list[ShrinkCandidate] = []
        for candidate in self._with_seeds(generate, frozenset(rejected)):
            batch.append(candidate)
            if len(batch) == min(self._limits.width, self._limits.budget - self.runs):
                if self._take_from(name, batch, rejected):
                    return True
                batch = []
                if self.runs >= self._limits.budget:
                    return False
        return bool(batch) and self._take_from(name, batch, rejected)

    def _with_seeds(
        self, generate: CandidateGenerator, rejected: frozenset[str]
    ) -> Iterator[ShrinkCandidate]:
        """Yield the candidates of a pass, each with the seed that is known to fail and then with others."""
        known_seed = self.smallest.seed
        count = self._limits.seeds_per_candidate
        seeds = [known_seed, *(seed for seed in range(1, count + 1) if seed != known_seed)][:count]
        seen: set[Scenario] = {self.smallest.scenario}
        for text, scenario in generate(self.smallest.scenario, self.outcome):
            if text in rejected or scenario in seen or not self._is_admissible(scenario):
                continue
            seen.add(scenario)
            for seed in seeds:
                if (scenario, seed) not in self._not_failing:
                    yield ShrinkCandidate(text, scenario, seed)

    def _is_admissible(self, scenario: Scenario) -> bool:
        """Return whether a scenario is valid and, for a goodput bound, comparable with the given scenario."""
        if contradictions(scenario):
            return False
        if not isinstance(self._predicate, GoodputBelow):
            return True
        if flows(scenario).load > max(self._given_load * LOAD_TOLERANCE_RATIO, MIN_LOAD_LIMIT):
            return False
        return severity(scenario) <= self._given_severity * SEVERITY_TOLERANCE_RATIO + SEVERITY_TOLERANCE

    def _take_from(self, name: str, batch: Sequence[ShrinkCandidate], rejected: set[str]) -> bool:
        """Play a batch and take its first candidate that still fails; return whether there was one."""
        for candidate, outcome in zip(batch, self._run(batch), strict=True):
            self.runs += 1
            taken = outcome is not None and self._predicate(outcome)
            seed_note = "" if candidate.seed == self.smallest.seed else f" (seed {candidate.seed})"
            step = Step(number=self.runs, taken=taken, text=f"{name}: {candidate.text}{seed_note}")
            self.steps.append(step)
            self._on_step(step)
            if taken and outcome is not None:
                self.smallest = candidate
                self.outcome = outcome
                rejected.discard(candidate.text)
                return True
            self._not_failing.add((candidate.scenario, candidate.seed))
            rejected.add(candidate.text)
        return False
