"""`flintridge run`: the node's program in place of this one."""

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

    The same as PROXY_CONFIG=FILE python -m flintridge, under the same process id. SIGHUP reads the file
    again, SIGUSR1 prints the counters, SIGTERM ends the node once all it has taken is answered.

    \b
    Example:
      flintridge run --config examples/node.toml
    """
    root = str(Path(next(iter(flintridge.__path__))).parent)
    paths = [root, *filter(None, [os.environ.get("PYTHONPATH")])]
    env = {**os.environ, "PROXY_CONFIG": str(config), "PYTHONPATH": os.pathsep.join(paths)}
    # A process of its own code alone: what the command line had to import would stay in memory for good.
    # -P keeps a folder that happens to be called flintridge, in the current one, from being taken for it.
    sys.stdout.flush()
    os.execve(sys.executable, [sys.executable, "-P", "-m", "flintridge"], env)
