"""What a node holds while more long values pass through it than its memory could take.

    .venv-dev/bin/python -m benchmarks.long_values

READERS clients read a value of 4 MiB each, slowly; WRITERS write one each, in pieces. Prints the node's peak
memory beyond idle, its ratio to the sum of the values, and the longest that its console took to answer.
Bounded in number and, by the clients' pace, in time.
"""

import asyncio
import socket
import tempfile
import time
from pathlib import Path

from benchmarks.node_cost import Node, silent

READERS = 60
WRITERS = 20
LENGTH = 4 * 1024 * 1024  # bytes of a value
PIECE = 256 * 1024  # bytes
PAUSE_S = 0.1  # after each piece
LIMITS = {"memory_mb": 80, "sockets": 384}


async def cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A cache server that sends a long value for each line."""
    while line := await reader.readline():
        uid = line.split(b" O")[1].split()[0]
        writer.write(b"VA %d O%b h1\r\n" % (LENGTH, uid))
        for _ in range(LENGTH // PIECE):
            writer.write(b"v" * PIECE)
            await writer.drain()
        writer.write(b"\r\n")
    writer.close()


async def origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """An origin that takes each write."""
    while head := await reader.readuntil(b"\r\n\r\n"):
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")


async def read(node: Node, number: int) -> str:
    """Read a value slowly: how it ended."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port, limit=PIECE)
    writer.write(b"mg key%d v Or%d Pc=read,d=9000\r\n" % (number, number))
    line = await reader.readline()
    left = LENGTH + 2 if line.startswith(b"VA ") else 0
    while left and (data := await reader.read(min(left, PIECE))):
        left -= len(data)
        await asyncio.sleep(PAUSE_S)
    writer.close()
    return "read" if line.startswith(b"VA ") and not left else line.decode().strip() or "closed"


async def write(node: Node, number: int) -> str:
    """Write a value in pieces: how it ended."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"ms key%d %d Ow%d Pc=read,d=9000\r\n" % (number, LENGTH, number))
    for _ in range(LENGTH // PIECE):
        writer.write(b"w" * PIECE)
        await writer.drain()
        await asyncio.sleep(PAUSE_S / 4)
    writer.write(b"\r\n")
    line = await reader.readline()
    writer.close()
    return "written" if line.startswith(b"HD ") else line.decode().strip() or "closed"


async def call(port: int) -> float:
    """Milliseconds until the console had answered."""
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /admin/health HTTP/1.1\r\nHost: n1\r\n\r\n")
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    return (time.perf_counter() - began) * 1000


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
        return port


async def main() -> None:
    """Let all clients read and write at once, and print what the node held."""
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (cache, origin, silent)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    node = Node(".", ports[0], ports[2])
    member = {"id": "o", "host_port": f"127.0.0.1:{ports[1]}", "flavor": "origin", "phase": "in_service"}
    node.config["known"]["members"].append(member)
    node.config["limits"] = LIMITS
    console_port = free_port()
    node.config["console"] = f"127.0.0.1:{console_port}"
    with tempfile.TemporaryDirectory() as folder:
        await node.start(Path(folder))
        try:
            idle = peak = node.memory_mb
            longest = 0.0
            asking = asyncio.gather(
                *(read(node, i) for i in range(READERS)), *(write(node, i) for i in range(WRITERS))
            )
            while not asking.done():
                peak = max(peak, node.memory_mb)
                longest = max(longest, await call(console_port))
                await asyncio.sleep(0.02)
            said = asking.result()
        finally:
            node.process.kill()
    whole = (READERS + WRITERS) * LENGTH / 2**20
    print({one: said.count(one) for one in sorted(set(said))})
    print(f"idle {idle:.1f} MB, at most {peak:.1f} MB of {LIMITS['memory_mb']}")
    print(
        f"held beyond idle {peak - idle:.1f} of {whole:.0f} MB of values, ratio {(peak - idle) / whole:.3f}"
    )
    print(f"longest answer of the console: {longest:.0f} ms")
    for server in servers:
        server.close()


if __name__ == "__main__":
    asyncio.run(main())
