"""`flintridge lab sweep`."""

import sys
from pathlib import Path

import click

from flintridge.cli.exits import BROKEN, Wrong
from flintridge.cli.lab_shared import claim, jobs_option, json_option, report_option, seeds_of, seeds_option
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option


@click.command
@scenario_argument
@click.argument("parameters", nargs=-1, required=True, metavar="PATH=VALUES...")
@set_option
@seed_option
@seeds_option
@backend_option
@jobs_option
@json_option
@click.option("--csv", "csv_file", type=click.Path(path_type=Path), help="Write a line a point to this file.")
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
    """Play SCENARIO over the values of one or two of its parameters, under some seeds each.

    VALUES are a list (V1,V2,...) or LOW:HIGH:STEPS, with :log behind it for equal ratios. The exit code is 1
    if a rule broke anywhere, or if a run did not end.

    \b
    Examples:
      flintridge lab sweep calm load.rate_per_s=50:400:8 --report load.html
      flintridge lab sweep calm nodes.count=1,2,4 load.shape=flat,bursty --seeds 3 --csv nodes.csv
    """
    claim([json_file, csv_file, report], force)
    from flintridge.lab.experiment import output
    from flintridge.lab.experiment.sweep import SweepParameterError, as_csv, as_json, parameter, sweep
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import load

    try:
        found = sweep(
            scenario,
            [parameter(text) for text in parameters],
            lambda values: load(scenario, [*overrides, *values]),
            seeds_of(seed, count),
            backend=backend,
            workers=workers,
            show=True,
        )
    except SweepParameterError as error:
        raise Wrong(str(error)) from error
    if json_file is not None:
        output.write(json_file, output.json_text(as_json(found)))
    if csv_file is not None:
        output.write(csv_file, as_csv(found))
    if report is not None:
        from flintridge.lab.report.html import sweep_report

        output.write(report, sweep_report(found))
    tables.print_sweep(found)
    if not found.sound:
        sys.exit(BROKEN)
