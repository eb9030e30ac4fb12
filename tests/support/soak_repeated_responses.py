"""Servers and clients of a soak in which responses come twice, and writes come again under their ids."""

import asyncio
import contextlib
import itertools
import random

from support.soak_clients import Judge
from support.soak_servers import HOST, DisturbedServer, Received, read_origin_request, value_of

NAMED_FRACTION = 0.5  # of the responses with status 200
DECLINED_FRACTION = 0.15
COPIED_FRACTION = 0.3
COPY_DELAYS_S = (0.001, 0.01)
QUEUE_TIMES_S = (0.03, 0.2)  # before a request is declined
LEAVING_S = (0.0, 0.03)  # after which a client leaves that comes again
AWAY_S = (0.1, 2.0)
BURST_WRITES = 250
_numbers = itertools.count(1)


def receipt_of(request_id: str) -> bytes:
    """Return the origin's receipt of a write."""
    return b"r" + request_id.encode()


class RepeatingOrigin(DisturbedServer):
    """An origin that names the request in some responses, sends some twice, and declines some requests."""

    def __init__(self, rng: random.Random, received: Received) -> None:
        """Draw from `rng`; there is no other disturbance."""
        super().__init__(rng, received, fault_fraction=0.0)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_origin_request(reader, self._received)
        await reader.readexactly(request.length)
        if self._rng.random() < DECLINED_FRACTION:
            await asyncio.sleep(self._rng.uniform(*QUEUE_TIMES_S))
            writer.write(b"HTTP/1.1 504 Late\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        body = value_of(request.key)
        if request.is_write:
            self._received.note_executed(request.id)
            body = receipt_of(request.id)
        self._write_response(writer, request.id, body)

    def _write_response(self, writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        name = f"Req-Id: {request_id}\r\n" if self._rng.random() < NAMED_FRACTION else ""
        response = f"HTTP/1.1 200 OK\r\n{name}Content-Length: {len(body)}\r\n\r\n".encode() + body
        writer.write(response)
        if self._rng.random() < COPIED_FRACTION:
            delay_s = self._rng.uniform(*COPY_DELAYS_S)
            asyncio.get_running_loop().call_later(delay_s, self._write_again, writer, response)

    @staticmethod
    def _write_again(writer: asyncio.StreamWriter, response: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(response)


def _write_command(request_id: str, timeout_ms: int) -> bytes:
    return f"ms tiny-1 4 O{request_id} Pc=put,d={timeout_ms}\r\nmeal\r\n".encode()


async def send_again(port: int, rng: random.Random, judge: Judge) -> None:
    """Send writes, leave without their responses, and send them again; repeat until cancelled."""
    while True:
        request_id = f"a{next(_numbers)}"
        command = _write_command(request_id, judge.timeout_ms)
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(command)
            await asyncio.sleep(rng.uniform(*LEAVING_S))
            writer.transport.abort()
            await asyncio.sleep(rng.uniform(*AWAY_S))
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(command)
            async with asyncio.timeout(judge.latest_response_s):
                line = await reader.readline()
            writer.close()
            if line and not line.startswith(b"CLIENT_ERROR id in use"):
                judge.response(request_id, "tiny-1", True, line, b"")


async def send_bursts(port: int, rng: random.Random, judge: Judge) -> None:
    """Send many writes at once and read their responses; repeat until cancelled."""
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, port)
            ids = [f"b{next(_numbers)}" for _ in range(BURST_WRITES)]
            writer.write(b"".join(_write_command(one, judge.timeout_ms) for one in ids))
            async with asyncio.timeout(judge.latest_response_s):
                for one in ids:
                    line = await reader.readline()
                    if not line:
                        break
                    judge.response(one, "tiny-1", True, line, b"")
            writer.close()
        await asyncio.sleep(rng.uniform(0.0, 0.1))
