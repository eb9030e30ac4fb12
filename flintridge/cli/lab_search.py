"""`flintridge lab search`."""

import sys
from pathlib import Path

import click

from flintridge.cli.exits import BROKEN, Wrong
from flintridge.cli.lab_shared import claim, jobs_option, path_option, report_option
from flintridge.cli.options import backend_option, force_option, seed_option


@click.command
@click.option(
    "--runs", type=click.IntRange(1, 1_000_000), default=100, show_default=True, help="Days to draw."
)
@seed_option
@path_option("--out", told="Folder for what is found.", required=True)
@click.option(
    "--minutes", type=click.FloatRange(min=0, min_open=True), help="Begin no more days after so long."
)
@click.option(
    "--keep",
    type=click.IntRange(0),
    default=10,
    show_default=True,
    help="Days kept for falling behind alone.",
)
@backend_option
@jobs_option
@report_option
@force_option
def command(
    runs: int,
    seed: int,
    out: Path,
    minutes: float | None,
    keep: int,
    backend: str,
    workers: int | None,
    report: Path | None,
    force: bool,
) -> None:
    """Draw random days, play them, and keep those that break a rule or fall furthest behind.

    Kept days are ordinary scenario files in OUT/kept, each with its result. Called again with the same
    folder and seed it goes on where it was; nothing there is written over (--force is for the report alone).
    The exit code is 1 if a rule was broken, or if a run did not end.

    \b
    Examples:
      flintridge lab search --runs 300 --seed 7 --out found
      flintridge lab search --runs 5000 --seed 8 --minutes 60 --out night
      flintridge lab shrink found/kept/found-7-000042.toml --seed 123 --out small.toml
    """
    claim([report], force)
    from flintridge.lab.experiment import output
    from flintridge.lab.experiment.search import search
    from flintridge.lab.experiment.search_directory import SearchDirectoryError
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import dump

    try:
        found = search(
            out,
            runs=runs,
            seed=seed,
            minutes=minutes,
            keep=keep,
            workers=workers,
            backend=backend,
            dump=dump,
            show=True,
        )
    except SearchDirectoryError as error:
        raise Wrong(str(error)) from error
    if report is not None:
        from flintridge.lab.report.html import search_report

        output.write(report, search_report(found))
    tables.print_search(found, str(out))
    if not found.sound:
        sys.exit(BROKEN)
