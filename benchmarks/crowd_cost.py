"""What a connection of a crowd costs a node: memory while it stays, CPU to take it in, and how fast it is.

    .venv-dev/bin/python -m benchmarks.crowd_cost

Opens COUNT connections that say nothing, 250 at a time; then ROUNDS bursts of ASKING requests, each on a
connection of its own. Bounded in number.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from benchmarks.node_cost import Node, cache, silent

COUNT = 2000
ROUNDS = 5
ASKING = 200  # requests of a burst


async def ask(node: Node, number: int) -> None:
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"mg key%d v Oc%d Pc=read,d=9000\r\n" % (number % 50, number))
    assert (await reader.readline()).startswith(b"VA 64 ")
    writer.close()


async def main() -> None:
    """Open the connections, then the bursts, and print what they cost."""
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (cache, silent)]
    box, discovery = (server.sockets[0].getsockname()[1] for server in servers)
    node = Node(".", box, discovery)
    node.config["limits"] = {"memory_mb": 192, "sockets": 8192}
    with tempfile.TemporaryDirectory() as folder:
        await node.start(Path(folder))
        try:
            await ask(node, 0)
            memory, cpu, began = node.memory_mb, node.cpu_s, time.perf_counter()
            crowd = []
            for at in range(0, COUNT, 250):  # the listener's queue holds 512
                crowd += await asyncio.gather(
                    *(asyncio.open_connection("127.0.0.1", node.port) for _ in range(250))
                )
                await ask(node, at + 1)  # answered behind them: all before it are taken in
            took = time.perf_counter() - began
            memory, cpu = node.memory_mb - memory, node.cpu_s - cpu
            for _, writer in crowd:
                writer.close()
            each = f"{memory * 1024 / COUNT:.1f} KiB, {cpu / COUNT * 1e6:.0f} us"
            print(f"{COUNT} silent connections: {each} each")
            print(f"taken in at {COUNT / took:.0f} a second")
            costs = []
            for number in range(ROUNDS):
                before = node.cpu_s
                await asyncio.gather(*(ask(node, 10_000 + number * ASKING + i) for i in range(ASKING)))
                costs.append((node.cpu_s - before) / ASKING * 1e6)
            print(f"a request on a connection of its own: {sorted(costs)[ROUNDS // 2]:.0f} us")
        finally:
            node.process.kill()
    for server in servers:
        server.close()


if __name__ == "__main__":
    asyncio.run(main())
