"""Plays random scenarios and ranks them: broken rules first, then by unexplained loss of goodput.

`search_results.py` defines the unexplained shortfall, `search_directory.py` the files that a search writes.
"""

import random
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from flintridge.lab.experiment import space
from flintridge.lab.experiment.jobs import PLAY, Job, JobFailed, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import Pool
from flintridge.lab.experiment.search_directory import SearchDirectory, without_faults
from flintridge.lab.experiment.search_results import Search, broken_rules, evaluate_run
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds

GOOD_GOODPUT = 0.98  # a run with at least this goodput needs no fault-free run: it has no loss to explain
BATCH_RUNS_PER_WORKER = 4  # the time limit and the need for fault-free runs are checked between batches


class DrawnScenario(NamedTuple):
    """A scenario of a search and the seed that it is played with."""

    scenario: Scenario
    seed: int


def draw_scenario(seed: int, number: int) -> DrawnScenario:
    """Draw the scenario of a run. It depends on the arguments alone, not on earlier draws.

    Args:
        seed: The seed of the search.
        number: The number of the run in the search.
    """
    generator: random.Random = Seeds(seed).of(f"search/{number}")
    run_seed = generator.randrange(1, 2**31)
    name = f"found-{seed}-{number:06d}"
    about = f"day {number} of the search with seed {seed}; play it with --seed {run_seed}"
    return DrawnScenario(space.draw(generator, name, about), run_seed)


DrawScenario = Callable[[int, int], DrawnScenario]


def search(
    directory: Path,
    *,
    runs: int,
    seed: int,
    minutes: float | None = None,
    keep: int = 10,
    workers: int | None = None,
    backend: str = "virtual",
    runner: str | Runner = PLAY,
    dump: Callable[[Scenario], str],
    draw: DrawScenario = draw_scenario,
    show: bool = False,
) -> Search:
    """Play those of the runs 0 to `runs` - 1 that are not done yet.

    Each run is written to its file when it ends, so an interruption by Ctrl-C loses no completed run.

    Args:
        directory: The directory of the search.
        runs: The total number of runs, including those that are already done.
        seed: The seed from which all scenarios are drawn.
        minutes: The time limit in minutes of real time, after which no further run is started.
        keep: The maximum number of scenarios kept for their unexplained shortfall alone. Scenarios that
            broke a rule or did not complete are always kept.
        workers: The number of worker processes; one per core if absent.
        backend: `virtual` or `loopback`.
        runner: The function that plays a scenario.
        dump: Returns a scenario in the format of scenario files.
        draw: Draws a scenario from the seed of the search and the number of the run.
        show: Whether to show progress on a terminal.

    Raises:
        SearchDirectoryError: The directory holds another search or unrelated files; no run was started.
        OSError: The directory cannot be written.
    """
    files = SearchDirectory(directory)
    found = files.open(seed)
    completed = {run.number for run in found.runs}
    progress = SearchProgress(files, found, draw, backend=backend, runner=runner_name(runner))
    limit = TimeLimit(minutes)
    remaining = [number for number in range(runs) if number not in completed]
    try:
        with Pool(workers) as pool:
            _play_batches(pool, progress, found, remaining, limit, total=runs, show=show)
    except KeyboardInterrupt:
        found.stop_reason = "interrupted"
        raise
    finally:
        progress.add_rule_breaking_runs()
        found.minutes += limit.elapsed_minutes()
        files.finish(found, keep, dump, lambda number: draw(seed, number)[0])
    return found


def _play_batches(
    pool: Pool,
    progress: "SearchProgress",
    found: Search,
    numbers: Sequence[int],
    limit: "TimeLimit",
    *,
    total: int,
    show: bool,
) -> None:
    """Play runs in batches until all are played or the time limit is reached.

    `total` is the number of runs of the whole search, for the progress display.
    """
    size = BATCH_RUNS_PER_WORKER * pool.size
    completed = len(found.runs)
    found.stop_reason = ""
    # The fault-free runs of one batch are played with the next batch, so that no worker is idle.
    for start in range(0, len(numbers) + size, size):
        jobs = progress.jobs(numbers[start : start + size])
        title = f"runs {min(completed + start, total)} of {total}"
        pool.run(jobs, on_done=progress.on_done, stop=limit.is_over, show=show, title=title)
        if limit.is_over():
            found.stop_reason = limit.reason
            pool.run(progress.jobs([]), on_done=progress.on_done, show=show, title="runs without faults")
            break


class TimeLimit:
    """The time limit of a search in real time, counted from its start.

    Attributes:
        reason: The stop reason for the summary if the limit is reached; empty without a limit.
    """

    def __init__(self, minutes: float | None) -> None:
        """Start the clock, with a limit in minutes or without one."""
        self.reason = "" if minutes is None else f"the {minutes:g} minutes were over"
        self._minutes = minutes
        self._started_s = time.monotonic()

    def is_over(self) -> bool:
        """Return whether the limit is reached and no further run may be started."""
        return self._minutes is not None and time.monotonic() - self._started_s > 60 * self._minutes

    def elapsed_minutes(self) -> float:
        """Return the minutes of real time since the start."""
        return (time.monotonic() - self._started_s) / 60


class SearchProgress:
    """The completed runs of a search, and those that need a fault-free run before they can be evaluated."""

    def __init__(
        self, files: SearchDirectory, found: Search, draw: DrawScenario, *, backend: str, runner: str
    ) -> None:
        """Continue a search.

        Args:
            files: The directory in which each evaluated run is written.
            found: The search, to which each evaluated run is added.
            draw: Draws the scenario of a run.
            backend: The backend of all runs.
            runner: `module:name` of the function that plays a scenario.
        """
        self._files = files
        self._found = found
        self._draw = draw
        self._backend = backend
        self._runner = runner
        self._awaiting: dict[int, Result] = {}  # results by run number that still need a fault-free run

    def jobs(self, numbers: Iterable[int]) -> list[Job]:
        """Return the jobs of all fault-free runs that are needed, followed by the jobs of the given runs."""
        fault_free = [self._job(number, "calm") for number in self._awaiting]
        return fault_free + [self._job(number, "day") for number in numbers]

    def _job(self, number: int, kind: str) -> Job:
        scenario, seed = self._draw(self._found.seed, number)
        if kind == "calm":
            scenario = without_faults(scenario)
        label = f"{kind} {number}"
        return Job(scenario=scenario, seed=seed, label=label, backend=self._backend, runner=self._runner)

    def on_done(self, _: int, job: Job, outcome: Outcome) -> None:
        """Process the outcome of a job. A run with faults and a low goodput first needs a fault-free run."""
        kind, _separator, number_text = job.label.partition(" ")
        number = int(number_text)
        if kind == "calm":
            fault_free = outcome if isinstance(outcome, Result) else None
            reason = failure(outcome)
            if reason:
                reason = f"without faults: {reason}"
            self._add(number, self._awaiting.pop(number), fault_free, reason)
        elif isinstance(outcome, JobFailed):
            self._add(number, None, None, failure(outcome))
        elif outcome.goodput < GOOD_GOODPUT and job.scenario.faults and outcome.end_reason == "whole":
            self._awaiting[number] = outcome
        else:
            self._add(number, outcome, None)

    def add_rule_breaking_runs(self) -> None:
        """Add the runs that broke a rule but still lack their fault-free run.

        The other runs without a fault-free run are played again when the search is continued.
        """
        for number, result in sorted(self._awaiting.items()):
            if broken_rules(result):
                self._add(number, result, None)
        self._awaiting.clear()

    def _add(self, number: int, result: Result | None, fault_free: Result | None, reason: str = "") -> None:
        """Evaluate a run, write its file and add it to the search."""
        scenario, seed = self._draw(self._found.seed, number)
        run = evaluate_run(number, seed, scenario, result, fault_free, reason)
        self._files.add(run, result)
        self._found.runs.append(run)
