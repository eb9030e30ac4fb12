"""`flintridge ring`: the servers' shares of the keys, the keys that a change moves, and a key's servers."""

from collections.abc import Callable
from typing import Any, TypeVar

import click

from flintridge.cli.options import force_option

F = TypeVar("F", bound=Callable[..., Any])


@click.group
def command() -> None:
    """Inspect the ring of a list of servers.

    FILE is a list in discovery's format (JSON), or a node's configuration in either format, whose `known` is
    such a list. Servers that are not in service and the origin are not on the ring.

    \b
    Examples:
      flintridge ring show examples/servers.json
      flintridge ring diff yesterday.json today.json
      flintridge ring explain menu:17 examples/servers.json --zone east
    """


def origin_option(command: F) -> F:
    """Add the option --origin-kind NAME, passed to the command as `origin_kind`."""
    help_text = "The kind (flavor) of the origin.  [default: from the configuration; for a list: origin]"
    return click.option("--origin-kind", metavar="NAME", help=help_text)(command)


def json_option(command: F) -> F:
    """Add the option --json FILE, passed to the command as `json_file`."""
    help_text = "Also write the report to this file as JSON; - prints JSON in place of the table."
    return click.option("--json", "json_file", metavar="FILE", help=help_text)(command)


@command.command
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--zone", metavar="Z", help="Show the ring of this zone's servers only.")
@origin_option
@json_option
@force_option
def show(file: str, zone: str | None, origin_kind: str | None, json_file: str | None, force: bool) -> None:
    """Show each server's zone, weight and share of the keys, the largest first.

    `ring` is the exact share by the lengths of arcs, with all points counted; `keys` is the share by the
    points that a node counts for the server's weight.

    \b
    Examples:
      flintridge ring show examples/servers.json
      flintridge ring show node.toml --zone east --json shares.json
    """
    from flintridge.cli.ring_output import RingOutput, print_shares

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read_fleet
    from flintridge.cli.ring_report import share_report

    report = share_report(read_fleet(file, origin_kind), zone)
    output.write_json(report)
    print_shares(output, report)


@command.command
@click.argument("old", metavar="OLD", type=click.Path())
@click.argument("new", metavar="NEW", type=click.Path())
@click.option(
    "--pairs",
    type=click.IntRange(0),
    default=20,
    show_default=True,
    help="Maximum number of rows in the table of moves.",
)
@origin_option
@json_option
@force_option
def diff(old: str, new: str, pairs: int, origin_kind: str | None, json_file: str | None, force: bool) -> None:
    """Show which servers a change of the list adds, removes or changes, and the share of the keys that moves.

    The moves are those of a node that has seen OLD and then NEW, with every server healthy and warmed up. The
    minimum possible share is shown twice: for the servers' actual shares before and after the change, and for
    shares exactly proportional to weight.

    \b
    Examples:
      flintridge ring diff yesterday.json today.json
      flintridge ring diff yesterday.json today.json --pairs 5 --json moves.json
    """
    from flintridge.cli.ring_output import RingOutput, print_moves

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read_fleets
    from flintridge.cli.ring_report import move_report

    before, after = read_fleets([old, new], origin_kind)
    report = move_report(before, after)
    output.write_json(report)
    print_moves(output, report, before, after, pairs)


@command.command
@click.argument("key")
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--zone", metavar="Z", help="Also show the first server in this zone.")
@click.option(
    "--steps", "count", type=click.IntRange(1), default=5, show_default=True, help="Number of servers."
)
@origin_option
@json_option
@force_option
def explain(
    key: str,
    file: str,
    zone: str | None,
    count: int,
    origin_kind: str | None,
    json_file: str | None,
    force: bool,
) -> None:
    """Show KEY's position, the servers clockwise from it, and the reasons why a node passes over a server.

    \b
    Examples:
      flintridge ring explain menu:17 examples/servers.json
      flintridge ring explain menu:17 node.toml --zone east --steps 20
    """
    from flintridge.cli.ring_output import RingOutput, print_walk

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read_fleet
    from flintridge.cli.ring_report import walk_report

    fleet = read_fleet(file, origin_kind)
    report = walk_report(fleet, key, zone, count)
    output.write_json(report)
    print_walk(output, report, len(fleet.caches))
