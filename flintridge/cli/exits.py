"""How commands end: the three exit codes, and the one place where errors become lines.

0: done, and sound. 1: it ran and what it found is bad (a broken rule, an unmet expectation), or it was
interrupted. 2: it could not be done as asked: wrong input, a file that cannot be read or written, a library
that is missing.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum
from pathlib import Path
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """What the process tells its caller."""

    SUCCESS = 0
    FINDING = 1
    INVALID = 2


class CommandError(click.ClickException):
    """What was asked for cannot be done; the message is one line (or one a fault), the exit code 2."""

    exit_code = ExitCode.INVALID

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message to standard error, each line under the program's name."""
        for line in self.message.splitlines():
            click.echo(f"flintridge: {line}", err=True)


class InterruptError(CommandError):
    """The user interrupted the command; exit code 1."""

    exit_code = ExitCode.FINDING


class FileFaults:
    """Collects the faults of several files, so that one error reports all of them."""

    def __init__(self) -> None:
        self._messages: list[str] = []

    @contextmanager
    def collected(self, file: str) -> Iterator[None]:
        """Keep the configuration faults and I/O errors of a block that reads `file`; others pass."""
        try:
            yield
        except OSError as error:
            self._messages.append(f"{file}: {error.strerror or error}")
        except ValueError as error:
            self._messages.append(_config_faults(error))

    def raise_collected(self) -> None:
        """End the command with what was collected.

        Raises:
            CommandError: There was a fault.
        """
        if self._messages:
            raise CommandError("\n".join(self._messages))


@contextmanager
def errors_as_lines() -> Iterator[None]:
    """Errors that a user can do something about, as lines; all others stay the tracebacks that they are."""
    try:
        yield
    except (BrokenPipeError, click.ClickException):  # click's own: whoever read the output has gone, or usage
        raise
    except KeyboardInterrupt:
        raise InterruptError("interrupted") from None
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] == "flintridge":
            raise
        raise CommandError(f"{error.name} is not installed: pip install 'flintridge[lab]'") from error
    except OSError as error:
        prefix = f"{error.filename}: " if error.filename is not None else ""
        raise CommandError(f"{prefix}{error.strerror or error}") from error
    except ValueError as error:
        raise CommandError(_config_faults(error)) from error


def _config_faults(error: ValueError) -> str:
    """The message of configuration faults; any other error is raised again."""
    from flintridge.config.faults import ConfigFaultsError

    if not isinstance(error, ConfigFaultsError):
        raise error
    return str(error)


def output_path(path: str | Path, force: bool = False) -> Path:
    """Check, before any work is done for it, that an output file can be written.

    Args:
        path: The file to write.
        force: Whether a file that exists may be overwritten.

    Returns:
        The path.

    Raises:
        CommandError: The path is a folder, its folder is missing, or it exists and `force` is not given.
    """
    path = Path(path)
    if path.is_dir():
        raise CommandError(f"{path}: is a folder")
    if not path.parent.is_dir():
        raise CommandError(f"{path}: there is no folder {path.parent}")
    if path.exists() and not force:
        raise CommandError(f"{path}: exists already; --force overwrites it")
    return path


def exit_unless(sound: bool) -> None:
    """End the process with the code of a finding, unless what was found is sound."""
    if not sound:
        sys.exit(ExitCode.FINDING)
