"""`flintridge ring`: who holds what share of the keys, what a change moves, why a key goes where it does."""

import json
from collections.abc import Callable, Iterable
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from flintridge.cli.exits import CommandError, output_path
from flintridge.cli.options import force_option

if TYPE_CHECKING:  # what the commands need is imported when one of them runs
    from flintridge.cli.ring_lists import Cache, Fleet

F = TypeVar("F", bound=Callable[..., Any])
Row = dict[str, Any]  # of a table, and of the JSON

NOT_KNOWN = (
    "Not known here: live load and health. A node takes keys from servers that are slow, failing, cold or at "
    "their cap."
)
REASONS = (
    (
        "at its cap",
        "the node has 1.5 times its average of requests out there, by weight and health, and 2 at least",
    ),
    (
        "barred",
        "connections to it failed lately; it is asked again after 1 to 16 s, or when no other is left",
    ),
    ("failed the request", "an attempt of this very request failed there"),
    ("draining", "discovery says terminating or terminated: it is off the ring"),
    ("cold", "it started lately and has had as much work as it may get at once"),
    ("slow or failing", "part of its points do not count until it is well again"),
)


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


def origin_option(call: F) -> F:
    """--origin-kind NAME, as `origin_kind`."""
    told = "The kind (flavor) of the origin.  [default: as the configuration says; of a list: origin]"
    return click.option("--origin-kind", metavar="NAME", help=told)(call)


def json_option(call: F) -> F:
    """--json FILE, as `json_file`."""
    told = "Write the figures to this file as JSON too; - prints them in place of the table."
    return click.option("--json", "json_file", metavar="FILE", help=told)(call)


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
    out = _Output(json_file, force)
    from flintridge.cli import ring_shares as shares
    from flintridge.cli.ring_lists import read

    fleet = read(file, origin_kind)
    # As in a node, a zone's servers are weighed against the heaviest of the whole fleet.
    numbers, top = shares.numbered(fleet), shares.top_weight(fleet)
    caches = _of_zone(fleet, zone)
    ring = shares.lengths(shares.entries(caches, numbers))
    keys = shares.lengths(shares.entries(caches, numbers, top))
    rows: list[Row] = [
        {
            "id": cache.id,
            "zone": cache.zone,
            "weight": cache.weight,
            "points": shares.counted(cache.weight, top),
            "ring_share": ring[numbers[cache.id]] / shares.WHOLE,
            "key_share": keys[numbers[cache.id]] / shares.WHOLE,
        }
        for cache in caches
    ]
    rows.sort(key=lambda row: (-row["key_share"], row["id"]))
    zones = _by_zone(rows)
    out.told(
        {
            "file": file,
            "revision": fleet.revision,
            "zone": zone,
            "servers": rows,
            "zones": zones,
            "off_ring": fleet.off,
            "not_known": NOT_KNOWN,
        }
    )
    out.line(f"{file}: revision {fleet.revision}, {len(rows)} servers on the ring, {len(fleet.off)} off it")
    out.table(
        ("server", "zone", "weight", "points", "ring", "keys"),
        [(r["id"], r["zone"], f"{r['weight']:g}", str(r["points"]), *map(_part, _shares(r))) for r in rows],
    )
    if len(zones) > 1:
        out.table(
            ("zone", "servers", "ring", "keys"),
            [(name, str(z["servers"]), *map(_part, _shares(z))) for name, z in zones.items()],
        )
    out.table(("off the ring", "why"), fleet.off.items())
    out.line(NOT_KNOWN)


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
    out = _Output(json_file, force)
    from flintridge.cli import ring_shares as shares
    from flintridge.cli.ring_lists import read

    a, b = _both(read, old, new, origin_kind)
    found = shares.moves(a, b)
    changes = _changes(a, b)
    told = [{"from": source, "to": target, "share": share} for source, target, share in found.pairs]
    out.told(
        {
            "old": old,
            "new": new,
            "servers": changes,
            "moved": found.moved,
            "least": found.least,
            "least_by_weight": found.least_by_weight,
            "moves": told,
            "not_known": NOT_KNOWN,
        }
    )
    out.line(f"{old}: revision {a.revision}, {len(a.caches)} servers on the ring")
    out.line(f"{new}: revision {b.revision}, {len(b.caches)} servers on the ring")
    out.table(("server", "change", "what"), [(r["id"], r["change"], r["what"]) for r in changes])
    least = f"at least {_part(found.least)} by the shares held, {_part(found.least_by_weight)} by weight"
    out.line(f"keys that move: {_part(found.moved)}; {least}")
    rows = [(source or "no server", target or "no server", _part(s)) for source, target, s in found.pairs]
    out.table(("from", "to", "keys"), rows[:pairs])
    if len(rows) > pairs:
        out.line(f"and {len(rows) - pairs} more pairs: --pairs, or --json for all")
    out.line(NOT_KNOWN)


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
    out = _Output(json_file, force)
    from flintridge.cli.ring_lists import read
    from flintridge.cli.ring_shares import steps
    from flintridge.policy.hash_ring import position_of

    fleet = read(file, origin_kind)
    if zone is not None:
        _of_zone(fleet, zone)
    try:
        place = position_of(key) >> 32
    except UnicodeEncodeError:  # guards against bytes of the command line that are no text
        raise CommandError("KEY is not UTF-8 text") from None
    order = list(steps(fleet, key))
    rows: list[Row] = [
        {
            "step": at,
            "id": step.cache.id,
            "zone": step.cache.zone,
            "weight": step.cache.weight,
            "away": step.away,
            "passed_for_weight": step.by_weight,
        }
        for at, step in enumerate(order, 1)
    ]
    near = next((row for row in rows if row["zone"] == zone), None) if zone is not None else None
    shown = list(islice(rows, count))
    out.told(
        {
            "key": key,
            "place": f"{place:08x}",
            "servers": shown,
            "zone": zone,
            "first_in_zone": near,
            "off_ring": fleet.off,
            "passed_over_when": dict(REASONS),
            "not_known": NOT_KNOWN,
        }
    )
    out.line(f"{key!r} is at {place:08x} of the ring's 00000000 to ffffffff; {len(rows)} servers are on it")
    out.table(
        ("step", "server", "zone", "weight", "away", "note"),
        [(str(r["step"]), r["id"], r["zone"], f"{r['weight']:g}", _part(r["away"]), _note(r)) for r in shown],
    )
    if near is not None:
        out.line(f"first in zone {zone}: {near['id']}, step {near['step']}")
    out.line("A node takes the first of them that it has no reason to pass over:")
    out.table(("reason", "means"), REASONS)
    out.line(NOT_KNOWN)


def _note(row: Row) -> str:
    return "a nearer point does not count: its weight" if row["passed_for_weight"] else ""


def _part(share: float) -> str:
    """A share as it is shown; more digits where servers are many and shares small."""
    return f"{100 * share:.{3 if share >= 0.001 or not share else 6}f}%"


def _shares(row: Row) -> tuple[float, float]:
    return row["ring_share"], row["key_share"]


def _of_zone(fleet: "Fleet", zone: str | None) -> "list[Cache]":
    """Raises CommandError for a zone that no server on the ring is in."""
    found = [cache for cache in fleet.caches if zone is None or cache.zone == zone]
    if zone is not None and not found:
        there = ", ".join(map(repr, fleet.zones)) or "none"
        raise CommandError(f"--zone {zone}: no server on the ring of {fleet.file} is in it; there: {there}")
    return found


def _by_zone(rows: list[Row]) -> dict[str, Row]:
    zones: dict[str, Row] = {}
    for row in sorted(rows, key=lambda row: str(row["zone"])):
        zone = zones.setdefault(row["zone"], {"servers": 0, "ring_share": 0.0, "key_share": 0.0})
        zone["servers"] += 1
        for name in ("ring_share", "key_share"):
            zone[name] += row[name]
    return zones


def _both(
    read: "Callable[[str, str | None], Fleet]", old: str, new: str, origin: str | None
) -> "tuple[Fleet, Fleet]":
    """Both files, or the faults of both together. Raises CommandError."""
    from flintridge.config.faults import ConfigFaultsError

    fleets, faults = [], []
    for file in (old, new):
        try:
            fleets.append(read(file, origin))
        except ConfigFaultsError as error:
            faults.append(str(error))
        except OSError as error:
            faults.append(f"{file}: {error.strerror or error}")
    if faults:
        raise CommandError("\n".join(faults))
    return fleets[0], fleets[1]


def _changes(old: "Fleet", new: "Fleet") -> list[dict[str, str]]:
    """Of servers, as far as the ring and a node's view of them go, by id."""
    was, now = ({cache.id: cache for cache in fleet.caches} for fleet in (old, new))
    found = []
    for server in sorted(was.keys() | now.keys()):
        if server not in was:
            what = f"was {old.off[server]}" if server in old.off else "was not listed"
            found.append({"id": server, "change": "came", "what": what})
        elif server not in now:
            what = f"now {new.off[server]}" if server in new.off else "is not listed any more"
            found.append({"id": server, "change": "left", "what": what})
        elif was[server] != now[server]:
            before, after = was[server]._asdict(), now[server]._asdict()
            parts = [
                f"{name} {before[name]!s} -> {after[name]!s}"
                for name in before
                if before[name] != after[name]
            ]
            found.append({"id": server, "change": "changed", "what": ", ".join(parts)})
    return found


class _Output:
    """Tables and lines on standard output, or figures as JSON: into a file beside them, or instead (-)."""

    def __init__(self, json_file: str | None, force: bool) -> None:
        """Raises CommandError, before any work, for a file that must not be written."""
        self._figures_only = json_file == "-"
        self._file: Path | None = None
        if json_file is not None and not self._figures_only:
            self._file = output_path(json_file, force)

    def told(self, figures: dict[str, Any]) -> None:
        text = json.dumps(figures, indent=2, ensure_ascii=False) + "\n"
        if self._figures_only:
            click.echo(text, nl=False)
        elif self._file is not None:
            self._file.write_text(text, encoding="utf-8")

    def line(self, text: str) -> None:
        if not self._figures_only:
            click.echo(text)

    def table(self, columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> None:
        """Ids, zones and reasons to the left, figures to the right; nothing where there are no rows."""
        rows = list(rows)
        if self._figures_only or not rows:
            return
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text

        made = Table(header_style="bold")
        for column in columns:
            figures = column in ("weight", "points", "ring", "keys", "servers", "step", "away")
            made.add_column(column, justify="right" if figures else "left", overflow="fold")
        for row in rows:
            made.add_row(*(Text(cell) for cell in row))  # not markup: ids may hold brackets
        console = Console(highlight=False)
        # Never narrower than it needs where the output is a file or a pipe.
        (console if console.is_terminal else Console(highlight=False, width=140)).print(made)
