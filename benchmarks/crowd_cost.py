"""Measures what many connections cost a node: memory while they are open, and CPU time and rate of accepting.

    .venv-dev/bin/python -m benchmarks.crowd_cost

Opens COUNT silent connections, 250 at a time; then sends ROUNDS bursts of REQUESTS_PER_BURST requests, each
on a connection of its own. The number of connections and requests is bounded.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from benchmarks.node_cost import Node, serve_cache, serve_nothing

COUNT = 2000
ROUNDS = 5
REQUESTS_PER_BURST = 200


async def send_request(node: Node, number: int) -> None:
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"mg key%d v Oc%d Pc=read,d=9000\r\n" % (number % 50, number))
    assert (await reader.readline()).startswith(b"VA 64 ")
    writer.close()


async def main() -> None:
    """Open the connections, send the bursts, and print the costs."""
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (serve_cache, serve_nothing)]
    cache_port, discovery_port = (server.sockets[0].getsockname()[1] for server in servers)
    node = Node(".", cache_port, discovery_port)
    node.config["limits"] = {"memory_mb": 192, "sockets": 8192}
    with tempfile.TemporaryDirectory() as folder:
        await node.start(Path(folder))
        try:
            await send_request(node, 0)
            memory, cpu, started_at = node.memory_mb, node.cpu_s, time.perf_counter()
            connections = []
            for opened in range(0, COUNT, 250):  # the listener's queue holds 512
                connections += await asyncio.gather(
                    *(asyncio.open_connection("127.0.0.1", node.port) for _ in range(250))
                )
                # Its connection is accepted after the others, so once it is answered all are accepted.
                await send_request(node, opened + 1)
            took = time.perf_counter() - started_at
            memory, cpu = node.memory_mb - memory, node.cpu_s - cpu
            for _, writer in connections:
                writer.close()
            per_connection = f"{memory * 1024 / COUNT:.1f} KiB, {cpu / COUNT * 1e6:.0f} us"
            print(f"{COUNT} silent connections: {per_connection} each")
            print(f"accepted at {COUNT / took:.0f} per second")
            costs = []
            for number in range(ROUNDS):
                before = node.cpu_s
                await asyncio.gather(
                    *(
                        send_request(node, 10_000 + number * REQUESTS_PER_BURST + i)
                        for i in range(REQUESTS_PER_BURST)
                    )
                )
                costs.append((node.cpu_s - before) / REQUESTS_PER_BURST * 1e6)
            print(f"a request on a connection of its own: {sorted(costs)[ROUNDS // 2]:.0f} us")
        finally:
            node.process.kill()
    for server in servers:
        server.close()


if __name__ == "__main__":
    asyncio.run(main())
