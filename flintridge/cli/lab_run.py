"""`flintridge lab run`."""

import sys
from pathlib import Path

import click

from flintridge.cli.exits import BROKEN
from flintridge.cli.lab_shared import claim, json_option, report_option
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option


@click.command
@scenario_argument
@seed_option
@backend_option
@set_option
@json_option
@report_option
@click.option(
    "--events",
    type=click.Path(path_type=Path),
    help="Write all that was seen to this file, a JSON line each.",
)
@click.option(
    "--trace",
    type=click.Path(path_type=Path),
    help="Write the requests to this file, for another day to replay (load.trace).",
)
@click.option("--defect", hidden=True, help="Plant a defect of flintridge.lab.defects in every node.")
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
    """Play a day and judge it. SCENARIO is a file or the name of a shipped one (`flintridge lab list`).

    The exit code is 1 if a rule is broken, or if the day does not show what the scenario expects of it.

    \b
    Examples:
      flintridge lab run calm
      flintridge lab run mine.toml --seed 3 --report day.html
      flintridge lab run calm --set load.rate_per_s=300 --json day.json --events day.jsonl
    """
    claim([json_file, report, events, trace], force)
    from flintridge.lab.experiment import output
    from flintridge.lab.experiment.jobs import Job, JobFailed
    from flintridge.lab.experiment.pool import run_one
    from flintridge.lab.experiment.stats import unsound_reasons
    from flintridge.lab.report import tables
    from flintridge.lab.result import as_json
    from flintridge.lab.scenario.load import dump, load

    day = load(scenario, list(overrides))
    _known(defect, backend)
    # To files beside them first: a run that ends early must not leave half a one under the name asked for.
    asked = {"events": events, "trace": trace}
    parts = {name: path.with_name(f".{path.name}.part") for name, path in asked.items() if path is not None}
    for part in parts.values():
        part.unlink(missing_ok=True)
    words = {name: str(part.resolve()) for name, part in parts.items()}
    outcome = run_one(
        Job(
            scenario=day,
            seed=seed,
            backend=backend,
            defect=defect,
            events=words.get("events"),
            trace=words.get("trace"),
        )
    )
    if isinstance(outcome, JobFailed):
        for part in parts.values():
            part.unlink(missing_ok=True)
        tables.print_failure(outcome)
        sys.exit(BROKEN)
    for name, part in parts.items():
        if part.exists():
            part.replace(asked[name] or part)
    if json_file is not None:
        output.write(json_file, output.json_text(as_json(outcome)))
    if report is not None:
        from flintridge.lab.report.html import run_report

        output.write(report, run_report(outcome, day, dump(day)))
    unsound = unsound_reasons(outcome, day.expect)
    tables.print_run(outcome, unsound, day.expect.breaks)
    if unsound:
        sys.exit(BROKEN)


def _known(defect: str | None, backend: str) -> None:
    if defect is None:
        return
    from flintridge.lab.defects import DEFECTS

    if defect not in DEFECTS or backend != "virtual":
        raise click.BadParameter(
            f"one of {', '.join(sorted(DEFECTS))}, in virtual time", param_hint="--defect"
        )
