"""Measures a node's memory while long values pass through it whose total size exceeds its memory.

    .venv-dev/bin/python -m benchmarks.long_values

READERS clients slowly read a value of 4 MiB each; WRITERS clients write one each, in pieces. Prints the
node's peak memory beyond idle, its ratio to the total size of the values, and the longest response time of
the admin API. The number of clients is bounded, and their pace bounds the duration.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from support.reserved_port import reserved_port

from benchmarks.node_cost import Node, serve_nothing

READERS = 60
WRITERS = 20
VALUE_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 256 * 1024
PAUSE_S = 0.1  # of a reader after each piece; writers pause for a quarter of it
LIMITS = {"memory_mb": 80, "sockets": 384}


async def serve_cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection as a cache server that sends a long value for each line."""
    while line := await reader.readline():
        request_id = line.split(b" O")[1].split()[0]
        writer.write(b"VA %d O%b h1\r\n" % (VALUE_BYTES, request_id))
        for _ in range(VALUE_BYTES // PIECE_BYTES):
            writer.write(b"v" * PIECE_BYTES)
            await writer.drain()
        writer.write(b"\r\n")
    writer.close()


async def serve_origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection as an origin that accepts every write."""
    while head := await reader.readuntil(b"\r\n\r\n"):
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")


async def read(node: Node, number: int) -> str:
    """Read a value slowly, and return how that ended."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port, limit=PIECE_BYTES)
    writer.write(b"mg key%d v Or%d Pc=read,d=9000\r\n" % (number, number))
    line = await reader.readline()
    left = VALUE_BYTES + 2 if line.startswith(b"VA ") else 0
    while left and (data := await reader.read(min(left, PIECE_BYTES))):
        left -= len(data)
        await asyncio.sleep(PAUSE_S)
    writer.close()
    return "read" if line.startswith(b"VA ") and not left else line.decode().strip() or "closed"


async def write(node: Node, number: int) -> str:
    """Write a value in pieces, and return how that ended."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"ms key%d %d Ow%d Pc=read,d=9000\r\n" % (number, VALUE_BYTES, number))
    for _ in range(VALUE_BYTES // PIECE_BYTES):
        writer.write(b"w" * PIECE_BYTES)
        await writer.drain()
        await asyncio.sleep(PAUSE_S / 4)
    writer.write(b"\r\n")
    line = await reader.readline()
    writer.close()
    return "written" if line.startswith(b"HD ") else line.decode().strip() or "closed"


async def admin_response_ms(port: int) -> float:
    """Send a request to the admin API, and return its response time in milliseconds."""
    started_at = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /admin/health HTTP/1.1\r\nHost: n1\r\n\r\n")
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    return (time.perf_counter() - started_at) * 1000


async def main(admin_port: int) -> None:
    """Let all clients read and write at the same time, and print the node's memory.

    Args:
        admin_port: The port of the node's admin API.
    """
    servers = [
        await asyncio.start_server(serve, "127.0.0.1", 0)
        for serve in (serve_cache, serve_origin, serve_nothing)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    node = Node(".", ports[0], ports[2])
    member = {"id": "o", "host_port": f"127.0.0.1:{ports[1]}", "flavor": "origin", "phase": "in_service"}
    node.config["known"]["members"].append(member)
    node.config["limits"] = LIMITS
    node.config["console"] = f"127.0.0.1:{admin_port}"
    with tempfile.TemporaryDirectory() as folder:
        await node.start(Path(folder))
        try:
            idle = peak = node.memory_mb
            longest_response_ms = 0.0
            clients = asyncio.gather(
                *(read(node, i) for i in range(READERS)), *(write(node, i) for i in range(WRITERS))
            )
            while not clients.done():
                peak = max(peak, node.memory_mb)
                longest_response_ms = max(longest_response_ms, await admin_response_ms(admin_port))
                await asyncio.sleep(0.02)
            outcomes = clients.result()
        finally:
            node.process.kill()
    values_mb = (READERS + WRITERS) * VALUE_BYTES / 2**20
    print({outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))})
    print(f"idle {idle:.1f} MB, peak {peak:.1f} MB of {LIMITS['memory_mb']}")
    print(
        f"peak beyond idle {peak - idle:.1f} of {values_mb:.0f} MB of values, "
        f"ratio {(peak - idle) / values_mb:.3f}"
    )
    print(f"longest response time of the admin API: {longest_response_ms:.0f} ms")
    for server in servers:
        server.close()


if __name__ == "__main__":
    with reserved_port() as port:
        asyncio.run(main(port))
