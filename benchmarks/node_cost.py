"""Compares idle memory and the CPU time of a small request between two source trees of this project.

    .venv-dev/bin/python -m benchmarks.node_cost OLD_TREE [NEW_TREE]

Starts the node of each tree with simulated servers on loopback, sends the same reads over eight connections
to each node in turn, and prints the memory and CPU time of the processes and the ratios. The load is bounded:
ROUNDS rounds of REQUESTS requests per tree.
"""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

ROUNDS = 5
REQUESTS = 4000  # per round
CLIENTS = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTINGS = {
    "services": [{"name": "read", "effect": "retryable", "sloNs": 10**9, "hardLimitNs": 10**10}],
    "permissions": {"attemptsCap": 4, "connIdleNs": 5 * 10**9},
    "discovery": "on_request",
    "familyInfo": {"mode": "aside", "originKind": 1},
    "kinds": ["box", "origin"],
}


async def serve_cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection as a cache server that has every key."""
    while line := await reader.readline():
        request_id = line.split(b" O")[1].split()[0]
        writer.write(b"VA 64 O%b h1\r\n%b\r\n" % (request_id, b"v" * 64))
    writer.close()


async def serve_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send nothing, and close the connection when the peer ends its stream."""
    await reader.read()
    writer.close()


class Node:
    """The node of a source tree, in a process of its own."""

    def __init__(self, tree: str, cache_port: int, discovery_port: int) -> None:
        self.tree = tree
        member = {"id": "box", "host_port": f"127.0.0.1:{cache_port}", "flavor": "box", "phase": "in_service"}
        self.config: dict[str, Any] = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery_port}",
            "known": {"revision": 1, "complete": True, "members": [member]}, "settings": SETTINGS,
        }  # fmt: skip
        self.sent = 0

    async def start(self, folder: Path) -> None:
        """Start the process and wait until it serves."""
        path = folder / f"{id(self)}.json"
        path.write_text(json.dumps(self.config))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintridge", cwd=self.tree, stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(path), "PYTHONPATH": self.tree},
        )  # fmt: skip
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            if (event := json.loads(line))["event"] == "serving":
                self.port = event["port"]
                return

    @property
    def cpu_s(self) -> float:
        """CPU seconds that the process has used so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process in MiB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def round(self) -> float:
        """Run a round of requests, and return the microseconds of CPU time per request."""
        started_at = self.cpu_s
        await asyncio.gather(*(self.run_client(REQUESTS // CLIENTS) for _ in range(CLIENTS)))
        return (self.cpu_s - started_at) / REQUESTS * 1e6

    async def run_client(self, count: int) -> None:
        """Read values one after the other over one connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for _ in range(count):
            self.sent += 1
            writer.write(b"mg key%d v Oi%d Pc=read,d=9000\r\n" % (self.sent % 500, self.sent))
            line = await reader.readline()
            assert line.startswith(b"VA 64 "), line
            await reader.readexactly(66)
        writer.close()


async def main(trees: list[str]) -> None:
    """Measure two trees in turn, and print their costs and the ratios."""
    cache = await asyncio.start_server(serve_cache, "127.0.0.1", 0)
    discovery = await asyncio.start_server(serve_nothing, "127.0.0.1", 0)
    ports = [server.sockets[0].getsockname()[1] for server in (cache, discovery)]
    nodes = [Node(str(Path(tree).resolve()), *ports) for tree in trees]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for node in nodes:
                await node.start(Path(folder))
            idle = [node.memory_mb for node in nodes]
            costs: list[list[float]] = [[], []]
            for _ in range(ROUNDS):
                for node, of_node in zip(nodes, costs, strict=True):
                    of_node.append(await node.round())
            old, new = (sorted(of_node)[len(of_node) // 2] for of_node in costs)
            print(f"idle memory, MB: {idle[0]:.1f} and {idle[1]:.1f}, ratio {idle[1] / idle[0]:.3f}")
            print(f"CPU per request, us: {old:.0f} and {new:.0f}, ratio {new / old:.3f} (medians)")
        finally:
            for node in nodes:
                node.process.kill()
    cache.close()
    discovery.close()


if __name__ == "__main__":
    asyncio.run(main([*sys.argv[1:2], *(sys.argv[2:3] or ["."])]))
