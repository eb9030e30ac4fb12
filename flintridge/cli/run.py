"""`flintridge run`: replaces this process with the node's program."""

import os
import sys
from pathlib import Path

import click

import flintridge


@click.command
@click.option(
    "--config",
    required=True,
    metavar="FILE",
    type=click.Path(dir_okay=False, path_type=Path),
    help="The configuration: TOML, or the platform's JSON.",
)
def command(config: Path) -> None:
    """Start a node from its configuration FILE and stay in the foreground.

    This is the same as PROXY_CONFIG=FILE python -m flintridge, and keeps the process id. SIGHUP reloads the
    file, SIGUSR1 prints the counters, and SIGTERM ends the node after it has answered all open requests.

    \b
    Example:
      flintridge run --config examples/node.toml
    """
    root = str(Path(next(iter(flintridge.__path__))).parent)
    paths = [root, *filter(None, [os.environ.get("PYTHONPATH")])]
    env = {**os.environ, "PROXY_CONFIG": str(config), "PYTHONPATH": os.pathsep.join(paths)}
    # exec, so that the node's process contains only the node's code: modules that the command line imported
    # would stay in memory. -P prevents the import of a folder named flintridge in the current folder.
    sys.stdout.flush()
    os.execve(sys.executable, [sys.executable, "-P", "-m", "flintridge"], env)
