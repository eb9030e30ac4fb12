"""The directory of a search.

It holds `search.json` (a summary with an entry for each run; the only file that is replaced),
`days/NNNNNN.json` for each run, and under `kept/` the scenarios that deserve a closer look, as ordinary
scenario files with their results. No other file is ever overwritten: a second search with the same seed plays
only the runs that are not done yet.
"""

from collections.abc import Callable
from pathlib import Path

import msgspec

from flintridge.lab.experiment import output, space
from flintridge.lab.experiment.search_results import Search, SearchResult, SearchRun, ranked, summary
from flintridge.lab.result import Result, as_json
from flintridge.lab.scenario.model import Scenario

MIN_KEPT_SHORTFALL = 0.05  # a run with a smaller unexplained shortfall is not kept


class SearchDirectoryError(ValueError):
    """The directory holds a different search, unreadable files, or files that belong to no search."""


def without_faults(scenario: Scenario) -> Scenario:
    """Return a copy of the scenario without faults."""
    return msgspec.structs.replace(scenario, faults=())


class SearchDirectory:
    """Reads and writes the files of one search."""

    def __init__(self, path: Path) -> None:
        """Use the directory at this path; `open` creates it if it does not exist."""
        self._path = path

    def open(self, seed: int) -> Search:
        """Start a new search or continue the one in the directory.

        The runs are read from their own files, because the summary may be older.

        Args:
            seed: The seed of the search.

        Raises:
            SearchDirectoryError: The directory holds a different search, unreadable or unrelated files.
            OSError: The directory cannot be created or read.
        """
        index = self._path / "search.json"
        if not index.exists():
            return self._create(seed)
        try:
            found = msgspec.json.decode(index.read_bytes(), type=Search)
            paths = sorted((self._path / "days").glob("[0-9]*.json"))
            found.runs = [_read(path).run for path in paths]
        except msgspec.MsgspecError as error:
            raise SearchDirectoryError(
                f"{self._path}: the files of the search cannot be read: {error}"
            ) from error
        if (found.seed, found.space_version) != (seed, space.VERSION):
            raise SearchDirectoryError(
                f"{self._path}: holds the search with seed {found.seed} (space {found.space_version}), "
                f"not with seed {seed} (space {space.VERSION})"
            )
        return found

    def _create(self, seed: int) -> Search:
        """Create the directory of a new search."""
        if self._path.exists() and any(self._path.iterdir()):
            raise SearchDirectoryError(
                f"{self._path}: not empty and not a search directory (search.json is missing)"
            )
        (self._path / "days").mkdir(parents=True, exist_ok=True)
        (self._path / "kept").mkdir(exist_ok=True)
        found = Search(seed=seed, space_version=space.VERSION)
        self._write_summary(found)
        return found

    def add(self, run: SearchRun, result: Result | None) -> None:
        """Write the file of a run unless it exists."""
        content = output.json_text(msgspec.to_builtins(SearchResult(run=run, result=result)))
        output.write_new(self._run_path(run.number), content)

    def finish(
        self,
        found: Search,
        keep: int,
        dump: Callable[[Scenario], str],
        scenario_of: Callable[[int], Scenario],
    ) -> None:
        """Choose the scenarios to keep, and write them and the summary.

        Args:
            found: The search. Its runs are sorted, and the names of its kept scenarios are set.
            keep: The maximum number of scenarios kept for their unexplained shortfall alone.
            dump: Returns a scenario in the format of scenario files.
            scenario_of: Returns the scenario of a run, drawn again from the run's number.
        """
        found.runs.sort(key=lambda run: run.number)
        unsound = [run for run in found.runs if run.violation_count or run.failure]
        behind = [
            run
            for run in ranked(found.runs)
            if run not in unsound and run.unexplained_shortfall >= MIN_KEPT_SHORTFALL
        ]
        kept = unsound + behind[:keep]
        found.kept = [run.name for run in ranked(kept)]
        for run in kept:
            self._keep(run, scenario_of(run.number), dump)
        self._write_summary(found)

    def _keep(self, run: SearchRun, scenario: Scenario, dump: Callable[[Scenario], str]) -> None:
        """Write the scenario and the result of a run to the directory of kept scenarios."""
        kept = self._path / "kept"
        output.write_new(kept / f"{run.name}.toml", dump(scenario))
        if run.fault_free_violations:
            fault_free = msgspec.structs.replace(without_faults(scenario), name=f"{run.name}-calm")
            output.write_new(kept / f"{fault_free.name}.toml", dump(fault_free))
        result = _read(self._run_path(run.number)).result
        if result is not None:
            output.write_new(kept / f"{run.name}.json", output.json_text(as_json(result)))

    def _run_path(self, number: int) -> Path:
        return self._path / "days" / f"{number:06d}.json"

    def _write_summary(self, found: Search) -> None:
        output.write(self._path / "search.json", output.json_text(summary(found)))


def _read(path: Path) -> SearchResult:
    """Read the file of a run."""
    return msgspec.json.decode(path.read_bytes(), type=SearchResult)
