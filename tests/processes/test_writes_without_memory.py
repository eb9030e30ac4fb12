"""The node program with too little memory for all long writes, at an origin that does not read them."""

import asyncio
import time

import pytest
from support.network import ScriptedServer, until
from support.program import Program, cache

HOST = "127.0.0.1"
LEAST_MEMORY_MB = 32
VALUE_BYTES = 700_000
WRITES_THAT_FIT = 5  # in the memory for the values of writes, 4 MiB
BLOCKING_MS = 960  # how long these wait for their responses, and occupy the memory
TIMEOUT_MS = 2_400
LATEST_RESPONSE_S = TIMEOUT_MS / 1000 + 0.5 + 0.05


class UnreadOrigin:
    """An origin that accepts connections and reads nothing; an async context manager."""

    def __init__(self) -> None:
        self.connections: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "UnreadOrigin":
        self._ended = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()
        self._ended.set()
        await asyncio.sleep(0)

    async def _serve(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        await self._ended.wait()
        writer.transport.abort()


async def write(port: int, request_id: str, class_name: str, timeout_ms: int, pieces: int) -> float:
    """Write a value in pieces; returns how many seconds after its last byte the response came."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until the kernel has the last byte
    options = f"Pc={class_name},d={timeout_ms}"
    writer.write(f"ms key {VALUE_BYTES} O{request_id} {options}\r\n".encode())
    size = VALUE_BYTES // pieces
    for _ in range(pieces):
        writer.write(bytes(size))
        await writer.drain()
    writer.write(b"\r\n")
    await writer.drain()
    written_at = time.monotonic()
    try:
        line = await asyncio.wait_for(reader.readline(), LATEST_RESPONSE_S)
    except TimeoutError:
        return float("inf")
    finally:
        writer.transport.abort()
    assert line.startswith(b"SERVER_ERROR")
    return time.monotonic() - written_at


async def write_beside_others(tmp_path, class_name: str, pieces: int) -> float:
    """Write once more than the memory allows; returns how long the last write waited for its response."""
    async with (
        UnreadOrigin() as origin,
        ScriptedServer(cache) as box,
        ScriptedServer(lambda _: b"") as discovery,
    ):
        program = Program(tmp_path, {"box": box, "origin": origin}, discovery, LEAST_MEMORY_MB, 1_024)
        async with program.running(max_descriptors=1_024) as port:
            blocking = [
                asyncio.create_task(write(port, f"b{number}", "put", BLOCKING_MS, 1))
                for number in range(WRITES_THAT_FIT)
            ]
            await until(lambda: len(origin.connections) == WRITES_THAT_FIT)
            response_s = await write(port, "q1", class_name, TIMEOUT_MS, pieces)
            waited = await program.event("value_waited_for_memory")
            assert (waited["id"], waited["granted"]) == ("q1", True)
            await asyncio.gather(*blocking)
            return response_s


@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize("class_name", ["read", "put"])
def test_long_write_when_it_waits_for_memory_at_an_origin_that_reads_nothing_then_is_answered_in_time(
    tmp_path, class_name, pieces
):
    assert asyncio.run(write_beside_others(tmp_path, class_name, pieces)) <= LATEST_RESPONSE_S
