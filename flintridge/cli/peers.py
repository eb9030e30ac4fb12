"""`flintridge peers`: the other nodes that a running node knows."""

import json

import click

from flintridge.cli.calls import (
    JsonObject,
    call,
    consoles_option,
    format_duration,
    print_columns,
    response_fields,
)
from flintridge.cli.exits import exit_unless

PATH = "/admin/peers"
NO_PEERS = "has no peers: its configuration has no table [peers]"
COLUMNS = ("name", "life", "state", "heard", "told", "round trip", "bytes in", "refused")
DROPPED_PREFIX = "dropped_"


@click.command
@consoles_option
@click.option("--json", "as_json", is_flag=True, help="Print the responses as JSON, one line each.")
@click.option(
    "--least",
    "min_fraction",
    type=click.FloatRange(0, 1),
    help="Exit with 1 if a node reaches less than this fraction of the nodes.",
)
def command(consoles: tuple[str, ...], as_json: bool, min_fraction: float | None) -> None:
    """Show the incarnations that a node knows: their state, and when it last had evidence of each.

    The states are: heard by the node itself, known through others, suspect, silent, or left.

    \b
    Examples:
      flintridge peers --console 127.0.0.1:9100
      flintridge peers --console 127.0.0.1:9100 --console 127.0.0.1:9101 --least 0.5
    """
    reaches_enough = True
    for address in consoles:
        membership = response_fields(address, call(address, PATH), NO_PEERS)
        if min_fraction is not None and membership["heard"] < min_fraction * membership["of"]:
            reaches_enough = False
        if as_json:
            click.echo(json.dumps(membership))
        else:
            _print(membership)
    exit_unless(reaches_enough)


def _print(membership: JsonObject) -> None:
    sealed = "sealed" if membership["sealed"] else "not sealed"
    click.echo(
        f"{membership['name']} ({membership['life']}) of fleet {membership['fleet']}, {sealed}:"
        f" hears {membership['heard']} of {membership['of']} nodes, itself included,"
        f" for {_format_age(membership['heard_for_ms'])};"
        f" evidence over {_format_age(membership['limit_ms'])} old does not count"
    )
    print_columns([COLUMNS, *map(_row, membership["lives"])])
    counts = membership["counts"]
    click.echo(
        f"  bytes out {counts.get('bytes_out', 0)}, in {counts.get('bytes_in', 0)}; at most"
        f" {membership['bytes_per_s']:g} a second out; slowness {membership['slowness']};"
        f" dropped: {_format_dropped(counts)}"
    )


def _row(member: JsonObject) -> tuple[str, ...]:
    round_trip_ms = member.get("round_trip_ms")
    return (
        member["name"],
        member["life"] or "-",
        member["state"],
        _format_age(member.get("heard_ms_ago")),
        _format_age(member.get("told_ms_ago")),
        "-" if round_trip_ms is None else f"{round_trip_ms:g} ms",
        str(member.get("bytes_in", "-")),
        str(member.get("refused", "-")),
    )


def _format_dropped(counts: dict[str, int]) -> str:
    dropped = [
        f"{name.removeprefix(DROPPED_PREFIX)} {count}"
        for name, count in sorted(counts.items())
        if name.startswith(DROPPED_PREFIX)
    ]
    return ", ".join(dropped) or "none"


def _format_age(ms: float | None) -> str:
    return "-" if ms is None else format_duration(ms)
