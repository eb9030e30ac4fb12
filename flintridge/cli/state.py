"""`flintridge state`: the state that operators write at one node and all nodes replicate."""

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
    SERVICE_UNAVAILABLE,
    ConsoleResponse,
    JsonObject,
    UnansweredCallError,
    call,
    consoles_option,
    format_duration,
    response_fields,
)
from flintridge.cli.exits import CommandError, ExitCode, UncertainEffectError, errors_as_lines

PATH = "/admin/state"
NO_STATE = "has no state: its configuration has no table [state]"
POLL_INTERVAL_S = 0.1

Command = Callable[..., None]


@dataclass(frozen=True)
class WriteOptions:
    """The options that all commands that write have in common.

    Attributes:
        by: The author of the write.
        why: The reason for the write.
        wait: How many nodes must have the write before the command ends; None: do not wait.
        timeout: The maximum time to wait, in seconds.
        as_json: Whether to print the response as JSON.
    """

    by: str
    why: str
    wait: int | None
    timeout: float
    as_json: bool


def json_option(command: Command) -> Command:
    """Add the option --json, passed to the command as `as_json`."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print the responses as JSON, one line each."
    )(command)


def write_options(command: Command) -> Command:
    """Add the options of commands that write, passed as the fields of WriteOptions."""
    for option in (
        click.option("--timeout", type=click.FloatRange(0.1, 600), default=10.0, help="Seconds, for --wait."),
        click.option(
            "--wait",
            type=click.IntRange(1),
            help="Wait until this many nodes have it; exit with 1 on timeout.",
        ),
        click.option("--why", required=True, help="The reason; written to every node's log."),
        click.option("--by", required=True, help="The author; written to every node's log."),
    ):
        command = option(command)
    return command


class StateGroup(click.Group):
    """A group whose commands report expected errors as messages."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the command, with expected errors converted to messages."""
        with errors_as_lines():
            return super().invoke(ctx)


@click.group(cls=StateGroup)
def command() -> None:
    """Read and write holds of cache servers, quotas, stops and notes: written at one node, replicated by all.

    \b
    Examples:
      flintridge state hold cache-7 --by ann --why "disk full" --console 127.0.0.1:9100 --wait 3
      flintridge state release cache-7 --by ann --why "disk replaced" --console 127.0.0.1:9100
      flintridge state conflicts --console 127.0.0.1:9100
      flintridge state diff --console 127.0.0.1:9100 --console 127.0.0.1:9101
    """


@command.command("get")
@click.option("--type", "type_", help="Only entries of this type.")
@click.option("--name", help="Only this entry; needs --type.")
@json_option
@consoles_option
def get(consoles: tuple[str, ...], as_json: bool, type_: str | None, name: str | None) -> None:
    """Show a node's entries, each with the version that is in effect first."""
    if name is not None and type_ is None:
        raise CommandError("--name: needs --type")
    query = {"entries": "1"}
    if type_:
        query["type"] = type_
    if name:
        query["name"] = name
    for address in consoles:
        _print_selected(address, query, as_json)


@command.command("conflicts")
@json_option
@consoles_option
def conflicts(consoles: tuple[str, ...], as_json: bool) -> None:
    """Show entries with concurrent writes: all versions, the one that is in effect first.

    Exits with 1 if there is any. A conflict ends with a write at a node that has both versions.
    """
    conflicts_found = [_print_selected(address, {"conflicts": "1"}, as_json) for address in consoles]
    if any(conflicts_found):
        sys.exit(ExitCode.FINDING)


@command.command("set")
@click.argument("type_", metavar="TYPE")
@click.argument("name")
@click.option("--body", default="{}", help="A JSON object, as '{\"factor\": 0.5}'.")
@click.option(
    "--for", "for_s", type=click.FloatRange(0, min_open=True), help="Seconds; by default without end."
)
@click.option("--delete", is_flag=True, help="Delete the entry.")
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
    """Hold a cache server out of service: no node sends new attempts there."""
    entry = {"type": "hold", "name": server, "body": {"held": True}}
    _write(consoles, entry, for_s, WriteOptions(**options))


@command.command("release")
@click.argument("server")
@json_option
@write_options
@consoles_option
def release(consoles: tuple[str, ...], server: str, **options: Any) -> None:
    """Return a cache server to service, at each node whose endpoint list has it in service."""
    entry = {"type": "hold", "name": server, "body": {"held": False}, "delete": True}
    _write(consoles, entry, None, WriteOptions(**options))


@command.command("diff")
@json_option
@consoles_option
def diff(consoles: tuple[str, ...], as_json: bool) -> None:
    """Compare the replicas of several nodes: what differs and since when. Exits with 1 if they differ."""
    if len(consoles) < 2:
        raise CommandError("--console: give two or more to compare")
    replicas = [_read(address, {"digests": "1"}) for address in consoles]
    differences: list[JsonObject] = []
    for bucket, digests in enumerate(zip(*(replica["digests"] for replica in replicas), strict=True)):
        if len(set(digests)) > 1:
            differences += _differing_entries(consoles, bucket)
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
        newest = format_duration(entry["newest_ms"])
        click.echo(f"{entry['type']} {entry['name']}: differs, the newest write {newest} ago")
        for address, versions in entry["nodes"].items():
            click.echo(f"  {address}: {versions}")


def _differing_entries(consoles: tuple[str, ...], bucket: int) -> list[JsonObject]:
    """Return the entries of a bucket whose versions are not the same at all consoles."""
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
                    address: "; ".join(map(_format_version, versions)) or "nothing"
                    for address, versions in zip(consoles, held, strict=True)
                },
            }
        )
    return differences


def _read(address: str, query: dict[str, str]) -> JsonObject:
    return response_fields(address, call(address, f"{PATH}?{urlencode(query)}"), NO_STATE)


def _entries(address: str, query: dict[str, str]) -> list[JsonObject]:
    """Read all entries that the query selects, page by page."""
    entries: list[JsonObject] = []
    after: int | None = 0
    while after is not None:
        page = _read(address, query | {"after": str(after)})
        entries += page["page"]
        after = page["next"]
    return entries


def _print_selected(address: str, query: dict[str, str], as_json: bool) -> bool:
    """Print the entries that the query selects, and return whether there is any."""
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
    unknown = "" if entry["known"] else " (a type unknown to this version)"
    over = "" if entry["holds"] else ": not in effect"
    click.echo(f"  {entry['type']} {entry['name']}{unknown}{over}")
    versions = entry["versions"]
    if len(versions) == 1:
        click.echo(f"    {_format_version(versions[0])}")
        return
    for index, version in enumerate(versions):
        prefix = "counts: " if index == 0 else "against: "
        click.echo(f"    {prefix}{_format_version(version)}")


def _format_version(version: JsonObject) -> str:
    what = "deleted" if version["deleted"] else json.dumps(version["body"])
    ends = "" if version["ends_in_ms"] is None else f", ends in {format_duration(version['ends_in_ms'])}"
    age = format_duration(version["age_ms"])
    return f"{what} by {version['by']}: {version['why']} ({age} ago{ends}, {version['dot']})"


def _write(consoles: tuple[str, ...], entry: JsonObject, for_s: float | None, options: WriteOptions) -> None:
    """Write an entry at the first console that responds, and wait until enough nodes have it."""
    body = entry | {"by": options.by, "why": options.why}
    if for_s is not None:
        body["lasts_ms"] = for_s * 1000
    address, response = _post_to_first_available(consoles, body)
    written = response_fields(address, response, NO_STATE)
    node_count = _wait_for_nodes(address, written, options)
    if options.as_json:
        click.echo(json.dumps(written | {"had": node_count}))
    else:
        click.echo(f"{written['name']}: written, write {written['write']}; {node_count} known to have it")
    if options.wait is not None and node_count < options.wait:
        click.echo(
            f"flintridge: {node_count} and not {options.wait} nodes have it after {options.timeout:g} s;"
            " the write is kept",
            err=True,
        )
        sys.exit(ExitCode.FINDING)


def _post_to_first_available(consoles: tuple[str, ...], body: JsonObject) -> tuple[str, ConsoleResponse]:
    """Post to the first console that executes the call; return its address and response.

    Raises:
        UnansweredCallError: No console has executed it for certain, and one that did not respond may have.
        CommandError: No console has executed it.
    """
    errors: list[CommandError] = []
    for address in consoles:
        try:
            response = call(address, PATH, "POST", body)
            if response.status != SERVICE_UNAVAILABLE:
                _warn_of_unanswered(errors)
                return address, response
            response_fields(address, response, NO_STATE)
        except CommandError as error:
            errors.append(error)
    unanswered = [error for error in errors if isinstance(error, UnansweredCallError)]
    raise (unanswered or errors)[-1]


def _warn_of_unanswered(errors: list[CommandError]) -> None:
    """Report the consoles that may have written the entry too."""
    for error in errors:
        if isinstance(error, UnansweredCallError):
            error.show()


def _wait_for_nodes(address: str, written: JsonObject, options: WriteOptions) -> int:
    """Poll until enough nodes have the write or the timeout ends; return how many are known to have it.

    Raises:
        UncertainEffectError: The node that wrote the entry can't be asked any more.
    """
    node_count = 1
    if options.wait is None:
        return node_count
    deadline = time.monotonic() + options.timeout
    while node_count < options.wait and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        try:
            response = call(address, f"{PATH}/had?write={written['write']}")
        except CommandError as error:
            message = f"{error.message}; the entry was written there, which nodes have it is unknown"
            raise UncertainEffectError(message) from error
        if response.status != OK or response.fields["life"] != written["life"]:
            raise UncertainEffectError(
                f"{address}: that process has ended; which nodes have the write is unknown"
            )
        node_count = response.fields["had"]
    return node_count
