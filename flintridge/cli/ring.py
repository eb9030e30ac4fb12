"""`flintridge ring`: who holds what share of the keys, what a change moves, why a key goes where it does."""

from collections.abc import Callable
from typing import Any, TypeVar

import click

from flintridge.cli.options import force_option

F = TypeVar("F", bound=Callable[..., Any])


@click.group
def command() -> None:
    """Look at the ring that a list of servers makes.

    FILE is a list as discovery gives it (JSON), or a node's configuration in either format, whose `known` is
    such a list. Servers that are not in service and the origin are not on the ring.

    \b
    Examples:
      flintridge ring show examples/servers.json
      flintridge ring diff yesterday.json today.json
      flintridge ring explain menu:17 examples/servers.json --zone east
    """


def origin_option(command: F) -> F:
    """--origin-kind NAME, as `origin_kind`."""
    help_text = "The kind (flavor) of the origin.  [default: as the configuration says; of a list: origin]"
    return click.option("--origin-kind", metavar="NAME", help=help_text)(command)


def json_option(command: F) -> F:
    """--json FILE, as `json_file`."""
    help_text = "Write the figures to this file as JSON too; - prints them in place of the table."
    return click.option("--json", "json_file", metavar="FILE", help=help_text)(command)


@command.command
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--zone", metavar="Z", help="The ring of this zone's servers alone.")
@origin_option
@json_option
@force_option
def show(file: str, zone: str | None, origin_kind: str | None, json_file: str | None, force: bool) -> None:
    """Each server's zone, weight and share of the keys, the largest first.

    `ring` is the exact share by the lengths of arcs, all points counted; `keys` is the share by the points
    that a node counts for the server's weight.

    \b
    Examples:
      flintridge ring show examples/servers.json
      flintridge ring show node.toml --zone east --json shares.json
    """
    from flintridge.cli.ring_output import RingOutput, print_shares

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read
    from flintridge.cli.ring_report import share_report

    report = share_report(read(file, origin_kind), zone)
    output.write_figures(report)
    print_shares(output, report)


@command.command
@click.argument("old", metavar="OLD", type=click.Path())
@click.argument("new", metavar="NEW", type=click.Path())
@click.option(
    "--pairs",
    type=click.IntRange(0),
    default=20,
    show_default=True,
    help="So many rows of the table of moves.",
)
@origin_option
@json_option
@force_option
def diff(old: str, new: str, pairs: int, origin_kind: str | None, json_file: str | None, force: bool) -> None:
    """What a change of the list does: who came, left or changed, and which share of the keys moves.

    Moves are those of a node that has seen OLD and then NEW, with every server well and warm. The least
    possible share is told twice: between the shares that the servers hold before and after, and between
    shares exactly by weight.

    \b
    Examples:
      flintridge ring diff yesterday.json today.json
      flintridge ring diff yesterday.json today.json --pairs 5 --json moves.json
    """
    from flintridge.cli.ring_output import RingOutput, print_moves

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read_all
    from flintridge.cli.ring_report import move_report

    before, after = read_all([old, new], origin_kind)
    report = move_report(before, after)
    output.write_figures(report)
    print_moves(output, report, before, after, pairs)


@command.command
@click.argument("key")
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--zone", metavar="Z", help="Also tell the first server in this zone.")
@click.option(
    "--steps", "count", type=click.IntRange(1), default=5, show_default=True, help="So many servers."
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
    """Why KEY goes where it does: its place, the servers clockwise from it, and what makes a node pass one.

    \b
    Examples:
      flintridge ring explain menu:17 examples/servers.json
      flintridge ring explain menu:17 node.toml --zone east --steps 20
    """
    from flintridge.cli.ring_output import RingOutput, print_walk

    output = RingOutput(json_file, force)
    from flintridge.cli.ring_lists import read
    from flintridge.cli.ring_report import walk_report

    fleet = read(file, origin_kind)
    report = walk_report(fleet, key, zone, count)
    output.write_figures(report)
    print_walk(output, report, len(fleet.caches))
