"""`flintridge state`: what operators tell one node and all hold."""

import contextlib
import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import click

from flintridge.cli.calls import (
    OK,
    ConsoleResponse,
    JsonObject,
    call,
    consoles_option,
    duration,
    fields_of,
)
from flintridge.cli.exits import CommandError, ExitCode, errors_as_lines

PATH = "/admin/state"
NO_STATE = "holds no state: its configuration has no table [state]"
POLL_INTERVAL_S = 0.1

Command = Callable[..., None]


@dataclass(frozen=True)
class WriteOptions:
    """What all commands that write take.

    Attributes:
        by: Who writes.
        why: For what reason.
        wait: How many nodes are to have the write before the command ends; None not to wait.
        timeout: Seconds to wait.
        as_json: Whether to print the answer as JSON.
    """

    by: str
    why: str
    wait: int | None
    timeout: float
    as_json: bool


def json_option(command: Command) -> Command:
    """--json, as `as_json`."""
    return click.option("--json", "as_json", is_flag=True, help="The answers, a JSON line each.")(command)


def write_options(command: Command) -> Command:
    """What all that write share, as the fields of WriteOptions."""
    for option in (
        click.option("--timeout", type=click.FloatRange(0.1, 600), default=10.0, help="Seconds, for --wait."),
        click.option(
            "--wait", type=click.IntRange(1), help="Until so many nodes have it; exit code 1 if not in time."
        ),
        click.option("--why", required=True, help="For what reason; in the log of every node."),
        click.option("--by", required=True, help="Who says so; in the log of every node."),
    ):
        command = option(command)
    return command


class StateGroup(click.Group):
    """A group whose commands report errors as lines."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the command, its errors as lines."""
        with errors_as_lines():
            return super().invoke(ctx)


@click.group(cls=StateGroup)
def command() -> None:
    """Holds of cache servers, quotas, stops and notes: said to one node, held by all.

    \b
    Examples:
      flintridge state hold cache-7 --by ann --why "disk full" --console 127.0.0.1:9100 --wait 3
      flintridge state release cache-7 --by ann --why "disk replaced" --console 127.0.0.1:9100
      flintridge state conflicts --console 127.0.0.1:9100
      flintridge state diff --console 127.0.0.1:9100 --console 127.0.0.1:9101
    """


@command.command("get")
@click.option("--type", "type_", help="Only that type.")
@click.option("--name", help="Only that entry; with --type.")
@json_option
@consoles_option
def get(consoles: tuple[str, ...], as_json: bool, type_: str | None, name: str | None) -> None:
    """What a node holds: each entry, with what counts first."""
    if name is not None and type_ is None:
        raise CommandError("--name: needs --type")
    query = {"entries": "1"}
    if type_:
        query["type"] = type_
    if name:
        query["name"] = name
    for address in consoles:
        _show(address, query, as_json)


@command.command("conflicts")
@json_option
@consoles_option
def conflicts(consoles: tuple[str, ...], as_json: bool) -> None:
    """Entries that were written by two who had not seen one another: all sides, what counts first.

    Exits with 1 where there is one. It ends when somebody who sees both writes again.
    """
    shown = [_show(address, {"conflicts": "1"}, as_json) for address in consoles]
    if any(shown):
        sys.exit(ExitCode.FINDING)


@command.command("set")
@click.argument("type_", metavar="TYPE")
@click.argument("name")
@click.option("--body", default="{}", help="A JSON object, as '{\"factor\": 0.5}'.")
@click.option("--for", "for_s", type=click.FloatRange(0, min_open=True), help="Seconds; else for ever.")
@click.option("--delete", is_flag=True, help="The entry is to be gone.")
@json_option
@write_options
@consoles_option
def set_(
    consoles: tuple[str, ...],
    type_: str,
    name: str,
    body: str,
    for_s: float | None,
    delete: bool,
    **options: Any,
) -> None:
    """Write an entry: `quota TENANT`, `stop NAME`, `note NAME`, `hold SERVER`."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise CommandError(f"--body: is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise CommandError("--body: must be a JSON object")
    entry = {"type": type_, "name": name, "body": fields, "delete": delete}
    _write(consoles, entry, for_s, WriteOptions(**options))


@command.command("hold")
@click.argument("server")
@click.option("--for", "for_s", type=click.FloatRange(0, min_open=True), help="Seconds; else until released.")
@json_option
@write_options
@consoles_option
def hold(consoles: tuple[str, ...], server: str, for_s: float | None, **options: Any) -> None:
    """Hold a cache server out: no node sends anything new there."""
    entry = {"type": "hold", "name": server, "body": {"held": True}}
    _write(consoles, entry, for_s, WriteOptions(**options))


@command.command("release")
@click.argument("server")
@json_option
@write_options
@consoles_option
def release(consoles: tuple[str, ...], server: str, **options: Any) -> None:
    """Let a cache server back in, as far as the list of each node has it in service."""
    entry = {"type": "hold", "name": server, "body": {"held": False}, "delete": True}
    _write(consoles, entry, None, WriteOptions(**options))


@command.command("diff")
@json_option
@consoles_option
def diff(consoles: tuple[str, ...], as_json: bool) -> None:
    """Whether several nodes hold the same; else what differs, and since when. Exits with 1 then."""
    if len(consoles) < 2:
        raise CommandError("--console: two or more are compared")
    replicas = [_read(address, {"digests": "1"}) for address in consoles]
    differences: list[JsonObject] = []
    for bucket, digests in enumerate(zip(*(replica["digests"] for replica in replicas), strict=True)):
        if len(set(digests)) > 1:
            differences += _differences(consoles, bucket)
    names = [replica["name"] for replica in replicas]
    if as_json:
        click.echo(json.dumps({"nodes": names, "differ": differences}))
    elif differences:
        _print_differences(differences)
    else:
        click.echo(f"{', '.join(names)}: the same, {replicas[0]['entries']} entries")
    if differences:
        sys.exit(ExitCode.FINDING)


def _print_differences(differences: list[JsonObject]) -> None:
    for entry in differences:
        newest = duration(entry["newest_ms"])
        click.echo(f"{entry['type']} {entry['name']}: differs, the newest write {newest} ago")
        for address, versions in entry["nodes"].items():
            click.echo(f"  {address}: {versions}")


def _differences(consoles: tuple[str, ...], bucket: int) -> list[JsonObject]:
    """The entries of a bucket whose versions are not the same at all consoles."""
    versions_by_console: list[dict[tuple[str, str], list[JsonObject]]] = []
    for address in consoles:
        entries = _entries(address, {"bucket": str(bucket)})
        versions_by_console.append({(entry["type"], entry["name"]): entry["versions"] for entry in entries})
    differences = []
    for key in sorted({key for by_key in versions_by_console for key in by_key}):
        held = [by_key.get(key, []) for by_key in versions_by_console]
        if len({tuple(sorted(version["dot"] for version in versions)) for versions in held}) == 1:
            continue
        entry_type, name = key
        differences.append(
            {
                "type": entry_type,
                "name": name,
                "newest_ms": min(version["age_ms"] for versions in held for version in versions),
                "nodes": {
                    address: "; ".join(map(_line, versions)) or "nothing"
                    for address, versions in zip(consoles, held, strict=True)
                },
            }
        )
    return differences


def _read(address: str, query: dict[str, str]) -> JsonObject:
    return fields_of(address, call(address, f"{PATH}?{urlencode(query)}"), NO_STATE)


def _entries(address: str, query: dict[str, str]) -> list[JsonObject]:
    """All entries that the query selects, page by page."""
    entries: list[JsonObject] = []
    after: int | None = 0
    while after is not None:
        page = _read(address, query | {"after": str(after)})
        entries += page["page"]
        after = page["next"]
    return entries


def _show(address: str, query: dict[str, str], as_json: bool) -> bool:
    """Print the entries that the query selects. Returns whether there was any."""
    replica = _read(address, {})
    entries = _entries(address, query)
    if as_json:
        click.echo(json.dumps(replica | {"page": entries}))
        return bool(entries)
    click.echo(
        f"{replica['name']} ({replica['life']}): {replica['standing']}, {replica['entries']} of"
        f" {replica['of']} entries, conflicts {replica['conflicts']}, hears {replica['heard']} nodes"
    )
    for entry in entries:
        _print_entry(entry)
    return bool(entries)


def _print_entry(entry: JsonObject) -> None:
    unknown = "" if entry["known"] else " (a type that this version does not know)"
    over = "" if entry["holds"] else ": over"
    click.echo(f"  {entry['type']} {entry['name']}{unknown}{over}")
    versions = entry["versions"]
    if len(versions) == 1:
        click.echo(f"    {_line(versions[0])}")
        return
    for index, version in enumerate(versions):
        prefix = "counts: " if index == 0 else "against: "
        click.echo(f"    {prefix}{_line(version)}")


def _line(version: JsonObject) -> str:
    what = "deleted" if version["deleted"] else json.dumps(version["body"])
    ends = "" if version["ends_in_ms"] is None else f", ends in {duration(version['ends_in_ms'])}"
    age = duration(version["age_ms"])
    return f"{what} by {version['by']}: {version['why']} ({age} ago{ends}, {version['dot']})"


def _write(consoles: tuple[str, ...], entry: JsonObject, for_s: float | None, options: WriteOptions) -> None:
    """Write an entry at the first of the consoles that answers, and wait until enough nodes have it."""
    body = entry | {"by": options.by, "why": options.why}
    if for_s is not None:
        body["lasts_ms"] = for_s * 1000
    address, response = _post(consoles, body)
    written = fields_of(address, response, NO_STATE)
    node_count = _wait(address, written, options)
    if options.as_json:
        click.echo(json.dumps(written | {"had": node_count}))
    else:
        click.echo(f"{written['name']}: written, write {written['write']}; {node_count} known to have it")
    if options.wait is not None and node_count < options.wait:
        click.echo(
            f"flintridge: {node_count} and not {options.wait} nodes have it after {options.timeout:g} s;"
            " it stays written",
            err=True,
        )
        sys.exit(ExitCode.FINDING)


def _post(consoles: tuple[str, ...], body: JsonObject) -> tuple[str, ConsoleResponse]:
    """The first console that answers, and what it answered. Raises CommandError if none does."""
    for address in consoles[:-1]:
        with contextlib.suppress(CommandError):
            return address, call(address, PATH, "POST", body)
    return consoles[-1], call(consoles[-1], PATH, "POST", body)


def _wait(address: str, written: JsonObject, options: WriteOptions) -> int:
    """Poll until enough nodes have a write, or the time is over. Returns how many are known to have it."""
    node_count = 1
    if options.wait is None:
        return node_count
    deadline = time.monotonic() + options.timeout
    while node_count < options.wait and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        response = call(address, f"{PATH}/had?write={written['write']}")
        if response.status != OK or response.fields["life"] != written["life"]:
            raise CommandError(f"{address}: that process has ended; who has the write is not known")
        node_count = response.fields["had"]
    return node_count
