"""Groups whose commands are imported when they are asked for, so that none pays for the others' libraries."""

from collections.abc import Mapping
from importlib import import_module
from importlib.util import find_spec
from typing import NamedTuple

import click

from flintridge.cli.exits import errors_as_lines


class LazyCommand(NamedTuple):
    """A command of a group.

    Attributes:
        module: The module that holds it as `command`.
        summary: Its line in the group's help.
    """

    module: str
    summary: str


class LazyGroup(click.Group):
    """A group from a table; a command whose module is not there is not listed."""

    def __init__(
        self, *args: object, table: Mapping[str, LazyCommand] | None = None, **named: object
    ) -> None:
        super().__init__(*args, **named)  # type: ignore[arg-type]  # passed on as they came
        self.table = dict(table or {})

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of those whose module is there, in the order of the table."""
        return [name for name, lazy in self.table.items() if find_spec(lazy.module)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, or None for one that is not in the table."""
        lazy = self.table.get(cmd_name)
        if lazy is None or not find_spec(lazy.module):
            return None
        with errors_as_lines():
            command = import_module(lazy.module).command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """From the table: help must not import what the commands need."""
        names = self.list_commands(ctx)
        with formatter.section("Commands"):
            formatter.write_dl([(name, self.table[name].summary) for name in names])

    def invoke(self, ctx: click.Context) -> object:
        """Run the command, its errors as lines."""
        with errors_as_lines():
            return super().invoke(ctx)
