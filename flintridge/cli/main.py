"""The command line's root: `flintridge`."""

import click

from flintridge.cli.lazy import LazyCommand, LazyGroup
from flintridge.cli.version import VERSION

COMMANDS = {
    "run": LazyCommand("flintridge.cli.run", "Start a node from its configuration file."),
    "check": LazyCommand("flintridge.cli.check", "Tell every fault of a configuration or scenario file."),
    "lab": LazyCommand(
        "flintridge.cli.lab", "Play days of a whole fleet round the real node, and judge them."
    ),
    "peers": LazyCommand("flintridge.cli.peers", "Which other nodes a running node hears, and how well."),
    "state": LazyCommand("flintridge.cli.state", "Holds, quotas, stops and notes that all nodes hold."),
    "budgets": LazyCommand(
        "flintridge.cli.budgets", "What a running node holds of the fleet's budgets, and lends."
    ),
    "ring": LazyCommand(
        "flintridge.cli.ring", "Who holds which keys, what a change moves, why a key goes where."
    ),
    "completion": LazyCommand("flintridge.cli.completion", "Print the completion script of a shell."),
}


@click.group(
    cls=LazyGroup,
    table=COMMANDS,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110},
    epilog="Exit codes: 0 all is well; 1 it ran and found something bad; 2 it could not be done as asked.",
)
@click.version_option(VERSION, prog_name="flintridge")
def main() -> None:
    """A node in front of a fleet of cache servers, and the lab to try it in.

    \b
    To begin with:
      flintridge lab list                       the days that ship with the lab
      flintridge lab run calm                   play one and judge it
      flintridge check examples/node.toml       is this configuration sound?
      flintridge run --config examples/node.toml
    """
