"""A complete node with a cache server and an origin whose long values break in a given way."""

import asyncio
import enum
from collections.abc import Callable

from flintridge.config.address import Address
from flintridge.config.node_config import NodeConfig
from flintridge.core.memory_budget import MemoryBudget
from flintridge.node import Node
from support.long_values import LENGTH, VALUE
from support.network import SETTINGS, ManualClock, log_and_counters, until

BROKEN_KEY = "broken"  # its values break; those of all other keys do not
MISSING_KEY = "missing"  # its values break too, and only the origin has them
LONG_KEYS = (BROKEN_KEY, MISSING_KEY, "long")


class Break(enum.Enum):
    """How a value ends after its first half."""

    RESET = "reset"
    CLOSE = "close"
    HANG = "hang"
    NOISE = "noise"


class ValueServer:
    """A server of which each answer with a breaking key's value breaks.

    Attributes:
        breaks_left: How many more values break.
        orders: The keys of the executed writes, in order.
        reads: The keys of the reads, in order.
        ended_connections: How many connections the node has ended.
    """

    def __init__(self, how: Callable[[], Break], breaks: int) -> None:
        self.breaks_left = breaks
        self.orders: list[str] = []
        self.reads: list[str] = []
        self.ended_connections = 0
        self._how = how
        self._writers: list[asyncio.StreamWriter] = []

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while await self._respond(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            self.ended_connections += 1
            writer.close()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; returns whether the connection carries another."""
        raise NotImplementedError

    def _send(self, writer: asyncio.StreamWriter, key: str, head: bytes, end: bytes) -> bool:
        """Send the value of a key, or a part of it; returns whether the connection stays usable."""
        self.reads.append(key)
        value = VALUE if key in LONG_KEYS else b"ok"
        if key not in (BROKEN_KEY, MISSING_KEY) or not self.breaks_left:
            writer.write(head + value + end)
            return True
        self.breaks_left -= 1
        how = self._how()
        if how is Break.NOISE:
            writer.write(head + value + b"noise" + end)
            return True
        writer.write(head + value[: LENGTH // 2])
        if how is Break.HANG:
            return True
        if how is Break.CLOSE:
            writer.close()
        else:
            asyncio.get_running_loop().call_soon(writer.transport.abort)
        return False


class BreakingCache(ValueServer):
    """A cache server that has all keys but MISSING_KEY."""

    async def _respond(self, reader, writer):
        words = (await reader.readuntil(b"\r\n")).split()
        key, request_id = words[1].decode(), words[3]
        if key == MISSING_KEY:
            writer.write(b"EN %b h0\r\n" % request_id)
            return True
        length = LENGTH if key in LONG_KEYS else 2
        return self._send(writer, key, b"VA %d %b h1\r\n" % (length, request_id), b"\r\n")


class BreakingOrigin(ValueServer):
    """An origin that executes writes and has all keys."""

    async def _respond(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split(" ", 2)
        key = target[1:]
        if method == "PUT":
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            await reader.readexactly(length)
            self.orders.append(key)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
            return True
        length = LENGTH if key in LONG_KEYS else 2
        return self._send(writer, key, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length, b"")


class BreakingFleet:
    """A node with a manual clock, a cache server and an origin; use as an async context manager."""

    def __init__(self, how: Break | Callable[[], Break], breaks: int) -> None:
        """Create the servers; `how` is drawn anew for each value if it can be called."""
        draw = (lambda: how) if isinstance(how, Break) else how
        self.cache = BreakingCache(draw, breaks)
        self.origin = BreakingOrigin(draw, breaks)

    async def __aenter__(self) -> "BreakingFleet":
        await self.cache.listen()
        await self.origin.listen()
        self.clock = ManualClock()
        members = [
            {"id": name, "host_port": f"127.0.0.1:{server.port}", "flavor": kind, "phase": "in_service"}
            for name, server, kind in (("s1", self.cache, "box"), ("o1", self.origin, "origin"))
        ]
        config = NodeConfig(
            "n1",
            Address("127.0.0.1", 0),
            Address("127.0.0.1", 9),  # no discovery: the known list stays
            1,
            SETTINGS,
            memory_mb=64.0,
            kinds=("box", "origin"),
            known={"revision": 1, "complete": True, "members": members},
        )
        log, self.counters = log_and_counters()
        self.node = Node(config, self.clock, log, self.counters)
        self._port = await self.node.start()
        return self

    async def __aexit__(self, *_) -> None:
        await self.node.close()
        self.cache.close()
        self.origin.close()
        assert self.node.dispatcher.value_memory.reserved == 0
        assert self.node.core.memory_budget.reserved == 0

    def occupy_value_memory(self) -> MemoryBudget:
        """Reserve all memory for long values, as other values would; the test releases it."""
        memory = self.node.dispatcher.value_memory
        assert memory.try_reserve(memory.total)
        return memory

    async def connect(self) -> "CommandClient":
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
        return CommandClient(reader, writer)

    async def advance_until(self, true, limit_ms: float) -> None:
        """Advance the node's clock in small steps until a condition is true, up to `limit_ms`."""
        for _ in range(int(limit_ms / 10)):
            if true():
                return
            self.clock.advance(10)
            for _ in range(4):
                await asyncio.sleep(0.0005)
        await until(true)


class CommandClient:
    """A client that reads the responses to its commands as they arrive.

    Attributes:
        responses: The first words of each response line, and the value where there is one, in order.
        ended: Whether the node has closed the connection.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.responses: list[bytes | tuple[bytes, bytes]] = []
        self.ended = False
        self.partial_bytes = 0
        self.writer = writer
        self._reading = asyncio.ensure_future(self._read(reader))

    def close(self) -> None:
        self._reading.cancel()
        self.writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if not line.startswith(b"VA "):
                    self.responses.append(line)
                    continue
                value = await reader.readexactly(int(line.split()[1]) + 2)
                self.responses.append((line, value[:-2]))
        except asyncio.IncompleteReadError as error:
            self.partial_bytes = len(error.partial)
        except OSError:
            pass
        self.ended = True
