"""Idle memory and CPU a small request of two trees of this project, in one run.

    .venv-dev/bin/python -m benchmarks.node_cost OLD_TREE [NEW_TREE]

Starts the node of each tree between stand-ins on loopback, sends the same reads over eight connections to
each in turn, and prints what the processes took and the ratios. Bounded: ROUNDS rounds of REQUESTS a tree.
"""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

ROUNDS = 5
REQUESTS = 4000  # of a round
CLIENTS = 8
TICK = os.sysconf("SC_CLK_TCK")
SETTINGS = {
    "services": [{"name": "read", "effect": "retryable", "sloNs": 10**9, "hardLimitNs": 10**10}],
    "permissions": {"attemptsCap": 4, "connIdleNs": 5 * 10**9},
    "discovery": "on_request",
    "familyInfo": {"mode": "aside", "originKind": 1},
    "kinds": ["box", "origin"],
}


async def cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A cache server that has every key."""
    while line := await reader.readline():
        uid = line.split(b" O")[1].split()[0]
        writer.write(b"VA 64 O%b h1\r\n%b\r\n" % (uid, b"v" * 64))
    writer.close()


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that says nothing until the other side is done."""
    await reader.read()
    writer.close()


class Node:
    """The node of a source tree, in a process of its own."""

    def __init__(self, tree: str, box: int, discovery: int) -> None:
        self.tree = tree
        member = {"id": "box", "host_port": f"127.0.0.1:{box}", "flavor": "box", "phase": "in_service"}
        self.config: dict[str, Any] = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery}",
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
        """CPU seconds of the process so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def round(self) -> float:
        """Microseconds of CPU a request, over one round."""
        began = self.cpu_s
        await asyncio.gather(*(self.client(REQUESTS // CLIENTS) for _ in range(CLIENTS)))
        return (self.cpu_s - began) / REQUESTS * 1e6

    async def client(self, count: int) -> None:
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
    """Measure two trees in turn and print their figures and ratios."""
    box = await asyncio.start_server(cache, "127.0.0.1", 0)
    discovery = await asyncio.start_server(silent, "127.0.0.1", 0)
    ports = [server.sockets[0].getsockname()[1] for server in (box, discovery)]
    nodes = [Node(str(Path(tree).resolve()), *ports) for tree in trees]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for node in nodes:
                await node.start(Path(folder))
            idle = [node.memory_mb for node in nodes]
            costs: list[list[float]] = [[], []]
            for _ in range(ROUNDS):
                for node, found in zip(nodes, costs, strict=True):
                    found.append(await node.round())
            old, new = (sorted(found)[len(found) // 2] for found in costs)
            print(f"idle memory, MB: {idle[0]:.1f} and {idle[1]:.1f}, ratio {idle[1] / idle[0]:.3f}")
            print(f"CPU a request, us: {old:.0f} and {new:.0f}, ratio {new / old:.3f} (medians)")
        finally:
            for node in nodes:
                node.process.kill()
    box.close()
    discovery.close()


if __name__ == "__main__":
    asyncio.run(main([*sys.argv[1:2], *(sys.argv[2:3] or ["."])]))
