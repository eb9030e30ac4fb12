"""`flintridge lab show`: prints a scenario."""

import click

from flintridge.cli.options import scenario_argument, set_option


@click.command
@scenario_argument
@set_option
@click.option(
    "--all", "with_defaults", is_flag=True, help="Print every value, including those left at their defaults."
)
def command(scenario: str, overrides: tuple[str, ...], with_defaults: bool) -> None:
    """Print SCENARIO, a file or the name of a shipped one, as TOML, for example as a template.

    \b
    Examples:
      flintridge lab show calm
      flintridge lab show calm --set nodes.count=5 > mine.toml
    """
    from flintridge.lab.scenario.load import dump, load

    click.echo(dump(load(scenario, list(overrides)), with_defaults=with_defaults), nl=False)
