"""Stand-ins for cache servers, the origin and discovery, as the protocol page describes them."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from review.rig_2.network import HOST
from review.rig_2.record import Record


@dataclass(frozen=True)
class Command:
    """One memcache command as a cache server received it, or one HTTP request as the origin received it.

    Attributes:
        verb: `mg`, `ms`, `GET` or `PUT`.
        key: The key.
        id: The request id.
        options: The list of names and values.
        value: The value of a write.
    """

    verb: str
    key: str
    id: str
    options: str
    value: bytes


Answer = Callable[[Command], Awaitable[bytes]]


class Server:
    """A listening stand-in; subclasses read the messages of a connection."""

    def __init__(self, name: str, record: Record) -> None:
        """Prepare the server `name`, which writes to `record`."""
        self.name = name
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 selects a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class CacheServer(Server):
    """A cache server. Commands of a connection run in order, one at a time.

    Attributes:
        commands: All commands received, in order.
        in_flight: Commands that have arrived and are not answered yet.
    """

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        """Create the server; `answer` returns the bytes of the response to a command."""
        super().__init__(name, record)
        self.answer = answer
        self.commands: list[Command] = []
        self.in_flight = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a node."""
        while line := await reader.readline():
            fields = line.decode().split()
            if fields == ["mn"]:
                writer.write(b"MN\r\n")
                continue
            value = b""
            if fields[0] == "ms":
                value = (await reader.readexactly(int(fields[2]) + 2))[:-2]
                del fields[2]
            flags = {flag[0]: flag[1:] for flag in fields[2:]}
            command = Command(fields[0], fields[1], flags.get("O", ""), flags.get("P", ""), value)
            await self._run(command, writer)

    async def _run(self, command: Command, writer: asyncio.StreamWriter) -> None:
        self.commands.append(command)
        self.in_flight += 1
        self.record.add(self.name, f"run {command.verb} {command.key} O{command.id} {command.options}")
        try:
            response = await self.answer(command)
        finally:
            self.in_flight -= 1
        writer.write(response)
        await writer.drain()


def hit(command: Command, value: bytes) -> bytes:
    """A hit: the value as the response to a read."""
    return b"VA %d O%b h1\r\n%b\r\n" % (len(value), command.id.encode(), value)


def miss(command: Command) -> bytes:
    """A miss."""
    return b"EN O%b h0\r\n" % command.id.encode()


class Origin(Server):
    """The origin, over HTTP/1.1.

    Attributes:
        commands: All requests received, in order.
        was_called: Set when the first request was received.
    """

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        """Create the origin; `answer` returns the body of the response with status 200."""
        super().__init__(name, record)
        self.answer = answer
        self.commands: list[Command] = []
        self.was_called = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a node."""
        while head := await read_head(reader):
            headers = head.headers
            value = await reader.readexactly(int(headers.get("content-length", "0")))
            command = Command(
                head.verb, head.target[1:], headers.get("req-id", ""), headers.get("req-extra", ""), value
            )
            self.commands.append(command)
            self.was_called.set()
            self.record.add(self.name, f"run {command.verb} {command.key} O{command.id} {command.options}")
            body = await self.answer(command)
            writer.write(http_response(200, body))
            await writer.drain()


@dataclass(frozen=True)
class Head:
    """The head of an HTTP request, with header names in lower case."""

    verb: str
    target: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of an HTTP request; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    verb, target, _ = line.decode().split()
    headers = {}
    while (header := await reader.readline()).strip():
        name, _, text = header.decode().partition(":")
        headers[name.strip().lower()] = text.strip()
    return Head(verb, target, headers)


def http_response(status: int, body: bytes) -> bytes:
    """Encode an HTTP response."""
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


class Discovery(Server):
    """Discovery: the list, and watches on its changes.

    Attributes:
        revision: The revision of the list.
        members: The entries of the list, by id.
    """

    def __init__(self, record: Record) -> None:
        """Start with an empty list."""
        super().__init__("discovery", record)
        self.revision = 1
        self.members: dict[str, dict[str, object]] = {}
        self._changed_at: dict[str, int] = {}
        self._change = asyncio.Event()

    def put(self, server: Server, flavor: str, phase: str = "in_service") -> None:
        """Add a server to the list, or change its phase."""
        self.revision += 1
        self._changed_at[server.name] = self.revision
        self.members[server.name] = {
            "id": server.name,
            "host_port": f"{HOST}:{server.port}",
            "locality": "here",
            "flavor": flavor,
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }
        self.record.add(self.name, f"revision {self.revision}: {server.name} {phase}")
        self._change.set()
        self._change = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a node."""
        while head := await read_head(reader):
            path, _, query = head.target.partition("?")
            parameters = dict(pair.split("=") for pair in query.split("&") if pair)
            assert path == "/api/targets"
            listed = await self._list(parameters)
            writer.write(http_response(200, json.dumps(listed).encode()))
            await writer.drain()

    async def _list(self, parameters: dict[str, str]) -> dict[str, object]:
        if "after" not in parameters:
            members = [entry for entry in self.members.values() if entry["phase"] != "terminated"]
            return {"revision": self.revision, "complete": True, "members": members}
        after = int(parameters["after"])
        if self.revision <= after:
            try:
                await asyncio.wait_for(self._change.wait(), int(parameters["wait_ms"]) / 1000)
            except TimeoutError:
                return {"revision": self.revision, "complete": False, "members": []}
        changed = [self.members[name] for name, at in self._changed_at.items() if at > after]
        return {"revision": self.revision, "complete": False, "members": changed}
