"""`flintridge lab show`."""

import click

from flintridge.cli.options import scenario_argument, set_option


@click.command
@scenario_argument
@set_option
@click.option(
    "--all", "with_defaults", is_flag=True, help="Print every value, those left at their defaults too."
)
def command(scenario: str, overrides: tuple[str, ...], with_defaults: bool) -> None:
    """Print SCENARIO, a file or the name of a shipped one, as TOML: to read, or to start one's own from.

    \b
    Examples:
      flintridge lab show calm
      flintridge lab show calm --set nodes.count=5 > mine.toml
    """
    from flintridge.lab.scenario.load import dump, load

    click.echo(dump(load(scenario, list(overrides)), with_defaults=with_defaults), nl=False)
