"""Calls to a running node's console, for the commands that show what it holds."""

import http.client
import json
from typing import Any

from flintridge.cli.exits import CommandError
from flintridge.config.address import Address

WAIT_S = 3.0
LONGEST = 16 * 1024 * 1024  # bytes of an answer


def call(
    address: str, path: str, method: str = "GET", body: dict[str, Any] | None = None
) -> tuple[int, dict[str, Any]]:
    """The status and the answer's fields. Raises CommandError where nobody answers, or something else."""
    try:
        place = Address.parse(address)
    except ValueError as error:
        raise CommandError(f"--console: {error}") from error
    connection = http.client.HTTPConnection(place.host, place.port, timeout=WAIT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body).encode())
        answer = connection.getresponse()
        fields = json.loads(answer.read(LONGEST))
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(f"{address}: no console answers there: {error}") from error
    except ValueError as error:
        raise CommandError(f"{address}: what answers there is no console") from error
    finally:
        connection.close()
    if not isinstance(fields, dict):
        raise CommandError(f"{address}: what answers there is no console")
    return answer.status, fields
