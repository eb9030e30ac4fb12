"""A small deployment for a case: discovery, cache servers, an origin, and the processes of nodes."""

import asyncio
import json
from pathlib import Path

from review.rig_2.config import write_platform_file
from review.rig_2.network import free_port
from review.rig_2.program import NodeProcess
from review.rig_2.record import Record
from review.rig_2.servers import Answer, CacheServer, Command, Discovery, Origin, Server, hit, miss

READ = {"name": "read", "effect": "retryable", "sloNs": 1_200_000_000, "hardLimitNs": 2_500_000_000}
ORDER = {"name": "order", "effect": "fragile", "sloNs": 1_200_000_000, "hardLimitNs": 4_000_000_000}


async def answer_hit(command: Command) -> bytes:
    """Answer as a cache server that stores each key."""
    return hit(command, b"menu of the day")


async def answer_miss(command: Command) -> bytes:
    """Answer as a cache server that stores nothing."""
    return miss(command)


async def answer_receipt(command: Command) -> bytes:
    """Answer as an origin: a receipt that names the request."""
    return b"r" + command.id.encode()


class SmallSite:
    """The stand-ins around the nodes of a case, and the nodes' processes.

    Attributes:
        record: The record of the case.
        temporary: The folder for files of the case.
        discovery: Discovery.
        caches: The cache servers.
        origin: The origin.
        processes: All processes of nodes that were started.
    """

    def __init__(
        self,
        record: Record,
        temporary: Path,
        cache_count: int,
        cache_answer: Answer = answer_hit,
        origin: Server | None = None,
        discovery: Discovery | None = None,
    ) -> None:
        """Create the stand-ins; `start` has them listen."""
        self.record = record
        self.temporary = temporary
        self.discovery = discovery or Discovery(record)
        names = [f"s-{number}" for number in range(1, cache_count + 1)]
        self.caches = [CacheServer(name, record, cache_answer) for name in names]
        self.origin = origin or Origin("origin", record, answer_receipt)
        self.processes: list[NodeProcess] = []

    async def start(self) -> None:
        """Have the stand-ins listen, and list them at discovery."""
        for server in (*self.caches, self.origin, self.discovery):
            await server.start()
        for cache in self.caches:
            self.discovery.put(cache, "box")
        self.discovery.put(self.origin, "origin")

    def platform_node(self, name: str, **settings: object) -> tuple[Path, int]:
        """Write a node's configuration in the platform's JSON; return the file and the clients' port."""
        path = self.temporary / f"{name}.json"
        port = free_port()
        write_platform_file(path, name, port, self.discovery.port, [READ, ORDER])
        config = json.loads(path.read_text())
        config["known"] = {
            "revision": self.discovery.revision,
            "complete": True,
            "members": list(self.discovery.members.values()),
        }
        config["settings"].update(settings)
        path.write_text(json.dumps(config))
        return path, port

    async def start_process(self, name: str, config: Path, node: str, **environment: str) -> NodeProcess:
        """Start a process of the node `node`; its processes share a temporary folder."""
        process = NodeProcess(name, config, self.temporary / f"tmp-{node}", self.record)
        self.processes.append(process)
        await process.start(**environment)
        return process

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes:
            await process.kill()
        for server in (*self.caches, self.origin, self.discovery):
            await server.stop()
        await asyncio.sleep(0)
