"""`flintridge lab sweep`: runs a scenario with different values of one or two parameters."""

from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import CommandError, exit_unless
from flintridge.cli.lab_shared import (
    check_outputs,
    jobs_option,
    json_option,
    path_option,
    report_option,
    seeds_of,
    seeds_option,
    write_json,
    write_text,
)
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option

if TYPE_CHECKING:  # the command imports its dependencies when it runs
    from flintridge.lab.experiment.sweep import Sweep


@click.command
@scenario_argument
@click.argument("parameters", nargs=-1, required=True, metavar="PATH=VALUES...")
@set_option
@seed_option
@seeds_option
@backend_option
@jobs_option
@json_option
@path_option("--csv", "csv_file", help_text="Write one line per combination of values to this file.")
@report_option
@force_option
def command(
    scenario: str,
    parameters: tuple[str, ...],
    overrides: tuple[str, ...],
    seed: int,
    count: int,
    backend: str,
    workers: int | None,
    json_file: Path | None,
    csv_file: Path | None,
    report: Path | None,
    force: bool,
) -> None:
    """Run SCENARIO with different values of one or two of its parameters, each with several seeds.

    VALUES are a list (V1,V2,...) or LOW:HIGH:STEPS, followed by :log for equal ratios. The exit code is 1 if
    a rule was broken in any run, or if a run did not complete.

    \b
    Examples:
      flintridge lab sweep calm load.rate_per_s=50:400:8 --report load.html
      flintridge lab sweep calm nodes.count=1,2,4 load.shape=flat,bursty --seeds 3 --csv nodes.csv
    """
    check_outputs([json_file, csv_file, report], force)
    from flintridge.lab.experiment.sweep import SweepParameterError, as_csv, as_json, parameter, sweep
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import load

    try:
        swept = sweep(
            scenario,
            [parameter(text) for text in parameters],
            lambda values: load(scenario, [*overrides, *values]),
            seeds_of(seed, count),
            backend=backend,
            workers=workers,
            show=True,
        )
    except SweepParameterError as error:
        raise CommandError(str(error)) from error
    write_json(json_file, lambda: as_json(swept))
    write_text(csv_file, lambda: as_csv(swept))
    write_text(report, lambda: _report(swept))
    tables.print_sweep(swept)
    exit_unless(swept.sound)


def _report(swept: "Sweep") -> str:
    from flintridge.lab.report.html import sweep_report

    return sweep_report(swept)
