"""Random days, played and ranked: those that break a rule, and those that fall furthest behind.

How far a day falls behind is what it lost without an excuse:

- *calm* is the goodput of the same scenario and seed without its faults (a day without faults, and one that
  went well, needs no second run);
- the *reference* is calm, or the fluid bound of `fluid.py` where that is higher, less 15 parts in 100 as it
  knows neither queues nor deadlines: a node that jams without any fault must not be measured by itself;
- the *shortfall* is the reference less the goodput of the day, at least 0;
- *behind* weighs its two parts: what the day lost against calm counts times (1 - severity), where
  `fluid.severity` reckons the share of the day's service that its faults take from any node (a fleet that
  lost half of its servers is asked for less); what calm itself lacks to the reference counts whole.

The directory of a search holds `search.json` (what was drawn, a line a day; the one file that is written
anew), `days/NNNNNN.json` for each day played, and under `kept/` the scenarios worth a look as ordinary files,
with their results beside them. What is there is never written over: a second search with the same seed goes
on after the days that are done.
"""

import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from flintridge.lab.experiment import output, space
from flintridge.lab.experiment.fluid import flows, severity
from flintridge.lab.experiment.jobs import PLAY, Job, JobFailed, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import Pool
from flintridge.lab.result import Result, as_json
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds

FLUID_SHARE = 0.85  # of the fluid bound, that a node can be asked for
WELL = 0.98  # goodput at which no second run is needed: there is nothing to explain
BATCH = 4  # days a worker, between two looks at the clock and at what needs a calm run
KEPT_BEHIND = 0.05  # least to be kept for falling behind


class BadDirectory(ValueError):
    """A directory that is no search's, or another one's."""


class Day(msgspec.Struct, kw_only=True):
    """A line of the summary. `behind` is -1 where there is no whole result to judge by."""

    number: int
    seed: int
    name: str
    goodput: float = 0.0
    calm: float = -1.0  # goodput without faults; -1 where that was not played
    reference: float = 0.0
    severity: float = 0.0
    load: float = 0.0  # on the bottleneck
    shortfall: float = 0.0
    behind: float = -1.0
    requests: int = 0
    rules: dict[str, int] = {}  # broken ones
    calm_rules: dict[str, int] = {}  # broken in the run without faults
    faults: list[str] = []
    failed: str = ""  # why there is no whole result

    @property
    def broken(self) -> int:
        return sum(self.rules.values()) + sum(self.calm_rules.values())


class Found(msgspec.Struct, kw_only=True):
    """`days/NNNNNN.json`: a day's line and its result."""

    day: Day
    result: Result | None = None


class Search(msgspec.Struct, kw_only=True, tag_field="what", tag="search"):
    """`search.json`; days by number, and the names of the kept ones, worst first."""

    seed: int
    space: int
    days: list[Day] = []
    kept: list[str] = []
    minutes: float = 0.0  # over all its runs
    stopped: str = ""  # why it ended before all days were played

    @property
    def sound(self) -> bool:
        return not any(day.broken or day.failed for day in self.days)


def day_of(seed: int, number: int) -> tuple[Scenario, int]:
    """The scenario of a search's day and the seed that it is played with; the same whatever came before."""
    dice: random.Random = Seeds(seed).of(f"search/{number}")
    play = dice.randrange(1, 2**31)
    name = f"found-{seed}-{number:06d}"
    return space.draw(
        dice, name, f"day {number} of the search with seed {seed}; play it with --seed {play}"
    ), play


def without_faults(scenario: Scenario) -> Scenario:
    return msgspec.structs.replace(scenario, faults=())


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
    draw: Callable[[int, int], tuple[Scenario, int]] = day_of,
    show: bool = False,
) -> Search:
    """Play days 0 to `runs` - 1 that are not done yet, for so many minutes at most.

    `keep` of those that fell furthest behind are kept, and every one that broke a rule. Raises BadDirectory
    or OSError before the first run. Days go to their files as they end, so nothing is lost by Ctrl-C.
    """
    found = _open(directory, seed)
    done = {day.number for day in found.days}
    play, began = runner_name(runner), time.monotonic()

    def over() -> bool:
        return minutes is not None and time.monotonic() - began > 60 * minutes

    hunt = _Hunt(directory, seed, backend, play, draw, found)
    left = [number for number in range(runs) if number not in done]
    try:
        with Pool(workers) as pool:
            size = BATCH * pool.size
            found.stopped = ""
            # Calm runs of one batch go with the days of the next: no worker waits for them.
            for at in range(0, len(left) + size, size):
                jobs = hunt.jobs(left[at : at + size])
                title = f"days {min(len(done) + at, runs)} of {runs}"
                pool.run(jobs, on_done=hunt.ended, stop=over, show=show, title=title)
                if over():
                    found.stopped = f"the {minutes:g} minutes were over"
                    pool.run(hunt.jobs([]), on_done=hunt.ended, show=show, title="days without faults")
                    break
    except KeyboardInterrupt:
        found.stopped = "interrupted"
        raise
    finally:
        hunt.settle()
        found.minutes += (time.monotonic() - began) / 60
        _finish(directory, found, keep, dump, draw)
    return found


class _Hunt:
    """The days under way: those whose calm run is awaited, and those done."""

    def __init__(
        self,
        directory: Path,
        seed: int,
        backend: str,
        runner: str,
        draw: Callable[[int, int], tuple[Scenario, int]],
        found: Search,
    ) -> None:
        self._directory, self._seed, self._backend, self._runner = directory, seed, backend, runner
        self._draw, self._found = draw, found
        self._waiting: dict[int, Result] = {}  # by number: played, and in need of a calm run

    def jobs(self, numbers: Iterable[int]) -> list[Job]:
        calm = [self._job(number, "calm") for number in self._waiting]
        return calm + [self._job(number, "day") for number in numbers]

    def _job(self, number: int, label: str) -> Job:
        scenario, play = self._draw(self._seed, number)
        if label == "calm":
            scenario = without_faults(scenario)
        label = f"{label} {number}"
        return Job(scenario=scenario, seed=play, label=label, backend=self._backend, runner=self._runner)

    def ended(self, _: int, job: Job, outcome: Outcome) -> None:
        label, number_text = job.label.split()
        number = int(number_text)
        if label == "calm":
            calm = outcome if isinstance(outcome, Result) else None
            failed = failure(outcome)
            self._done(number, self._waiting.pop(number), calm, f"without faults: {failed}" if failed else "")
        elif isinstance(outcome, JobFailed):
            self._done(number, None, None, failure(outcome))
        elif outcome.goodput < WELL and job.scenario.faults and outcome.end_reason == "whole":
            self._waiting[number] = outcome
        else:
            self._done(number, outcome, None)

    def settle(self) -> None:
        """Of the days whose calm run was not played, keep those that broke a rule; others are played again
        when the search goes on."""
        for number, result in sorted(self._waiting.items()):
            if _broken(result):
                self._done(number, result, None)
        self._waiting.clear()

    def _done(self, number: int, result: Result | None, calm: Result | None, failed: str = "") -> None:
        scenario, play = self._draw(self._seed, number)
        day = judge_day(number, play, scenario, result, calm, failed)
        content = output.json_text(msgspec.to_builtins(Found(day=day, result=result)))
        output.write_new(self._directory / "days" / f"{number:06d}.json", content)
        self._found.days.append(day)


def judge_day(
    number: int, play: int, scenario: Scenario, result: Result | None, calm: Result | None, failed: str = ""
) -> Day:
    """The day's line; `calm` is the result without faults, None where that was not played."""
    flow = flows(scenario)
    day = Day(
        number=number,
        seed=play,
        name=scenario.name,
        severity=severity(scenario),
        load=flow.load,
        faults=[fault.__struct_config__.tag or "" for fault in scenario.faults],  # type: ignore[misc]
        failed=failed,
    )
    if result is None:
        return day
    day.goodput, day.requests = result.goodput, result.requests
    day.rules = _broken(result)
    day.calm_rules = {} if calm is None else _broken(calm)
    if result.end_reason != "whole":
        day.failed = f"cut short: {result.end_reason}"
        return day
    if not scenario.faults:
        day.calm = result.goodput
    elif calm is not None and calm.end_reason == "whole":
        day.calm = calm.goodput
    day.reference = max(day.calm, FLUID_SHARE * flow.bound)
    day.shortfall = max(0.0, day.reference - result.goodput)
    # Without a calm run all of it is put down to the faults.
    by_faults = min(day.shortfall, max(0.0, day.calm - result.goodput)) if day.calm >= 0 else day.shortfall
    day.behind = by_faults * (1 - day.severity) + (day.shortfall - by_faults)
    return day


def _broken(result: Result) -> dict[str, int]:
    return {name: count for name, count in sorted(result.rules.items()) if count}


def ranked(days: Iterable[Day]) -> list[Day]:
    """Worst first: broken rules, failed runs, then by how far they are behind."""
    return sorted(days, key=lambda d: (not d.broken, not d.failed, -d.behind, d.number))


def _finish(
    directory: Path,
    found: Search,
    keep: int,
    dump: Callable[[Scenario], str],
    draw: Callable[[int, int], tuple[Scenario, int]],
) -> None:
    found.days.sort(key=lambda day: day.number)
    bad = [day for day in found.days if day.broken or day.failed]
    behind = [day for day in ranked(found.days) if day not in bad and day.behind >= KEPT_BEHIND][:keep]
    found.kept = [day.name for day in ranked(bad + behind)]
    for day in bad + behind:
        scenario, _ = draw(found.seed, day.number)
        output.write_new(directory / "kept" / f"{day.name}.toml", dump(scenario))
        if day.calm_rules:
            calm = msgspec.structs.replace(without_faults(scenario), name=f"{day.name}-calm")
            output.write_new(directory / "kept" / f"{calm.name}.toml", dump(calm))
        result = _read_day(directory / "days" / f"{day.number:06d}.json").result
        if result is not None:
            output.write_new(directory / "kept" / f"{day.name}.json", output.json_text(as_json(result)))
    output.write(directory / "search.json", output.json_text(summary(found)))


def summary(found: Search) -> dict[str, Any]:
    """Plain values."""
    built: dict[str, Any] = msgspec.to_builtins(found)
    built["sound"] = found.sound
    return built


def _open(directory: Path, seed: int) -> Search:
    """Begin a search, or go on with one: its days are read from their files, the summary may be behind."""
    index = directory / "search.json"
    if not index.exists():
        if directory.exists() and any(directory.iterdir()):
            raise BadDirectory(f"{directory}: not empty, and no search (it has no search.json)")
        (directory / "days").mkdir(parents=True, exist_ok=True)
        (directory / "kept").mkdir(exist_ok=True)
        found = Search(seed=seed, space=space.VERSION)
        output.write(index, output.json_text(summary(found)))
        return found
    try:
        found = msgspec.json.decode(index.read_bytes(), type=Search)
        days = sorted((directory / "days").glob("[0-9]*.json"))
        found.days = [_read_day(path).day for path in days]
    except msgspec.MsgspecError as error:
        raise BadDirectory(f"{directory}: its files cannot be read: {error}") from error
    if (found.seed, found.space) != (seed, space.VERSION):
        raise BadDirectory(
            f"{directory}: holds the search with seed {found.seed} (space {found.space}), "
            f"not with seed {seed} (space {space.VERSION})"
        )
    return found


def _read_day(path: Path) -> Found:
    return msgspec.json.decode(path.read_bytes(), type=Found)
