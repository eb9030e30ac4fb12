"""Measures pipelined reads at a node: how many run concurrently, and the memory of long values among them.

    .venv-dev/bin/python -m benchmarks.pipelined_reads [TREE]

The cache server answers each read after SERVER_DELAY_S. First one connection sends pipelines of short reads,
without and with a long value in the middle; if all reads of a pipeline run concurrently, it takes one delay.
Then CLIENTS clients send VALUES_PER_CLIENT reads of long values at once and read the responses slowly. The
load is bounded by the numbers of clients and rounds, and by TIME_LIMIT_S.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.node_cost import Node, serve_nothing

SERVER_DELAY_S = 0.05
ROUNDS = 20
PIPELINE_READS = 15
SHORT_BYTES = 64
LONG_BYTES = 300_000
CLIENTS = 40
VALUES_PER_CLIENT = 6
LARGE_BYTES = 1024 * 1024
PIECE_BYTES = 128 * 1024
PAUSE_S = 0.02  # of a client after each piece
TIME_LIMIT_S = 60.0
LIMITS = {"memory_mb": 64, "sockets": 512}


async def serve_cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection as a cache server. The length of a value is the number in its key."""
    while line := await reader.readline():
        key = line.split()[1]
        request_id = line.split(b" O")[1].split()[0]
        length = int(key.split(b"-")[1])
        await asyncio.sleep(SERVER_DELAY_S)
        writer.write(b"VA %d O%b h1\r\n" % (length, request_id))
        writer.write(b"v" * length + b"\r\n")
        await writer.drain()
    writer.close()


def read_command(length: int, name: str) -> bytes:
    """Encode a read of a value of `length` bytes; `name` makes the key and the request's id unique."""
    return f"mg {name}-{length} v O{name} Pc=read,d=9000\r\n".encode()


async def read_response(reader: asyncio.StreamReader, pause_s: float = 0.0) -> bool:
    """Read a response, and return whether it is a whole value."""
    line = await reader.readline()
    left = int(line.split()[1]) + 2 if line.startswith(b"VA ") else 0
    while left and (data := await reader.read(min(left, PIECE_BYTES))):
        left -= len(data)
        await asyncio.sleep(pause_s)
    return line.startswith(b"VA ") and not left


async def pipeline_ms(node: Node, lengths: list[int]) -> float:
    """Return the median time of a pipeline of reads on one connection, in milliseconds."""
    times = []
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    for number in range(ROUNDS):
        started_at = time.perf_counter()
        for position, length in enumerate(lengths):
            writer.write(read_command(length, f"p{len(lengths)}x{number}x{position}"))
        for _ in lengths:
            assert await read_response(reader)
        times.append((time.perf_counter() - started_at) * 1000)
    writer.close()
    return statistics.median(times)


async def slow_client(node: Node, number: int) -> int:
    """Pipeline reads of long values and read them slowly; returns how many values came whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port, limit=PIECE_BYTES)
    commands = [read_command(LARGE_BYTES, f"s{number}x{position}") for position in range(VALUES_PER_CLIENT)]
    writer.write(b"".join(commands))
    whole = [await read_response(reader, PAUSE_S) for _ in commands]
    writer.close()
    return sum(whole)


async def main(tree: str) -> None:
    """Measure the node of a source tree, and print the results."""
    cache = await asyncio.start_server(serve_cache, "127.0.0.1", 0)
    discovery = await asyncio.start_server(serve_nothing, "127.0.0.1", 0)
    node = Node(tree, *(server.sockets[0].getsockname()[1] for server in (cache, discovery)))
    node.config["limits"] = LIMITS
    with tempfile.TemporaryDirectory() as folder:
        await node.start(Path(folder))
        try:
            short = [SHORT_BYTES] * PIPELINE_READS
            middle = PIPELINE_READS // 2
            mixed = [*short[:middle], LONG_BYTES, *short[middle:]]
            print(f"{PIPELINE_READS} short reads: {await pipeline_ms(node, short):.0f} ms")
            print(f"{PIPELINE_READS} short reads around a long one: {await pipeline_ms(node, mixed):.0f} ms")
            idle = peak = node.memory_mb
            started_at = time.perf_counter()
            async with asyncio.timeout(TIME_LIMIT_S):
                clients = asyncio.gather(*(slow_client(node, number) for number in range(CLIENTS)))
                while not clients.done():
                    peak = max(peak, node.memory_mb)
                    await asyncio.sleep(0.02)
            duration_s = time.perf_counter() - started_at
            print(f"whole long values: {sum(clients.result())} of {CLIENTS * VALUES_PER_CLIENT}")
            print(f"idle {idle:.1f} MB, peak {peak:.1f} MB of {LIMITS['memory_mb']}, {duration_s:.1f} s")
        finally:
            node.process.kill()
            await node.process.wait()
    cache.close()
    discovery.close()
    await asyncio.sleep(SERVER_DELAY_S)  # the servers' tasks end with the node's connections


if __name__ == "__main__":
    asyncio.run(main(str(Path(sys.argv[1] if len(sys.argv) > 1 else ".").resolve())))
