"""`flintridge peers`."""

import json
import sys
from typing import Any

import click

from flintridge.cli.calls import call
from flintridge.cli.exits import CommandError, ExitCode

PATH = "/admin/peers"
COLUMNS = ("name", "life", "state", "heard", "told", "round trip", "bytes in", "refused")


@click.command
@click.option(
    "--console", "consoles", multiple=True, required=True, metavar="ADDR", help="A node's; may be repeated."
)
@click.option("--json", "as_json", is_flag=True, help="The consoles' answers, a JSON line each.")
@click.option(
    "--least", type=click.FloatRange(0, 1), help="Exit with 1 where a node hears less than this share."
)
def command(consoles: tuple[str, ...], as_json: bool, least: float | None) -> None:
    """Which lives a node knows: heard itself, through others, suspect, silent or left, and how long ago.

    \b
    Examples:
      flintridge peers --console 127.0.0.1:9100
      flintridge peers --console 127.0.0.1:9100 --console 127.0.0.1:9101 --least 0.5
    """
    low = False
    for address in consoles:
        status, said = call(address, PATH)
        if status == 404:
            raise CommandError(f"{address}: that node has no peers: its configuration has no table [peers]")
        if status != 200:
            raise CommandError(f"{address}: {said.get('error', status)}")
        low |= least is not None and said["heard"] < least * said["of"]
        if as_json:
            click.echo(json.dumps(said))
        else:
            _print(said)
    if low:
        sys.exit(ExitCode.FINDING)


def _print(said: dict[str, Any]) -> None:
    counts = said["counts"]
    sealed = "sealed" if said["sealed"] else "not sealed"
    click.echo(
        f"{said['name']} ({said['life']}) of fleet {said['fleet']}, {sealed}: hears {said['heard']} of"
        f" {said['of']} nodes, itself included, for {_ago(said['heard_for_ms'])}; words over"
        f" {_ago(said['limit_ms'])} old count as none"
    )
    rows = [COLUMNS]
    for one in said["lives"]:
        trip = one.get("round_trip_ms")
        rows.append(
            (
                one["name"],
                one["life"] or "-",
                one["state"],
                _ago(one.get("heard_ms_ago")),
                _ago(one.get("told_ms_ago")),
                "-" if trip is None else f"{trip:g} ms",
                str(one.get("bytes_in", "-")),
                str(one.get("refused", "-")),
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    for row in rows:
        click.echo(
            "  " + "  ".join(f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)).rstrip()
        )
    dropped = {name[8:]: count for name, count in counts.items() if name.startswith("dropped_")}
    refused = ", ".join(f"{name} {count}" for name, count in sorted(dropped.items())) or "none"
    click.echo(
        f"  bytes out {counts.get('bytes_out', 0)}, in {counts.get('bytes_in', 0)}; at most"
        f" {said['bytes_per_s']:g} a second out; slowness {said['slowness']}; dropped: {refused}"
    )


def _ago(ms: float | None) -> str:
    return "-" if ms is None else f"{ms:.0f} ms" if ms < 10_000 else f"{ms / 1000:.0f} s"
