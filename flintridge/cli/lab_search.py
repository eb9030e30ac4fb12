"""`flintridge lab search`: runs random scenarios and keeps those that fail."""

from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import CommandError, exit_unless
from flintridge.cli.lab_shared import check_outputs, jobs_option, path_option, report_option, write_text
from flintridge.cli.options import backend_option, force_option, seed_option

if TYPE_CHECKING:  # the command imports its dependencies when it runs
    from flintridge.lab.experiment.search_results import Search


@click.command
@click.option(
    "--runs",
    type=click.IntRange(1, 1_000_000),
    default=100,
    show_default=True,
    help="Number of random scenarios.",
)
@seed_option
@path_option("--out", help_text="Folder for the scenarios that are found.", required=True)
@click.option(
    "--minutes",
    type=click.FloatRange(min=0, min_open=True),
    help="Start no run after this many minutes.",
)
@click.option(
    "--keep",
    type=click.IntRange(0),
    default=10,
    show_default=True,
    help="Scenarios to keep that break no rule but fall furthest behind.",
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
    """Run random scenarios, and keep those that break a rule or fall furthest behind.

    They are kept as ordinary scenario files in OUT/kept, each with its result. Called again with the same
    folder and seed, the search continues where it stopped; nothing in the folder is overwritten (--force
    applies only to the report). The exit code is 1 if a rule was broken, or if a run did not complete.

    \b
    Examples:
      flintridge lab search --runs 300 --seed 7 --out found
      flintridge lab search --runs 5000 --seed 8 --minutes 60 --out night
      flintridge lab shrink found/kept/found-7-000042.toml --seed 123 --out small.toml
    """
    check_outputs([report], force)
    from flintridge.lab.experiment.search import search
    from flintridge.lab.experiment.search_directory import SearchDirectoryError
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import dump

    try:
        result = search(
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
        raise CommandError(str(error)) from error
    write_text(report, lambda: _report(result))
    tables.print_search(result, str(out))
    exit_unless(result.sound)


def _report(result: "Search") -> str:
    from flintridge.lab.report.html import search_report

    return search_report(result)
