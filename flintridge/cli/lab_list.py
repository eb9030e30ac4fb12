"""`flintridge lab list`: lists the scenarios that ship with the lab."""

import json

import click


@click.command
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object of names and descriptions.")
def command(as_json: bool) -> None:
    """List the scenarios that ship with the lab, each with a one-line description.

    \b
    Example:
      flintridge lab list
    """
    from flintridge.lab.scenario.load import names

    shipped = names()
    if as_json:
        click.echo(json.dumps(shipped, indent=2))
        return
    width = max(map(len, shipped), default=0)
    for name, summary in shipped.items():
        click.echo(f"{name:{width}}  {summary}".rstrip())
