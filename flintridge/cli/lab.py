"""`flintridge lab`: each subcommand has its own file and an entry in the table `COMMANDS`."""

import click

from flintridge.cli.lazy import LazyCommand, LazyGroup

COMMANDS = {
    "list": LazyCommand("flintridge.cli.lab_list", "List the scenarios that ship with the lab."),
    "show": LazyCommand(
        "flintridge.cli.lab_show", "Print a scenario as TOML, for example as a template for a new one."
    ),
    "run": LazyCommand("flintridge.cli.lab_run", "Run a scenario and judge it."),
    "compare": LazyCommand(
        "flintridge.cli.lab_compare", "Run two variants with the same seeds, and compare."
    ),
    "sweep": LazyCommand("flintridge.cli.lab_sweep", "Run a scenario with different values of a parameter."),
    "search": LazyCommand("flintridge.cli.lab_search", "Run random scenarios and keep those that fail."),
    "shrink": LazyCommand(
        "flintridge.cli.lab_shrink", "Reduce a failing scenario to a minimal one that still fails."
    ),
    "report": LazyCommand("flintridge.cli.lab_report", "Write the HTML report of a result saved as JSON."),
}


@click.group(cls=LazyGroup, table=COMMANDS)
def command() -> None:
    """Run a whole fleet around the real node, and judge the result.

    A scenario is a TOML file with the fleet, its load and its faults. In virtual time the same scenario and
    seed give the same result, byte for byte.

    \b
    Examples:
      flintridge lab list
      flintridge lab show calm > mine.toml
      flintridge lab run mine.toml --seed 3 --set load.rate_per_s=300
    """
