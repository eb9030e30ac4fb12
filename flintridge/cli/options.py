"""Arguments and options that several commands share."""

from collections.abc import Callable
from typing import Any, TypeVar

import click
from click.shell_completion import CompletionItem

F = TypeVar("F", bound=Callable[..., Any])


class ScenarioName(click.ParamType[str]):
    """A scenario file or the name of a scenario that ships with the lab; shells complete both."""

    name = "scenario"

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[CompletionItem]:
        """Return the shipped names that start with `incomplete`, and let the shell complete files."""
        from flintridge.lab.scenario.load import names

        shipped = [
            CompletionItem(name, help=summary)
            for name, summary in names().items()
            if name.startswith(incomplete)
        ]
        return [*shipped, CompletionItem(incomplete, type="file")]


def scenario_argument(command: F) -> F:
    """Add the argument SCENARIO, passed to the command as `scenario`: a file or the name of a shipped one."""
    return click.argument("scenario", type=ScenarioName())(command)


def set_option(command: F) -> F:
    """Add the repeatable option --set PATH=VALUE, passed as the tuple `overrides` for `load.load`."""
    help_text = "Change one value, as in load.rate_per_s=300 or faults[0].for_s=3. May be repeated."
    return click.option("--set", "overrides", multiple=True, metavar="PATH=VALUE", help=help_text)(command)


def seed_option(command: F) -> F:
    """Add the option --seed N, passed to the command as `seed`; the default is 1."""
    help_text = "Seed of all random numbers."
    return click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help=help_text)(
        command
    )


def backend_option(command: F) -> F:
    """Add the option --backend virtual|loopback, passed to the command as `backend`."""
    help_text = "Virtual time in one process, or real processes on loopback in real time."
    kinds = click.Choice(["virtual", "loopback"])
    return click.option("--backend", type=kinds, default="virtual", show_default=True, help=help_text)(
        command
    )


def force_option(command: F) -> F:
    """Add the option --force, passed to the command as `force`, for `exits.output_path`."""
    return click.option("--force", is_flag=True, help="Overwrite existing output files.")(command)
