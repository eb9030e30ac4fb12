"""Calls to a running node's admin API, and the options and output that the commands calling it share."""

import http.client
import json
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar

import click

from flintridge.cli.exits import CommandError, UncertainEffectError
from flintridge.config.address import Address

TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
OK = 200
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
SECONDS_FROM_MS = 10_000  # durations from this length on are shown in seconds

F = TypeVar("F", bound=Callable[..., Any])
JsonObject = dict[str, Any]  # as the admin API sends it; --json prints all its fields


class UnansweredCallError(UncertainEffectError):
    """A call that may change something was sent, and no response came."""


class ConsoleResponse(NamedTuple):
    """A response of the admin API."""

    status: int
    fields: JsonObject


def consoles_option(command: F) -> F:
    """Add the option --console ADDR, passed to the command as the tuple `consoles`."""
    help_text = "Address of a node's admin API; may be repeated."
    return click.option(
        "--console", "consoles", multiple=True, required=True, metavar="ADDR", help=help_text
    )(command)


def call(address: str, path: str, method: str = "GET", body: JsonObject | None = None) -> ConsoleResponse:
    """Call the admin API.

    Args:
        address: The console's address with its port.
        path: The path, with the query if there is one.
        method: The HTTP method.
        body: An object to send as JSON, or None.

    Raises:
        UnansweredCallError: The call may change something, was sent, and got no response.
        CommandError: Nothing responds at the address, or the response is not that of a console.
    """
    try:
        console = Address.parse(address)
    except ValueError as error:
        raise CommandError(f"--console: {error}") from error
    connection = http.client.HTTPConnection(console.host, console.port, timeout=TIMEOUT_S)
    is_sent = False
    try:
        connection.connect()
        is_sent = True
        connection.request(method, path, None if body is None else json.dumps(body).encode())
        response = connection.getresponse()
        fields = json.loads(response.read(MAX_RESPONSE_BYTES))
    except (OSError, http.client.HTTPException) as error:
        if is_sent and method != "GET":
            message = f"{address}: no response, so whether the call was executed is not known: {error}"
            raise UnansweredCallError(message) from error
        raise CommandError(f"{address}: no console responds there: {error}") from error
    except ValueError as error:
        raise CommandError(f"{address}: the response is not from a console") from error
    finally:
        connection.close()
    if not isinstance(fields, dict):
        raise CommandError(f"{address}: the response is not from a console")
    return ConsoleResponse(response.status, fields)


def response_fields(address: str, response: ConsoleResponse, missing: str) -> JsonObject:
    """Return the fields of a successful response.

    Args:
        address: The console's address.
        response: The console's response.
        missing: The rest of the message "that node ...", for a node that does not have the path.

    Raises:
        CommandError: The response reports an error.
    """
    if response.status == NOT_FOUND:
        raise CommandError(f"{address}: that node {missing}")
    if response.status != OK:
        raise CommandError(f"{address}: {response.fields.get('error', response.status)}")
    return response.fields


def print_columns(rows: Sequence[Sequence[str]]) -> None:
    """Print rows in aligned columns; the first row has the headings."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)]
        click.echo("  " + "  ".join(cells).rstrip())


def format_duration(ms: float) -> str:
    """Format a duration, in milliseconds or in seconds."""
    return f"{ms:.0f} ms" if abs(ms) < SECONDS_FROM_MS else f"{ms / 1000:.0f} s"
