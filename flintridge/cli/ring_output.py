"""`flintridge ring`: output of reports as tables on standard output, or as JSON."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import output_path

if TYPE_CHECKING:  # a command imports its dependencies when it runs
    from flintridge.cli.ring_lists import Fleet
    from flintridge.cli.ring_report import (
        MoveReport,
        Report,
        ServerShares,
        ShareReport,
        WalkReport,
        ZoneShares,
    )

NUMERIC_COLUMNS = frozenset({"weight", "points", "ring", "keys", "servers", "step", "away"})
PIPE_WIDTH = 140  # characters; wide enough for the tables if the output is a file or a pipe


class RingOutput:
    """Prints tables and lines; writes the report as JSON to a file too, or prints only the JSON (`-`)."""

    def __init__(self, json_file: str | None, force: bool) -> None:
        """Check that the JSON file can be written, before the report is computed.

        Raises:
            CommandError: The file cannot be written, or exists and `force` is not given.
        """
        self._json_only = json_file == "-"
        self._file: Path | None = None
        if json_file is not None and not self._json_only:
            self._file = output_path(json_file, force)

    def write_json(self, report: "Report") -> None:
        """Write the report as JSON, if JSON is requested."""
        text = json.dumps(report.json_object(), indent=2, ensure_ascii=False) + "\n"
        if self._json_only:
            click.echo(text, nl=False)
        elif self._file is not None:
            self._file.write_text(text, encoding="utf-8")

    def print_line(self, text: str) -> None:
        """Print a line, unless only JSON is requested."""
        if not self._json_only:
            click.echo(text)

    def print_table(self, columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> None:
        """Print a table, with text aligned left and numbers right; prints nothing if there are no rows."""
        rows = list(rows)
        if self._json_only or not rows:
            return
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text

        table = Table(header_style="bold")
        for column in columns:
            justify = "right" if column in NUMERIC_COLUMNS else "left"
            table.add_column(column, justify=justify, overflow="fold")  # type: ignore[arg-type]
        for row in rows:
            table.add_row(*(Text(cell) for cell in row))  # not as markup: ids may contain brackets
        console = Console(highlight=False)
        if not console.is_terminal:
            console = Console(highlight=False, width=PIPE_WIDTH)
        console.print(table)


def print_shares(output: RingOutput, report: "ShareReport") -> None:
    """Print the report of `ring show`."""
    output.print_line(
        f"{report.file}: revision {report.revision}, {len(report.servers)} servers on the ring,"
        f" {len(report.off_ring)} off it"
    )
    output.print_table(
        ("server", "zone", "weight", "points", "ring", "keys"),
        [
            (server.id, server.zone, f"{server.weight:g}", str(server.points), *_percentages(server))
            for server in report.servers
        ],
    )
    if len(report.zones) > 1:
        output.print_table(
            ("zone", "servers", "ring", "keys"),
            [(name, str(zone.servers), *_percentages(zone)) for name, zone in report.zones.items()],
        )
    output.print_table(("off the ring", "why"), report.off_ring.items())
    output.print_line(report.not_known)


def print_moves(
    output: RingOutput, report: "MoveReport", before: "Fleet", after: "Fleet", max_pairs: int
) -> None:
    """Print the report of `ring diff`, with at most `max_pairs` rows of moves."""
    for fleet in (before, after):
        output.print_line(f"{fleet.file}: revision {fleet.revision}, {len(fleet.caches)} servers on the ring")
    changes = [(server.id, server.change, server.what) for server in report.servers]
    output.print_table(("server", "change", "what"), changes)
    by_shares = f"at least {percentage(report.least)} for the actual shares"
    by_weight = f"{percentage(report.least_by_weight)} for shares by weight"
    output.print_line(f"keys that move: {percentage(report.moved)}; {by_shares}, {by_weight}")
    rows = [
        (move.source or "no server", move.target or "no server", percentage(move.share))
        for move in report.moves
    ]
    output.print_table(("from", "to", "keys"), rows[:max_pairs])
    if len(rows) > max_pairs:
        output.print_line(f"and {len(rows) - max_pairs} more pairs: --pairs, or --json for all")
    output.print_line(report.not_known)


def print_walk(output: RingOutput, report: "WalkReport", servers: int) -> None:
    """Print the report of `ring explain`; `servers` is the number of servers on the ring."""
    output.print_line(
        f"{report.key!r} is at {report.place} of the ring's 00000000 to ffffffff; {servers} servers are on it"
    )
    rows = []
    for step in report.servers:
        note = "a nearer point is not counted because of its weight" if step.passed_for_weight else ""
        rows.append((str(step.step), step.id, step.zone, f"{step.weight:g}", percentage(step.away), note))
    output.print_table(("step", "server", "zone", "weight", "away", "note"), rows)
    if report.first_in_zone is not None:
        first = report.first_in_zone
        output.print_line(f"first in zone {report.zone}: {first.id}, step {first.step}")
    output.print_line("A node takes the first server that it has no reason to pass over:")
    output.print_table(("reason", "means"), report.passed_over_when.items())
    output.print_line(report.not_known)


def percentage(fraction: float) -> str:
    """Format a fraction as a percentage; small fractions, as with many servers, have more digits."""
    digits = 3 if fraction >= 0.001 or not fraction else 6
    return f"{100 * fraction:.{digits}f}%"


def _percentages(shares: "ServerShares | ZoneShares") -> tuple[str, str]:
    return percentage(shares.ring_share), percentage(shares.key_share)
