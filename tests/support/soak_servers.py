"""Servers of a soak, which draw their disturbances by seed and record what they receive."""

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass, field

HOST = "127.0.0.1"
VALUE_BYTES = {"kept": 4, "tiny": 4, "short": 30_000, "long": 150_000, "huge": 700_000}
PIECES = 8
RESET = struct.pack("ii", 1, 0)


def value_of(key: str) -> bytes:
    """The value of a key such as `short-17`."""
    length = VALUE_BYTES[key.partition("-")[0]]
    return (key.encode() * (length // len(key) + 1))[:length]


@dataclass
class Received:
    """What the servers received.

    Attributes:
        attempts: The instant at which each attempt began to arrive, with the id of its request.
        executed: How often each write was executed, by its id.
        closed_while_writing: The requests whose responses a server was still writing when the node closed the
            connection.
        longest_stall_s: The longest time for which this process did not run its event loop.
    """

    attempts: list[tuple[float, str]] = field(default_factory=list)
    executed: dict[str, int] = field(default_factory=dict)
    closed_while_writing: set[str] = field(default_factory=set)
    longest_stall_s: float = 0.0

    def note_executed(self, request_id: str) -> None:
        """Count that a write was executed."""
        self.executed[request_id] = self.executed.get(request_id, 0) + 1

    async def watch_stalls(self) -> None:
        """Measure stalls of this process until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - before - 0.02)


@dataclass(frozen=True)
class OriginRequest:
    """The head of a request at an origin.

    Attributes:
        id: The request's id.
        key: The key that it reads or writes.
        is_write: Whether it is a write.
        length: The length of the value that it writes; 0 for a read.
    """

    id: str
    key: str
    is_write: bool
    length: int


async def read_origin_request(reader: asyncio.StreamReader, received: Received) -> OriginRequest:
    """Read the head of a request, and record the attempt."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    headers = dict(line.partition(": ")[::2] for line in head.split("\r\n")[1:])
    method, target, _ = head.split(" ", 2)
    request_id = headers["Req-Id"]
    received.attempts.append((time.monotonic(), request_id))
    return OriginRequest(request_id, target[1:], method == "PUT", int(headers.get("Content-Length", "0")))


class DisturbedServer:
    """A server that answers late, in slow pieces, or not at all, as often as its seed has it."""

    def __init__(self, rng: random.Random, received: Received, fault_fraction: float) -> None:
        self._rng = rng
        self._received = received
        self._fault_fraction = fault_fraction
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._respond(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write a response, with one of the disturbances or none."""
        if self._rng.random() >= self._fault_fraction:
            writer.write(data)
            await writer.drain()
            return
        match self._rng.choice(["late", "slow", "reset before", "reset within", "hang"]):
            case "late":
                await asyncio.sleep(self._rng.uniform(0.05, 0.6))
                writer.write(data)
            case "slow":
                size = len(data) // PIECES + 1
                for start in range(0, len(data), size):
                    if start:
                        await asyncio.sleep(self._rng.uniform(0.02, 0.2))
                    writer.write(data[start : start + size])
            case "reset before":
                self._reset(writer)
            case "reset within":
                writer.write(data[: len(data) // 2])
                await asyncio.sleep(0.01)
                self._reset(writer)
            case _:
                await asyncio.sleep(self._rng.uniform(1.0, 4.0))
                self._reset(writer)

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        raise ConnectionResetError


class DisturbedCache(DisturbedServer):
    """A cache server that has all keys but every fifth."""

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        key, request_id = words[1], words[3]
        self._received.attempts.append((time.monotonic(), request_id[1:]))
        if int(key.partition("-")[2]) % 5 == 0:
            await self._write(writer, f"EN {request_id}\r\n".encode())
            return
        value = value_of(key)
        await self._write(writer, f"VA {len(value)} {request_id}\r\n".encode() + value + b"\r\n")


class DisturbedOrigin(DisturbedServer):
    """An origin that has all keys and executes writes."""

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_origin_request(reader, self._received)
        if request.is_write:
            await reader.readexactly(request.length)
            self._received.note_executed(request.id)
            body = b"r1"
        else:
            body = value_of(request.key)
        await self._write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
