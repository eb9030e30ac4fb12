"""`flintridge state`: what operators tell one node and all hold."""

import json
import sys
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import click

from flintridge.cli.calls import call
from flintridge.cli.exits import CommandError, ExitCode, errors_as_lines

PATH = "/admin/state"
LOOK_S = 0.1  # between two questions of who has a write

Command = Callable[..., None]


def _consoles(command: Command) -> Command:
    return click.option(
        "--console",
        "consoles",
        multiple=True,
        required=True,
        metavar="ADDR",
        help="A node's; may be repeated.",
    )(command)


def _json(command: Command) -> Command:
    return click.option("--json", "as_json", is_flag=True, help="The answers, a JSON line each.")(command)


def _writes(command: Command) -> Command:
    """What all that write share."""
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


class Told(click.Group):
    def invoke(self, ctx: click.Context) -> object:
        with errors_as_lines():
            return super().invoke(ctx)


@click.group(cls=Told)
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
@_json
@_consoles
def get(consoles: tuple[str, ...], as_json: bool, type_: str | None, name: str | None) -> None:
    """What a node holds: each entry, with what counts first."""
    if name is not None and type_ is None:
        raise CommandError("--name: needs --type")
    asked = {"entries": "1"} | ({"type": type_} if type_ else {}) | ({"name": name} if name else {})
    for address in consoles:
        _show(address, asked, as_json)


@command.command("conflicts")
@_json
@_consoles
def conflicts(consoles: tuple[str, ...], as_json: bool) -> None:
    """Entries that were written by two who had not seen one another: all sides, what counts first.

    Exits with 1 where there is one. It ends when somebody who sees both writes again.
    """
    if any([_show(address, {"conflicts": "1"}, as_json) for address in consoles]):
        sys.exit(ExitCode.FINDING)


@command.command("set")
@click.argument("type_", metavar="TYPE")
@click.argument("name")
@click.option("--body", default="{}", help="A JSON object, as '{\"factor\": 0.5}'.")
@click.option("--for", "for_s", type=click.FloatRange(0, min_open=True), help="Seconds; else for ever.")
@click.option("--delete", is_flag=True, help="The entry is to be gone.")
@_json
@_writes
@_consoles
def set_(
    consoles: tuple[str, ...],
    type_: str,
    name: str,
    body: str,
    for_s: float | None,
    delete: bool,
    **more: Any,
) -> None:
    """Write an entry: `quota TENANT`, `stop NAME`, `note NAME`, `hold SERVER`."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise CommandError(f"--body: is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise CommandError("--body: must be a JSON object")
    _write(consoles, {"type": type_, "name": name, "body": fields, "delete": delete}, for_s, **more)


@command.command("hold")
@click.argument("server")
@click.option("--for", "for_s", type=click.FloatRange(0, min_open=True), help="Seconds; else until released.")
@_json
@_writes
@_consoles
def hold(consoles: tuple[str, ...], server: str, for_s: float | None, **more: Any) -> None:
    """Hold a cache server out: no node sends anything new there."""
    _write(consoles, {"type": "hold", "name": server, "body": {"held": True}}, for_s, **more)


@command.command("release")
@click.argument("server")
@_json
@_writes
@_consoles
def release(consoles: tuple[str, ...], server: str, **more: Any) -> None:
    """Let a cache server back in, as far as the list of each node has it in service."""
    said = {"type": "hold", "name": server, "body": {"held": False}, "delete": True}
    _write(consoles, said, None, **more)


@command.command("diff")
@_json
@_consoles
def diff(consoles: tuple[str, ...], as_json: bool) -> None:
    """Whether several nodes hold the same; else what differs, and since when. Exits with 1 then."""
    if len(consoles) < 2:
        raise CommandError("--console: two or more are compared")
    looks = [_ask(address, {"digests": "1"}) for address in consoles]
    rows: list[dict[str, Any]] = []
    for i, digests in enumerate(zip(*(look["digests"] for look in looks), strict=True)):
        if len(set(digests)) > 1:
            rows += _differ(consoles, i)
    if as_json:
        click.echo(json.dumps({"nodes": [look["name"] for look in looks], "differ": rows}))
    elif not rows:
        click.echo(f"{', '.join(look['name'] for look in looks)}: the same, {looks[0]['entries']} entries")
    for row in () if as_json else rows:
        click.echo(f"{row['type']} {row['name']}: differs, the newest write {_ago(row['newest_ms'])} ago")
        for address, held in row["nodes"].items():
            click.echo(f"  {address}: {held}")
    if rows:
        sys.exit(ExitCode.FINDING)


def _differ(consoles: tuple[str, ...], bucket: int) -> list[dict[str, Any]]:
    held = [
        {(one["type"], one["name"]): one for one in _pages(address, {"bucket": str(bucket)})}
        for address in consoles
    ]
    rows = []
    for key in sorted({key for one in held for key in one}):
        versions = [one.get(key, {"versions": []})["versions"] for one in held]
        if len({tuple(sorted(v["dot"] for v in of)) for of in versions}) > 1:
            newest = min(v["age_ms"] for of in versions for v in of)
            nodes = {
                address: "; ".join(map(_line, of)) or "nothing"
                for address, of in zip(consoles, versions, strict=True)
            }
            rows.append({"type": key[0], "name": key[1], "newest_ms": newest, "nodes": nodes})
    return rows


def _ask(address: str, asked: dict[str, str]) -> dict[str, Any]:
    status, said = call(address, f"{PATH}?{urlencode(asked)}")
    if status == 404:
        raise CommandError(f"{address}: that node holds no state: its configuration has no table [state]")
    if status != 200:
        raise CommandError(f"{address}: {said.get('error', status)}")
    return said


def _pages(address: str, asked: dict[str, str]) -> list[dict[str, Any]]:
    entries: list[dict[str, Any]] = []
    after: int | None = 0
    while after is not None:
        said = _ask(address, asked | {"after": str(after)})
        entries += said["page"]
        after = said["next"]
    return entries


def _show(address: str, asked: dict[str, str], as_json: bool) -> bool:
    """Whether there was any."""
    said = _ask(address, {})
    entries = _pages(address, asked)
    if as_json:
        click.echo(json.dumps(said | {"page": entries}))
        return bool(entries)
    click.echo(
        f"{said['name']} ({said['life']}): {said['standing']}, {said['entries']} of {said['of']} entries,"
        f" conflicts {said['conflicts']}, hears {said['heard']} nodes"
    )
    for one in entries:
        unknown = "" if one["known"] else " (a type that this version does not know)"
        click.echo(f"  {one['type']} {one['name']}{unknown}{'' if one['holds'] else ': over'}")
        for i, version in enumerate(one["versions"]):
            mark = "" if len(one["versions"]) == 1 else "counts: " if i == 0 else "against: "
            click.echo(f"    {mark}{_line(version)}")
    return bool(entries)


def _line(version: dict[str, Any]) -> str:
    what = "deleted" if version["deleted"] else json.dumps(version["body"])
    ends = "" if version["ends_in_ms"] is None else f", ends in {_ago(version['ends_in_ms'])}"
    return (
        f"{what} by {version['by']}: {version['why']} ({_ago(version['age_ms'])} ago{ends}, {version['dot']})"
    )


def _ago(ms: float) -> str:
    return f"{ms:.0f} ms" if abs(ms) < 10_000 else f"{ms / 1000:.0f} s"


def _write(
    consoles: tuple[str, ...],
    said: dict[str, Any],
    for_s: float | None,
    by: str,
    why: str,
    wait: int | None,
    timeout: float,
    as_json: bool,
) -> None:
    """At the first of the consoles that answers."""
    body = said | {"by": by, "why": why} | ({} if for_s is None else {"lasts_ms": for_s * 1000})
    for i, address in enumerate(consoles):
        try:
            status, answer = call(address, PATH, "POST", body)
            break
        except CommandError:
            if i == len(consoles) - 1:
                raise
    if status == 404:
        raise CommandError(f"{address}: that node holds no state: its configuration has no table [state]")
    if status != 200:
        raise CommandError(f"{address}: {answer.get('error', status)}")
    had = 1
    end = time.monotonic() + timeout
    while wait is not None and had < wait and time.monotonic() < end:
        time.sleep(LOOK_S)
        status, seen = call(address, f"{PATH}/had?write={answer['write']}")
        if status != 200 or seen["life"] != answer["life"]:
            raise CommandError(f"{address}: that process has ended; who has the write is not known")
        had = seen["had"]
    if as_json:
        click.echo(json.dumps(answer | {"had": had}))
    else:
        click.echo(f"{answer['name']}: written, write {answer['write']}; {had} known to have it")
    if wait is not None and had < wait:
        click.echo(
            f"flintridge: {had} and not {wait} nodes have it after {timeout:g} s; it stays written", err=True
        )
        sys.exit(ExitCode.FINDING)
