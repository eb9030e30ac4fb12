"""What the lab's longer commands share: how many at once, which seeds, files written at the end."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from flintridge.cli.exits import Wrong, fresh

F = TypeVar("F", bound=Callable[..., Any])


def path_option(*names: str, told: str, required: bool = False) -> Callable[[F], F]:
    """An option that names a file or a folder, as a Path or None."""
    return click.option(*names, type=click.Path(path_type=Path), required=required, help=told)


def jobs_option(call: F) -> F:
    """--jobs N, as `workers`."""
    told = "Worker processes at once.  [default: one a core]"
    return click.option("--jobs", "workers", type=click.IntRange(1, 1024), default=None, help=told)(call)


def seeds_option(call: F) -> F:
    """--seeds N, as `count`: from --seed on."""
    told = "So many seeds, counted up from --seed."
    kind = click.IntRange(1, 10_000)
    return click.option("--seeds", "count", type=kind, default=5, show_default=True, help=told)(call)


def json_option(call: F) -> F:
    """--json FILE, as `json_file`."""
    told = "Write the figures to this file as JSON."
    return path_option("--json", "json_file", told=told)(call)


def report_option(call: F) -> F:
    """--report FILE, as `report`."""
    told = "Write a report to this HTML file, which needs nothing beside it."
    return path_option("--report", told=told)(call)


def claim(paths: list[Path | None], force: bool) -> None:
    """Before anything is played: outputs that can be written, overwrite nothing, and differ. Raises Wrong."""
    named = [fresh(path, force) for path in paths if path is not None]
    if len({path.resolve() for path in named}) < len(named):
        raise Wrong("two outputs name the same file")


def seeds_of(first: int, count: int) -> list[int]:
    """`count` seeds from `first` on."""
    return list(range(first, first + count))
