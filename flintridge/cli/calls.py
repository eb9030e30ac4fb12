"""Calls to a running node's admin API, and the options and lines of the commands that show what it holds."""

import http.client
import json
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar

import click

from flintridge.cli.exits import CommandError
from flintridge.config.address import Address

TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
OK = 200
NOT_FOUND = 404
SECONDS_FROM_MS = 10_000  # from here on durations are shown in seconds

F = TypeVar("F", bound=Callable[..., Any])
JsonObject = dict[str, Any]  # as the admin API sends it; --json prints it again with all its fields


class ConsoleResponse(NamedTuple):
    """What the admin API answered."""

    status: int
    fields: JsonObject


def consoles_option(command: F) -> F:
    """--console ADDR, as the tuple `consoles`."""
    help_text = "A node's; may be repeated."
    return click.option(
        "--console", "consoles", multiple=True, required=True, metavar="ADDR", help=help_text
    )(command)


def call(address: str, path: str, method: str = "GET", body: JsonObject | None = None) -> ConsoleResponse:
    """Call the admin API.

    Args:
        address: The console's, with its port.
        path: With the query.
        method: Of HTTP.
        body: Sent as JSON, if there is one.

    Raises:
        CommandError: Nobody answers there, or something that is no console.
    """
    try:
        console = Address.parse(address)
    except ValueError as error:
        raise CommandError(f"--console: {error}") from error
    connection = http.client.HTTPConnection(console.host, console.port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body).encode())
        response = connection.getresponse()
        fields = json.loads(response.read(MAX_RESPONSE_BYTES))
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(f"{address}: no console answers there: {error}") from error
    except ValueError as error:
        raise CommandError(f"{address}: what answers there is no console") from error
    finally:
        connection.close()
    if not isinstance(fields, dict):
        raise CommandError(f"{address}: what answers there is no console")
    return ConsoleResponse(response.status, fields)


def fields_of(address: str, response: ConsoleResponse, missing: str) -> JsonObject:
    """The fields of a response that has what was asked for.

    Args:
        address: The console's.
        response: What it answered.
        missing: What the node does without, if it does not know the path.

    Raises:
        CommandError: It answered something else.
    """
    if response.status == NOT_FOUND:
        raise CommandError(f"{address}: that node {missing}")
    if response.status != OK:
        raise CommandError(f"{address}: {response.fields.get('error', response.status)}")
    return response.fields


def print_columns(rows: Sequence[Sequence[str]]) -> None:
    """Print rows, the first of them the heads, in columns as wide as their cells."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)]
        click.echo("  " + "  ".join(cells).rstrip())


def duration(ms: float) -> str:
    """A span of time as it is shown."""
    return f"{ms:.0f} ms" if abs(ms) < SECONDS_FROM_MS else f"{ms / 1000:.0f} s"
