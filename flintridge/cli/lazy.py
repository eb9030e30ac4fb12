"""Groups whose commands are imported when they are asked for, so that none pays for the others' libraries."""

from collections.abc import Mapping
from importlib import import_module
from importlib.util import find_spec
from typing import NamedTuple

import click

from flintridge.cli.exits import told


class Lazy(NamedTuple):
    """A command: `module` holds it as `command`. `about` is its line in the group's help."""

    module: str
    about: str


class LazyGroup(click.Group):
    """A group from a table; a command whose module is not there is not listed."""

    def __init__(self, *args: object, table: Mapping[str, Lazy] | None = None, **named: object) -> None:
        super().__init__(*args, **named)  # type: ignore[arg-type]  # passed on as they came
        self.table = dict(table or {})

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [name for name, lazy in self.table.items() if find_spec(lazy.module)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        lazy = self.table.get(cmd_name)
        if lazy is None or not find_spec(lazy.module):
            return None
        with told():
            command = import_module(lazy.module).command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """From the table: help must not import what the commands need."""
        names = self.list_commands(ctx)
        with formatter.section("Commands"):
            formatter.write_dl([(name, self.table[name].about) for name in names])

    def invoke(self, ctx: click.Context) -> object:
        with told():
            return super().invoke(ctx)
