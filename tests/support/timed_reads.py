"""Clients that read one key and record when its response came."""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass

from support.faulty_points import HOST, Fault, Plan, Point

TIMEOUT_MS = 1_200
# A response is late up to half a second after its time, and 50 ms are allowed on sockets; then it is lost.
LATEST_RESPONSE_S = TIMEOUT_MS / 1000 + 0.5 + 0.05
_numbers = itertools.count(1)


@dataclass
class TimedResponse:
    """The response to a read.

    Attributes:
        line: Its first line; empty if the connection ended without one.
        begun_s: When its first byte came, or the first of the value if there is one, in seconds since the
            request was written or, if that is later, since the response before it was complete.
        is_whole: Whether all of the value came, and is the right one.
    """

    line: bytes = b""
    begun_s: float = float("inf")
    is_whole: bool = False

    @property
    def is_value(self) -> bool:
        """Whether the response is a value, or a part of one."""
        return self.line.startswith(b"VA ")


def _small_read(number: int, prefix: str) -> bytes:
    """A read of a small value that no fault affects, or, if it comes before, of one that comes late."""
    plan = Plan(Point.START, Fault.SLOW, 50) if prefix == "b" else Plan(Point.COMPLETE, Fault.NONE, 50)
    return b"mg %b.%b%d v O%b%d Pc=read,d=%d\r\n" % (
        plan.key.encode(),
        prefix.encode(),
        number,
        prefix.encode(),
        number,
        TIMEOUT_MS,
    )


async def timed_read(port: int, plan: Plan, place: str, wait_s: float) -> TimedResponse:
    """Read the key of a plan.

    Args:
        port: The node's port.
        plan: The plan.
        place: `alone` on its connection, `behind` a small read that is answered late, or `before` one.
        wait_s: How long to wait for the value after its first byte; 0 to leave then.
    """
    number = next(_numbers)
    request_id = b"q%d" % number
    command = b"mg %b.%d v O%b Pc=read,d=%d\r\n" % (plan.key.encode(), number, request_id, TIMEOUT_MS)
    commands = {
        "alone": [command],
        "behind": [_small_read(number, "b"), command],
        "before": [command, _small_read(number, "a")],
    }[place]
    response = TimedResponse()
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
    started_at = time.monotonic()
    writer.write(b"".join(commands))
    try:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(LATEST_RESPONSE_S):
                if place == "behind":
                    await _small_response(reader)
                    started_at = time.monotonic()
            async with asyncio.timeout(LATEST_RESPONSE_S):
                response.line = await reader.readuntil(b"\r\n")
                first = await reader.readexactly(1) if response.is_value else b""
                response.begun_s = time.monotonic() - started_at
            async with asyncio.timeout(wait_s):
                if response.is_value and wait_s:
                    value = first + await reader.readexactly(plan.size + 1)
                    head = b"VA %d O%b\r\n" % (plan.size, request_id)
                    response.is_whole = response.line == head and value == plan.value + b"\r\n"
    finally:
        writer.transport.abort()
    return response


async def _small_response(reader: asyncio.StreamReader) -> None:
    line = await reader.readuntil(b"\r\n")
    if line.startswith(b"VA "):
        await reader.readexactly(int(line.split()[1]) + 2)
