"""Random scenarios, played and ranked: those that break a rule, and those that fall furthest behind.

`search_results.py` says what falling behind is, and `search_directory.py` which files a search writes.
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

GOOD_GOODPUT = 0.98  # at which no fault-free run is needed: there is nothing to explain
BATCH_RUNS_PER_WORKER = 4  # between two checks of the time and of what needs a fault-free run


class DrawnScenario(NamedTuple):
    """A scenario of a search, and the seed that it is played with."""

    scenario: Scenario
    seed: int


def draw_scenario(seed: int, number: int) -> DrawnScenario:
    """Draw the scenario of a run; it is the same whatever was drawn before.

    Args:
        seed: The seed of the search.
        number: The number of the run.
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
    """Play the runs 0 to `runs` - 1 that are not done yet.

    Runs go to their files as they end, so nothing is lost by Ctrl-C.

    Args:
        directory: Where the search is kept.
        runs: Runs of the search in all.
        seed: The seed that all scenarios are drawn from.
        minutes: Real time after which no further run is started.
        keep: Scenarios kept at most for falling behind; all that broke a rule are kept.
        workers: Worker processes; one a core where absent.
        backend: `virtual` or `loopback`.
        runner: The function that plays a scenario.
        dump: Writes a scenario in the format of its files.
        draw: Draws a scenario, from the seed of the search and the number of the run.
        show: Whether to show progress on a terminal.

    Raises:
        SearchDirectoryError: The directory holds another search or other files; no run was started.
        OSError: The directory cannot be written.
    """
    files = SearchDirectory(directory)
    found = files.open(seed)
    completed = {run.number for run in found.runs}
    play = runner_name(runner)
    started_s = time.monotonic()

    def time_is_over() -> bool:
        return minutes is not None and time.monotonic() - started_s > 60 * minutes

    progress = SearchProgress(files, found, draw, backend=backend, runner=play)
    remaining = [number for number in range(runs) if number not in completed]
    try:
        with Pool(workers) as pool:
            _play_batches(
                pool,
                progress,
                found,
                remaining,
                total=runs,
                is_over=time_is_over,
                time_limit_reason="" if minutes is None else f"the {minutes:g} minutes were over",
                show=show,
            )
    except KeyboardInterrupt:
        found.stop_reason = "interrupted"
        raise
    finally:
        progress.settle()
        found.minutes += (time.monotonic() - started_s) / 60
        files.finish(found, keep, dump, lambda number: draw(seed, number)[0])
    return found


def _play_batches(
    pool: Pool,
    progress: "SearchProgress",
    found: Search,
    numbers: Sequence[int],
    *,
    total: int,
    is_over: Callable[[], bool],
    time_limit_reason: str,
    show: bool,
) -> None:
    """Play runs in batches until none remains or the time is over; `total` is that of the whole search."""
    size = BATCH_RUNS_PER_WORKER * pool.size
    completed = len(found.runs)
    found.stop_reason = ""
    # Fault-free runs of one batch go with the runs of the next: no worker waits for them.
    for start in range(0, len(numbers) + size, size):
        jobs = progress.jobs(numbers[start : start + size])
        title = f"days {min(completed + start, total)} of {total}"
        pool.run(jobs, on_done=progress.on_done, stop=is_over, show=show, title=title)
        if is_over():
            found.stop_reason = time_limit_reason
            pool.run(progress.jobs([]), on_done=progress.on_done, show=show, title="days without faults")
            break


class SearchProgress:
    """The runs of a search: those done, and those whose fault-free run is awaited."""

    def __init__(
        self, files: SearchDirectory, found: Search, draw: DrawScenario, *, backend: str, runner: str
    ) -> None:
        """Continue a search.

        Args:
            files: Where runs are written as they are done.
            found: The search, to which they are added.
            draw: Draws the scenarios.
            backend: The backend of all runs.
            runner: `module:name` of the function that plays a scenario.
        """
        self._files = files
        self._found = found
        self._draw = draw
        self._backend = backend
        self._runner = runner
        self._awaiting: dict[int, Result] = {}  # by number: played, and in need of a fault-free run

    def jobs(self, numbers: Iterable[int]) -> list[Job]:
        """Return jobs for the awaited fault-free runs and, after them, for these runs."""
        fault_free = [self._job(number, "calm") for number in self._awaiting]
        return fault_free + [self._job(number, "day") for number in numbers]

    def _job(self, number: int, kind: str) -> Job:
        scenario, seed = self._draw(self._found.seed, number)
        if kind == "calm":
            scenario = without_faults(scenario)
        label = f"{kind} {number}"
        return Job(scenario=scenario, seed=seed, label=label, backend=self._backend, runner=self._runner)

    def on_done(self, _: int, job: Job, outcome: Outcome) -> None:
        """Take in the outcome of a job; a run that lost goodput to faults awaits its fault-free run."""
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

    def settle(self) -> None:
        """Add the awaited runs that broke a rule.

        The others are played again when the search is continued, with their fault-free run.
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
