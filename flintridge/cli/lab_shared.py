"""What the lab's longer commands share: how many at once, which seeds, files written at the end."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from flintridge.cli.exits import CommandError, output_path

F = TypeVar("F", bound=Callable[..., Any])


def path_option(*names: str, help_text: str, required: bool = False) -> Callable[[F], F]:
    """An option that names a file or a folder, as a Path or None."""
    return click.option(*names, type=click.Path(path_type=Path), required=required, help=help_text)


def jobs_option(command: F) -> F:
    """--jobs N, as `workers`."""
    help_text = "Worker processes at once.  [default: one a core]"
    return click.option("--jobs", "workers", type=click.IntRange(1, 1024), default=None, help=help_text)(
        command
    )


def seeds_option(command: F) -> F:
    """--seeds N, as `count`: from --seed on."""
    help_text = "So many seeds, counted up from --seed."
    kind = click.IntRange(1, 10_000)
    return click.option("--seeds", "count", type=kind, default=5, show_default=True, help=help_text)(command)


def json_option(command: F) -> F:
    """--json FILE, as `json_file`."""
    return path_option("--json", "json_file", help_text="Write the figures to this file as JSON.")(command)


def report_option(command: F) -> F:
    """--report FILE, as `report`."""
    help_text = "Write a report to this HTML file, which needs nothing beside it."
    return path_option("--report", help_text=help_text)(command)


def defect_option(command: F) -> F:
    """--defect NAME, as `defect`; hidden."""
    help_text = "Plant a defect of flintridge.lab.defects in every node."
    return click.option("--defect", hidden=True, help=help_text)(command)


def check_outputs(paths: list[Path | None], force: bool) -> None:
    """Check, before anything is played, that outputs can be written, overwrite nothing, and differ.

    Args:
        paths: The output files; None for one that was not asked for.
        force: Whether files that exist may be overwritten.

    Raises:
        CommandError: An output cannot be written, or two name the same file.
    """
    requested = [output_path(path, force) for path in paths if path is not None]
    if len({path.resolve() for path in requested}) < len(requested):
        raise CommandError("two outputs name the same file")


def write_json(path: Path | None, figures: Callable[[], Any]) -> None:
    """Write the lab's result as JSON, if a file was asked for.

    Args:
        path: The file, or None.
        figures: Makes what is written; called only if there is a file.
    """
    if path is None:
        return
    from flintridge.lab.experiment import output

    output.write(path, output.json_text(figures()))


def write_text(path: Path | None, text: Callable[[], str]) -> None:
    """Write a report or table, if a file was asked for.

    Args:
        path: The file, or None.
        text: Makes what is written; called only if there is a file.
    """
    if path is None:
        return
    from flintridge.lab.experiment import output

    output.write(path, text())


def seeds_of(first: int, count: int) -> list[int]:
    """`count` seeds from `first` on."""
    return list(range(first, first + count))
