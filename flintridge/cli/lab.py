"""`flintridge lab`: a file a subcommand; one more is one more line in the table."""

import click

from flintridge.cli.lazy import LazyCommand, LazyGroup

COMMANDS = {
    "list": LazyCommand("flintridge.cli.lab_list", "List the scenarios that ship with the lab."),
    "show": LazyCommand(
        "flintridge.cli.lab_show", "Print a scenario as TOML, to read or to start one's own from."
    ),
    "run": LazyCommand("flintridge.cli.lab_run", "Play one day and judge it."),
    "compare": LazyCommand("flintridge.cli.lab_compare", "Play two variants under the same seeds."),
    "sweep": LazyCommand("flintridge.cli.lab_sweep", "Play a day over the values of a parameter."),
    "search": LazyCommand("flintridge.cli.lab_search", "Draw random days and keep those that go wrong."),
    "shrink": LazyCommand(
        "flintridge.cli.lab_shrink", "Cut a day that goes wrong to the least that still does."
    ),
    "report": LazyCommand("flintridge.cli.lab_report", "Write the report of a run that was saved as JSON."),
}


@click.group(cls=LazyGroup, table=COMMANDS)
def command() -> None:
    """Play days of a whole fleet round the real node, and judge them.

    A day is a scenario: the fleet, its load and what goes wrong, in a TOML file. The same scenario and seed
    give the same day, to the last byte.

    \b
    Examples:
      flintridge lab list
      flintridge lab show calm > mine.toml
      flintridge lab run mine.toml --seed 3 --set load.rate_per_s=300
    """
