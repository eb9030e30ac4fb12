"""Stand-ins for cache servers and the origin. They behave well; a case overrides what it needs."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

from review.stand_ins.http_messages import HttpRequest, read_request
from review.stand_ins.record import Record, clip

HOST = "127.0.0.1"


@dataclass
class World:
    """What the cache servers and the origin share.

    Attributes:
        record: The record of the run.
        values: The values of the origin, by key.
        missed: The cache servers that missed, by the id of the request.
        caches: All cache servers.
        writes: The writes that the origin ran: id of the request, key and idempotency key.
    """

    record: Record
    values: dict[str, bytes] = field(default_factory=dict)
    missed: dict[str, list["CacheServer"]] = field(default_factory=dict)
    caches: list["CacheServer"] = field(default_factory=list)
    writes: list[tuple[str, str, str]] = field(default_factory=list)


@dataclass(frozen=True)
class Command:
    """A command that a cache server got.

    Attributes:
        verb: `mg` or `ms`.
        key: The key.
        id: The id of the request.
        options: The list of names and values.
        value: The value of a write.
    """

    verb: str
    key: str
    id: str
    options: str
    value: bytes


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_command(reader: asyncio.StreamReader) -> Command | str | None:
    """Read the next command; a command that is no request as text; None at the end of the connection."""
    try:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("ascii")
        tokens = line.split(" ")
        if tokens[0] not in ("mg", "ms"):
            return line
        value = b""
        flags = tokens[2:]
        if tokens[0] == "ms":
            value = (await reader.readexactly(int(tokens[2]) + 2))[:-2]
            flags = tokens[3:]
    except (asyncio.IncompleteReadError, OSError):
        return None
    by_name = {flag[:1]: flag[1:] for flag in flags}
    return Command(tokens[0], tokens[1], by_name.get("O", ""), by_name.get("P", ""), value)


class CacheServer:
    """A cache server: answers reads with the stored value or a miss, and writes with a miss.

    Attributes:
        name: Its id in the list.
        port: The port that it listens on, once started.
        stored: The values that it has, by key.
    """

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.port = 0
        self.stored: dict[str, bytes] = {}
        self.world = world
        self._server: asyncio.Server | None = None
        world.caches.append(self)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 23)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (command := await read_command(reader)) is not None:
                if isinstance(command, str):
                    writer.write(b"MN\r\n" if command == "mn" else b"ERROR\r\n")
                    continue
                self.world.record.add(self.name, f"got {command.verb} {command.key} id {command.id}")
                await self.respond(command, writer)
        except (OSError, asyncio.CancelledError):
            pass  # the node has gone, or the run is over
        finally:
            writer.close()

    async def respond(self, command: Command, writer: asyncio.StreamWriter) -> None:
        """Answer one command."""
        answer = self.answer(command)
        self.world.record.add(self.name, f"sends {clip(answer, 40)}")
        writer.write(answer)
        await writer.drain()

    def answer(self, command: Command) -> bytes:
        """The answer of a sound cache server."""
        value = self.stored.get(command.key)
        if command.verb == "mg" and value is not None:
            return b"VA %d O%b\r\n%b\r\n" % (len(value), command.id.encode(), value)
        self.world.missed.setdefault(command.id, []).append(self)
        return b"EN O%b\r\n" % command.id.encode()


class Origin:
    """The origin: HTTP/1.1, `GET /KEY` and `PUT /KEY`.

    Attributes:
        port: The port that it listens on, once started.
    """

    def __init__(self, world: World) -> None:
        self.port = 0
        self.world = world
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 16)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await self.receive(reader)) is not None:
                self.world.record.add(
                    "origin", f"got {request.method} {request.target} id {request.headers['req-id']}"
                )
                await self.respond(request, writer)
        except (OSError, asyncio.CancelledError):
            pass  # the node has gone, or the run is over
        finally:
            writer.close()

    async def receive(self, reader: asyncio.StreamReader) -> HttpRequest | None:
        """Read the next request; None at the end of the connection."""
        return await read_request(reader)

    async def respond(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Run one request and answer it."""
        status, body = self.run(request)
        self.world.record.add("origin", f"sends {status} with {clip(body, 40)}")
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        await writer.drain()

    def run(self, request: HttpRequest) -> tuple[int, bytes]:
        """Run a request; returns the status and the body of the answer."""
        key = request.target[1:]
        request_id = request.headers["req-id"]
        if request.method == "PUT":
            self.apply_write(key, request_id, request)
            return 200, b"r%d" % len(self.world.writes)
        if key not in self.world.values:
            return 500, b""
        value = self.world.values[key]
        for cache in self.world.missed.pop(request_id, [])[:2]:
            cache.stored[key] = value
        return 200, value

    def apply_write(self, key: str, request_id: str, request: HttpRequest) -> None:
        """Apply a write: store the value and drop the copies."""
        options = dict(pair.partition("=")[::2] for pair in request.headers.get("req-extra", "").split(","))
        self.world.writes.append((request_id, key, options.get("k", "")))
        self.world.record.add("origin", f"RAN the write {request_id} of {key}")
        self.world.values[key] = request.body
        for cache in self.world.caches:
            cache.stored.pop(key, None)
