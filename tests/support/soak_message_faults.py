"""Servers of a soak that stop, or become slow, at any point of a request or a response."""

import asyncio
import random
import socket
import time

from support.soak_servers import DisturbedServer, Received, read_origin_request, value_of

CHUNK_BYTES = 16_000  # of a body with chunked transfer coding
SILENCE_S = 12.0
READ_BYTES = 4_096
LONG_BYTES = 64 * 1024  # longer values without a Content-Length are not forwarded


class PointFaultServer(DisturbedServer):
    """A server whose faults begin at a drawn point of the response, or of the request that it reads."""

    async def _write_response(
        self, writer: asyncio.StreamWriter, request_id: str, head: bytes, body: bytes
    ) -> None:
        """Write a response with the fault that is drawn for it, if any."""
        data = head + body
        if self._rng.random() >= self._fault_fraction:
            writer.write(data)
            await writer.drain()
            return
        start = len(head)
        points = [0, start // 2, start, start + 1, (start + len(data)) // 2, len(data) - 3, len(data) - 1]
        cut = min(max(0, self._rng.choice(points)), len(data))
        writer.write(data[:cut])
        await writer.drain()
        match self._rng.choice(["silence", "slow", "reset", "close"]):
            case "silence":
                await self._stay_silent(writer)
            case "slow":
                await self._write_slowly(writer, request_id, data[cut:])
            case "reset":
                await asyncio.sleep(0.005)
                self._reset(writer)
            case _:
                raise ConnectionAbortedError

    async def _stay_silent(self, writer: asyncio.StreamWriter) -> None:
        ends_at = time.monotonic() + SILENCE_S
        while time.monotonic() < ends_at and not writer.transport.is_closing():
            await asyncio.sleep(0.05)
        self._reset(writer)

    async def _write_slowly(self, writer: asyncio.StreamWriter, request_id: str, rest: bytes) -> None:
        pieces = self._rng.randrange(2, 8)
        pause_s = self._rng.uniform(0.02, 0.4)
        size = len(rest) // pieces + 1
        for start in range(0, len(rest), size):
            await asyncio.sleep(pause_s)
            if writer.transport.is_closing():
                self._received.closed_while_writing.add(request_id)
                raise ConnectionResetError
            writer.write(rest[start : start + size])
            await writer.drain()


class PointFaultCache(PointFaultServer):
    """A cache server that has all keys but every fifth."""

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        key, request_id = words[1], words[3]
        self._received.attempts.append((time.monotonic(), request_id[1:]))
        if int(key.partition("-")[2]) % 5 == 0:
            await self._write_response(writer, request_id[1:], f"EN {request_id}\r\n".encode(), b"")
            return
        value = value_of(key)
        head = f"VA {len(value)} {request_id}\r\n".encode()
        await self._write_response(writer, request_id[1:], head, value + b"\r\n")


class PointFaultOrigin(PointFaultServer):
    """An origin that has all keys, reads some writes slowly or in part, and has values without a length."""

    def __init__(self, rng: random.Random, received: Received, fault_fraction: float) -> None:
        super().__init__(rng, received, fault_fraction)
        self.receive_buffer_bytes = rng.choice([0, 8_192])

    async def start(self) -> None:
        """Listen on a free port, in some runs with a small receive buffer."""
        await super().start()
        if self.receive_buffer_bytes:
            assert self._server is not None
            for listening in self._server.sockets:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_origin_request(reader, self._received)
        if request.is_write:
            await self._read_value(reader, writer, request.length)
            self._received.note_executed(request.id)
            await self._write_response(
                writer, request.id, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", b"r1"
            )
            return
        await self._write_value(writer, request.id, value_of(request.key))

    async def _read_value(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, length: int
    ) -> None:
        if self._rng.random() >= self._fault_fraction:
            await reader.readexactly(length)
            return
        stops_at = length if self._rng.random() < 0.6 else self._rng.randrange(length)
        bytes_per_s = self._rng.choice([20_000, 100_000, 1_000_000])
        position = 0
        while position < stops_at:
            data = await reader.read(min(READ_BYTES, stops_at - position))
            if not data:
                raise ConnectionResetError
            position += len(data)
            await asyncio.sleep(len(data) / bytes_per_s)
        if stops_at < length:
            await self._stay_silent(writer)

    async def _write_value(self, writer: asyncio.StreamWriter, request_id: str, value: bytes) -> None:
        if len(value) <= LONG_BYTES and self._rng.random() < 0.3:
            chunks = [value[start : start + CHUNK_BYTES] for start in range(0, len(value), CHUNK_BYTES)]
            body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        else:
            body = value
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(value)
        await self._write_response(writer, request_id, head, body)
