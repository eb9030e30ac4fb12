"""`flintridge check`: validates configuration and scenario files."""

import json

import click

from flintridge.cli.exits import FileFaults


@click.command
@click.argument("files", nargs=-1, metavar="FILE...", type=click.Path())
@click.option("--schema", is_flag=True, help="Print the JSON Schema of the format instead, for editors.")
@click.option("--scenario", is_flag=True, help="Check scenarios of the lab instead of configurations.")
def command(files: tuple[str, ...], schema: bool, scenario: bool) -> None:
    """Report every fault of each FILE, one line per fault. The exit code is 2 if there is any.

    A node's configuration is TOML (or JSON of the same structure), or the platform's JSON. Files are never
    changed.

    \b
    Examples:
      flintridge check examples/node.toml
      flintridge check --scenario mine.toml
      flintridge check --schema > node.schema.json
    """
    if schema:
        _print_schema(scenario)
        return
    if not files:
        raise click.UsageError("name a FILE to check, or --schema")
    faults = FileFaults()
    for file in files:
        with faults.collected(file):
            click.echo(_valid_file_line(file, scenario))
    faults.raise_collected()


def _valid_file_line(file: str, scenario: bool) -> str:
    """Return the line for a valid file. Raises ConfigFaultsError or OSError for any other."""
    if scenario:
        from flintridge.lab.scenario.load import load

        loaded = load(file)
        content = f"{loaded.length_s:g} s, {loaded.nodes.count} nodes, {len(loaded.faults)} faults"
        return f"{file}: valid: scenario {loaded.name}, {content}"
    from flintridge.config.check import check_file

    return f"{file}: valid: {check_file(file)}"


def _print_schema(scenario: bool) -> None:
    import msgspec

    if scenario:
        from flintridge.lab.scenario.model import Scenario as Model
    else:
        from flintridge.config.model import NodeFile as Model  # type: ignore[assignment]
    click.echo(json.dumps(msgspec.json.schema(Model), indent=2))
