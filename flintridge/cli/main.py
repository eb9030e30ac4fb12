"""The command line's root: `flintridge`."""

import click

from flintridge.cli.lazy import LazyCommand, LazyGroup
from flintridge.cli.version import VERSION

COMMANDS = {
    "run": LazyCommand("flintridge.cli.run", "Start a node from its configuration file."),
    "check": LazyCommand("flintridge.cli.check", "Report every fault of configuration or scenario files."),
    "lab": LazyCommand("flintridge.cli.lab", "Run a whole fleet around the real node, and judge the result."),
    "peers": LazyCommand(
        "flintridge.cli.peers", "Show which other nodes a running node reaches, and how well."
    ),
    "state": LazyCommand(
        "flintridge.cli.state", "Read and write the holds, quotas, stops and notes of a fleet."
    ),
    "budgets": LazyCommand(
        "flintridge.cli.budgets", "Show a running node's parts of the fleet's budgets, and its loans."
    ),
    "ring": LazyCommand(
        "flintridge.cli.ring",
        "Show the servers' shares of the keys, what a change moves, and a key's servers.",
    ),
    "completion": LazyCommand("flintridge.cli.completion", "Print the completion script for a shell."),
}


@click.group(
    cls=LazyGroup,
    table=COMMANDS,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110},
    epilog="Exit codes: 0 success; 1 it ran and found something bad; 2 it could not run as requested.",
)
@click.version_option(VERSION, prog_name="flintridge")
def main() -> None:
    """A node in front of a fleet of cache servers, and the lab that tests it.

    \b
    First steps:
      flintridge lab list                       list the scenarios that ship with the lab
      flintridge lab run calm                   run one and judge it
      flintridge check examples/node.toml       validate a configuration
      flintridge run --config examples/node.toml
    """
