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
        from flintridge.lab.scenario.load import names

        shipped = [
            CompletionItem(name, help=about) for name, about in names().items() if name.startswith(incomplete)
        ]
        return [*shipped, CompletionItem(incomplete, type="file")]


def scenario_argument(call: F) -> F:
    """SCENARIO, as the parameter `scenario`: a file, or the name of a shipped one."""
    return click.argument("scenario", type=ScenarioName())(call)


def set_option(call: F) -> F:
    """--set PATH=VALUE, any number of times, as the tuple `overrides` for `scenario.load.load`."""
    told = "Change one value, as in load.rate_per_s=300 or faults[0].for_s=3. May be repeated."
    return click.option("--set", "overrides", multiple=True, metavar="PATH=VALUE", help=told)(call)


def seed_option(call: F) -> F:
    """--seed N, as `seed`; 1 where it is left out."""
    told = "All that is drawn comes from it."
    return click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help=told)(call)


def backend_option(call: F) -> F:
    """--backend virtual|loopback, as `backend`."""
    told = "Virtual time in one process, or real processes on loopback in real time."
    kinds = click.Choice(["virtual", "loopback"])
    return click.option("--backend", type=kinds, default="virtual", show_default=True, help=told)(call)


def force_option(call: F) -> F:
    """--force, as `force`, for `exits.fresh`."""
    return click.option("--force", is_flag=True, help="Overwrite output files that exist.")(call)
