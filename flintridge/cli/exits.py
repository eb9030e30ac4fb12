"""How commands end: the three exit codes, and the one place where errors become lines.

0: done, and sound. 1: it ran and what it found is bad (a broken rule, an unmet expectation), or it was
interrupted. 2: it could not be done as asked: wrong input, a file that cannot be read or written, a library
that is missing.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

OK, BROKEN, WRONG = 0, 1, 2


class Wrong(click.ClickException):
    """What was asked for cannot be done; the message is one line (or one a fault), the exit code 2."""

    exit_code = WRONG

    def show(self, file: object = None) -> None:
        for line in self.message.splitlines():
            click.echo(f"flintridge: {line}", err=True)


class Bad(Wrong):
    """It ran, and what it found is bad; exit code 1."""

    exit_code = BROKEN


@contextmanager
def told() -> Iterator[None]:
    """Errors that a user can do something about, as lines; all others stay the tracebacks that they are."""
    try:
        yield
    except (BrokenPipeError, click.ClickException):  # click's own: whoever read the output has gone, or usage
        raise
    except KeyboardInterrupt:
        raise Bad("interrupted") from None
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] == "flintridge":
            raise
        raise Wrong(f"{error.name} is not installed: pip install 'flintridge[lab]'") from error
    except OSError as error:
        place = f"{error.filename}: " if error.filename is not None else ""
        raise Wrong(f"{place}{error.strerror or error}") from error
    except ValueError as error:
        from flintridge.config.faults import ConfigFaultsError

        if not isinstance(error, ConfigFaultsError):
            raise
        raise Wrong(str(error)) from error


def fresh(path: str | Path, force: bool = False) -> Path:
    """A file to be written that overwrites nothing, or with `force` a file at most. Call it before any work
    is done for it. Raises Wrong."""
    path = Path(path)
    if path.is_dir():
        raise Wrong(f"{path}: is a folder")
    if not path.parent.is_dir():
        raise Wrong(f"{path}: there is no folder {path.parent}")
    if path.exists() and not force:
        raise Wrong(f"{path}: exists already; --force overwrites it")
    return path
