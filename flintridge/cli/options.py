"""Arguments and options that several commands share, by one name and with one meaning."""

from collections.abc import Callable
from typing import Any, TypeVar

import click
from click.shell_completion import CompletionItem

F = TypeVar("F", bound=Callable[..., Any])


class ScenarioName(click.ParamType[str]):
    """A scenario file or the name of one that ships with the lab; shells complete both."""

    name = "scenario"

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[CompletionItem]:
        """Shipped names that begin so, and files."""
        from flintridge.lab.scenario.load import names

        shipped = [
            CompletionItem(name, help=summary)
            for name, summary in names().items()
            if name.startswith(incomplete)
        ]
        return [*shipped, CompletionItem(incomplete, type="file")]


def scenario_argument(command: F) -> F:
    """SCENARIO, as the parameter `scenario`: a file, or the name of a shipped one."""
    return click.argument("scenario", type=ScenarioName())(command)


def set_option(command: F) -> F:
    """--set PATH=VALUE, any number of times, as the tuple `overrides` for `scenario.load.load`."""
    help_text = "Change one value, as in load.rate_per_s=300 or faults[0].for_s=3. May be repeated."
    return click.option("--set", "overrides", multiple=True, metavar="PATH=VALUE", help=help_text)(command)


def seed_option(command: F) -> F:
    """--seed N, as `seed`; 1 where it is left out."""
    help_text = "All that is drawn comes from it."
    return click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help=help_text)(
        command
    )


def backend_option(command: F) -> F:
    """--backend virtual|loopback, as `backend`."""
    help_text = "Virtual time in one process, or real processes on loopback in real time."
    kinds = click.Choice(["virtual", "loopback"])
    return click.option("--backend", type=kinds, default="virtual", show_default=True, help=help_text)(
        command
    )


def force_option(command: F) -> F:
    """--force, as `force`, for `exits.fresh`."""
    return click.option("--force", is_flag=True, help="Overwrite output files that exist.")(command)
