"""Stand-in servers whose responses fail at a chosen point in a chosen way, selected by the request's key."""

import asyncio
import enum
import socket
import struct
from dataclasses import dataclass, field

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SLOW_PIECES = 10
SLOW_PAUSE_S = 0.3
CHUNK_BYTES = 20_000  # of a body with chunked transfer coding


class Point(enum.Enum):
    """Where in a response the fault begins."""

    START = "start"  # before its first byte
    HEAD = "head"  # within its head
    VALUE_START = "value_start"  # after its head
    FIRST_BYTE = "first_byte"  # after the first byte of the value
    MIDDLE = "middle"
    LAST_BYTE = "last_byte"  # before the last byte of the value
    END = "end"  # before what follows the value
    COMPLETE = "complete"  # after all of it


class Fault(enum.Enum):
    """What the server does from that point on."""

    SILENCE = "silence"
    RESET = "reset"
    CLOSE = "close"
    SLOW = "slow"  # writes the rest in SLOW_PIECES pieces, with a pause of SLOW_PAUSE_S before each
    NONE = "none"


class Form(enum.Enum):
    """How the server delimits a value."""

    MEMCACHE = "memcache"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until_close"


@dataclass(frozen=True)
class Plan:
    """What the servers do with the requests for a key.

    Attributes:
        point: Where the fault begins.
        fault: The fault.
        size: The length of the value in bytes.
        form: How the value is delimited. Only the origin has the value, unless it is MEMCACHE.
        faulty_attempts: How many attempts meet the fault; the others are answered normally.
    """

    point: Point
    fault: Fault
    size: int
    form: Form = Form.MEMCACHE
    faulty_attempts: int = 1_000

    @property
    def key(self) -> str:
        """The key that selects this plan."""
        return f"{self.point.value}-{self.fault.value}-{self.size}-{self.form.value}-{self.faulty_attempts}"

    @classmethod
    def of_key(cls, key: str) -> "Plan":
        """The plan that a key selects; a suffix after a dot distinguishes keys of the same plan."""
        point, fault, size, form, faulty_attempts = key.partition(".")[0].split("-")
        return cls(Point(point), Fault(fault), int(size), Form(form), int(faulty_attempts))

    @property
    def value(self) -> bytes:
        """The value of the key."""
        pattern = bytes(97 + number * 7 % 26 for number in range(26))
        return (pattern * (self.size // len(pattern) + 1))[: self.size]


def _body(plan: Plan) -> tuple[bytes, bytes]:
    """Return the value as the origin writes it, and what ends it."""
    value = plan.value
    if plan.form is not Form.CHUNKED:
        return value, b""
    chunks = [value[start : start + CHUNK_BYTES] for start in range(0, len(value), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks), b"0\r\n\r\n"


def _origin_head(plan: Plan) -> bytes:
    match plan.form:
        case Form.CHUNKED:
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        case Form.UNTIL_CLOSE:
            return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        case _:
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % plan.size


def _cut(point: Point, head: bytes, body: bytes, end: bytes) -> int:
    """Return the offset in the response at which the fault begins."""
    match point:
        case Point.START:
            return 0
        case Point.HEAD:
            return len(head) // 2
        case Point.VALUE_START:
            return len(head)
        case Point.FIRST_BYTE:
            return len(head) + 1
        case Point.MIDDLE:
            return len(head) + len(body) // 2
        case Point.LAST_BYTE:
            return len(head) + len(body) - 1
        case Point.END:
            return len(head) + len(body)
        case Point.COMPLETE:
            return len(head) + len(body) + len(end)


@dataclass
class FaultyServer:
    """A server, as an async context manager.

    Attributes:
        attempts: The number of attempts at each key.
        port: The port that it listens on.
    """

    attempts: dict[str, int] = field(default_factory=dict)
    port: int = 0
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> "FaultyServer":
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while await self._respond(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; returns whether the connection carries another."""
        raise NotImplementedError

    def _plan(self, key: str) -> Plan:
        """Return the plan of an attempt at a key."""
        plan = Plan.of_key(key)
        number = self.attempts.get(key, 0)
        self.attempts[key] = number + 1
        if number >= plan.faulty_attempts:
            return Plan(Point.COMPLETE, Fault.NONE, plan.size, plan.form)
        return plan

    async def _send(
        self, writer: asyncio.StreamWriter, plan: Plan, head: bytes, body: bytes, end: bytes
    ) -> bool:
        """Write a response with the fault of a plan; returns whether the connection carries another."""
        response = head + body + end
        cut = _cut(plan.point, head, body, end)
        writer.write(response[:cut])
        await writer.drain()
        match plan.fault:
            case Fault.SILENCE:
                return await self._wait_for_close(writer)
            case Fault.RESET:
                await asyncio.sleep(0.005)  # the bytes before it arrive
                linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.get_extra_info("socket").setsockopt(*linger)
                writer.transport.abort()
                return False
            case Fault.CLOSE:
                return False
            case Fault.SLOW:
                size = max(1, (len(response) - cut) // SLOW_PIECES)
                for start in range(cut, len(response), size):
                    await asyncio.sleep(SLOW_PAUSE_S)
                    writer.write(response[start : start + size])
                    await writer.drain()
            case Fault.NONE:
                writer.write(response[cut:])
                await writer.drain()
        return plan.form is not Form.UNTIL_CLOSE

    @staticmethod
    async def _wait_for_close(writer: asyncio.StreamWriter) -> bool:
        while not writer.transport.is_closing():
            await asyncio.sleep(0.05)
        return False


class FaultyCache(FaultyServer):
    """A cache server that has the values of the plans with the form MEMCACHE."""

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        words = (await reader.readuntil(b"\r\n")).split()
        key, request_id = words[1].decode(), words[3]
        if Plan.of_key(key).form is not Form.MEMCACHE:
            writer.write(b"EN %b h0\r\n" % request_id)
            return True
        plan = self._plan(key)
        head = b"VA %d %b h1\r\n" % (plan.size, request_id)
        return await self._send(writer, plan, head, plan.value, b"\r\n")


class FaultyOrigin(FaultyServer):
    """An origin that has all values, and answers writes with a receipt at the end of the same plan."""

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split(" ", 2)
        plan = self._plan(target[1:])
        if method == "PUT":
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            await reader.readexactly(length)
            receipt_head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
            return await self._send(writer, plan, receipt_head, b"r1", b"")
        body, end = _body(plan)
        return await self._send(writer, plan, _origin_head(plan), body, end)
