"""The HTTP/1.1 requests that a node sends, read from a connection."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class HttpRequest:
    """A request.

    Attributes:
        method: The method.
        target: The request target.
        headers: The headers, with names in lower case.
        body: The body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read the head of the next request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
    except (asyncio.IncompleteReadError, OSError):
        return None
    line, *fields = head.rstrip("\r\n").split("\r\n")
    method, target, _ = line.split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (field.partition(":") for field in fields)}
    return HttpRequest(method, target, headers, b"")


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read the next request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, OSError):
        return None
    return HttpRequest(head.method, head.target, head.headers, body)
