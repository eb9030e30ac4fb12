"""What the lab's commands share: options for worker processes, seeds and outputs, and writing of outputs."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from flintridge.cli.exits import CommandError, output_path

F = TypeVar("F", bound=Callable[..., Any])


def path_option(*names: str, help_text: str, required: bool = False) -> Callable[[F], F]:
    """Return an option that names a file or a folder, passed to the command as a Path or None."""
    return click.option(*names, type=click.Path(path_type=Path), required=required, help=help_text)


def jobs_option(command: F) -> F:
    """Add the option --jobs N, passed to the command as `workers`."""
    help_text = "Number of worker processes.  [default: one per core]"
    return click.option("--jobs", "workers", type=click.IntRange(1, 1024), default=None, help=help_text)(
        command
    )


def seeds_option(command: F) -> F:
    """Add the option --seeds N, passed to the command as `count`: the number of seeds from --seed on."""
    help_text = "Number of consecutive seeds, starting at --seed."
    kind = click.IntRange(1, 10_000)
    return click.option("--seeds", "count", type=kind, default=5, show_default=True, help=help_text)(command)


def json_option(command: F) -> F:
    """Add the option --json FILE, passed to the command as `json_file`."""
    return path_option("--json", "json_file", help_text="Write the results to this file as JSON.")(command)


def report_option(command: F) -> F:
    """Add the option --report FILE, passed to the command as `report`."""
    help_text = "Write a report to this self-contained HTML file."
    return path_option("--report", help_text=help_text)(command)


def defect_option(command: F) -> F:
    """Add the hidden option --defect NAME, passed to the command as `defect`."""
    help_text = "Plant a defect of flintridge.lab.defects in every node."
    return click.option("--defect", hidden=True, help=help_text)(command)


def check_outputs(paths: list[Path | None], force: bool) -> None:
    """Check, before any run, that outputs can be written, overwrite nothing, and are different files.

    Args:
        paths: The output files; None for an output that is not requested.
        force: Whether existing files may be overwritten.

    Raises:
        CommandError: An output cannot be written, or two name the same file.
    """
    requested = [output_path(path, force) for path in paths if path is not None]
    if len({path.resolve() for path in requested}) < len(requested):
        raise CommandError("two outputs name the same file")


def write_json(path: Path | None, figures: Callable[[], Any]) -> None:
    """Write a result as JSON, if a file is requested.

    Args:
        path: The file, or None.
        figures: Returns the values to write; called only if there is a file.
    """
    if path is None:
        return
    from flintridge.lab.experiment import output

    output.write(path, output.json_text(figures()))


def write_text(path: Path | None, text: Callable[[], str]) -> None:
    """Write a report or table, if a file is requested.

    Args:
        path: The file, or None.
        text: Returns the text to write; called only if there is a file.
    """
    if path is None:
        return
    from flintridge.lab.experiment import output

    output.write(path, text())


def seeds_of(first: int, count: int) -> list[int]:
    """Return `count` consecutive seeds, starting at `first`."""
    return list(range(first, first + count))
