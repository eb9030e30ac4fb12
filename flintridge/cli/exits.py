"""How commands end: the three exit codes, and the conversion of errors to messages.

0: the command succeeded and found nothing bad. 1: it ran and found something bad (a broken rule, an unmet
expectation), it was interrupted, or its effect is not known. 2: it could not run as requested: invalid input,
a file that cannot be read or written, a missing library.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum
from pathlib import Path
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """The exit codes of the process."""

    SUCCESS = 0
    FINDING = 1
    INVALID = 2


class CommandError(click.ClickException):
    """A command cannot run as requested; the message has one line, or one per fault. The exit code is 2."""

    exit_code = ExitCode.INVALID

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message to standard error, each line prefixed with the program's name."""
        for line in self.message.splitlines():
            click.echo(f"flintridge: {line}", err=True)


class InterruptError(CommandError):
    """The user interrupted the command; exit code 1."""

    exit_code = ExitCode.FINDING


class UncertainEffectError(CommandError):
    """The command has changed something, or may have, and can't tell more; exit code 1."""

    exit_code = ExitCode.FINDING


class FileFaults:
    """Collects the faults of several files, so that one error reports all of them."""

    def __init__(self) -> None:
        self._messages: list[str] = []

    @contextmanager
    def collected(self, file: str) -> Iterator[None]:
        """Collect configuration faults and I/O errors in a block that reads `file`; others propagate."""
        try:
            yield
        except OSError as error:
            self._messages.append(f"{file}: {error.strerror or error}")
        except ValueError as error:
            self._messages.append(_config_faults(error))

    def raise_collected(self) -> None:
        """Raise one error for all collected faults.

        Raises:
            CommandError: At least one fault was collected.
        """
        if self._messages:
            raise CommandError("\n".join(self._messages))


@contextmanager
def errors_as_lines() -> Iterator[None]:
    """Convert errors that a user can correct to CommandError; all others end with a traceback."""
    try:
        yield
    except (BrokenPipeError, click.ClickException):  # click handles both: a closed output and usage errors
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
    """Return the message of configuration faults; any other error is raised again."""
    from flintridge.config.faults import ConfigFaultsError

    if not isinstance(error, ConfigFaultsError):
        raise error
    return str(error)


def output_path(path: str | Path, force: bool = False) -> Path:
    """Check that an output file can be written, before the work that produces it begins.

    Args:
        path: The file to write.
        force: Whether an existing file may be overwritten.

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
    """Exit with `ExitCode.FINDING` unless the result is sound."""
    if not sound:
        sys.exit(ExitCode.FINDING)
