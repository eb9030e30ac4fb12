"""`flintridge lab run`: runs a scenario and judges it."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import ExitCode, exit_unless
from flintridge.cli.lab_shared import (
    check_outputs,
    defect_option,
    json_option,
    path_option,
    report_option,
    write_json,
    write_text,
)
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option

if TYPE_CHECKING:  # the command imports its dependencies when it runs
    from flintridge.lab.result import Result
    from flintridge.lab.scenario.model import Scenario


@click.command
@scenario_argument
@seed_option
@backend_option
@set_option
@json_option
@report_option
@path_option("--events", help_text="Write all recorded events to this file, one JSON line each.")
@path_option("--trace", help_text="Write the requests to this file, for a scenario to replay (load.trace).")
@defect_option
@force_option
def command(
    scenario: str,
    seed: int,
    backend: str,
    overrides: tuple[str, ...],
    json_file: Path | None,
    report: Path | None,
    events: Path | None,
    trace: Path | None,
    defect: str | None,
    force: bool,
) -> None:
    """Run a scenario and judge it. SCENARIO is a file or a shipped scenario's name (`flintridge lab list`).

    The exit code is 1 if a rule is broken, or if the run does not meet the scenario's expectations.

    \b
    Examples:
      flintridge lab run calm
      flintridge lab run mine.toml --seed 3 --report day.html
      flintridge lab run calm --set load.rate_per_s=300 --json day.json --events day.jsonl
    """
    check_outputs([json_file, report, events, trace], force)
    from flintridge.lab.experiment.jobs import Job, JobFailed
    from flintridge.lab.experiment.pool import run_one
    from flintridge.lab.experiment.stats import unsound_reasons
    from flintridge.lab.report import tables
    from flintridge.lab.result import as_json
    from flintridge.lab.scenario.load import load

    loaded = load(scenario, list(overrides))
    _check_defect(defect, backend)
    events_output = _PartialOutput(events)
    trace_output = _PartialOutput(trace)
    outcome = run_one(
        Job(
            scenario=loaded,
            seed=seed,
            backend=backend,
            defect=defect,
            events=events_output.name,
            trace=trace_output.name,
        )
    )
    if isinstance(outcome, JobFailed):
        events_output.discard()
        trace_output.discard()
        tables.print_failure(outcome)
        sys.exit(ExitCode.FINDING)
    result = outcome
    events_output.publish()
    trace_output.publish()
    write_json(json_file, lambda: as_json(result))
    write_text(report, lambda: _report(result, loaded))
    unsound = unsound_reasons(result, loaded.expect)
    tables.print_run(result, unsound, loaded.expect.breaks)
    exit_unless(not unsound)


class _PartialOutput:
    """An output file that the run writes under a temporary name in the same folder.

    A run that ends early leaves no incomplete file under the requested name.
    """

    def __init__(self, target: Path | None) -> None:
        """Remove the temporary file of an earlier run. Without a `target`, no method has any effect."""
        self._target = target
        self._part = None if target is None else target.with_name(f".{target.name}.part")
        self.discard()

    @property
    def name(self) -> str | None:
        """The absolute path of the file that the run must write; None without a `target`."""
        return None if self._part is None else str(self._part.resolve())

    def discard(self) -> None:
        """Remove the temporary file."""
        if self._part is not None:
            self._part.unlink(missing_ok=True)

    def publish(self) -> None:
        """Rename the temporary file to the requested name."""
        if self._target is not None and self._part is not None and self._part.exists():
            self._part.replace(self._target)


def _report(result: "Result", scenario: "Scenario") -> str:
    from flintridge.lab.report.html import run_report
    from flintridge.lab.scenario.load import dump

    return run_report(result, scenario, dump(scenario))


def _check_defect(defect: str | None, backend: str) -> None:
    """Raise BadParameter for an unknown defect, or for one that cannot be planted in this backend."""
    if defect is None:
        return
    from flintridge.lab.defects import DEFECTS

    if defect not in DEFECTS or backend != "virtual":
        raise click.BadParameter(
            f"one of {', '.join(sorted(DEFECTS))}, in virtual time", param_hint="--defect"
        )
