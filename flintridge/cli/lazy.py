"""Command groups that import a command only when it is used, so that it loads no other one's libraries."""

from collections.abc import Mapping
from importlib import import_module
from importlib.util import find_spec
from typing import NamedTuple

import click

from flintridge.cli.exits import errors_as_lines


class LazyCommand(NamedTuple):
    """A command of a group.

    Attributes:
        module: The module that defines it as `command`.
        summary: The line about it in the group's help.
    """

    module: str
    summary: str


class LazyGroup(click.Group):
    """A group of the commands in a table; a command whose module is not installed is not listed."""

    def __init__(
        self, *args: object, table: Mapping[str, LazyCommand] | None = None, **named: object
    ) -> None:
        super().__init__(*args, **named)  # type: ignore[arg-type]  # passed on unchanged
        self.table = dict(table or {})

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands whose module is installed, in the order of the table."""
        return [name for name, lazy in self.table.items() if find_spec(lazy.module)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None if it is not in the table or its module is not installed."""
        lazy = self.table.get(cmd_name)
        if lazy is None or not find_spec(lazy.module):
            return None
        with errors_as_lines():
            command = import_module(lazy.module).command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the summaries of the table, so that help does not import the commands."""
        names = self.list_commands(ctx)
        with formatter.section("Commands"):
            formatter.write_dl([(name, self.table[name].summary) for name in names])

    def invoke(self, ctx: click.Context) -> object:
        """Run the command, with expected errors converted to messages."""
        with errors_as_lines():
            return super().invoke(ctx)
