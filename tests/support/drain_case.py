"""One node process whose servers drain at the moment of a given fault of discovery."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from support.drain_list import TERMINATED, TERMINATING, MemberList
from support.drain_node import NodeProcess, NodeSettings
from support.drain_servers import measure_stalls
from support.reserved_port import reserved_port
from support.soak_clients import Client, Judge
from support.soak_servers import Received

CLIENTS = 4
SERVERS = ("box-0", "box-1", "box-2", "origin-0", "origin-1")
LEAVING = {"box-0": TERMINATING, "box-1": TERMINATED, "origin-0": TERMINATING}
TOLD_LIMIT_S = 20.0
ARRIVAL_S = 0.2
SETTLED_S = 1.0  # how long a process serves before its fault begins


class DrainCase:
    """One run of one node process.

    Attributes:
        members: The list of the servers.
        process: The node process.
    """

    def __init__(self, folder: Path, settings: NodeSettings, seed: int = 1) -> None:
        """`folder` has the files of the process."""
        self._received = Received()
        self._rng = random.Random(seed)
        self.members = MemberList(list(SERVERS), padding=0)
        self._known = self.members.document({})
        self.process = NodeProcess("n1", folder / "n1", self.members, self._received, settings, self._rng)

    def change_servers(self) -> None:
        """Let one cache server and one origin drain, and remove another cache server."""
        for server, phase in LEAVING.items():
            self.members.change(server, phase)

    @contextlib.asynccontextmanager
    async def serving(self, first_faults: tuple[str, ...] = ()) -> AsyncIterator[None]:
        """Run the process beside its clients.

        Args:
            first_faults: The faults of the process's first calls to discovery.
        """
        with reserved_port() as port:
            tasks = [asyncio.create_task(measure_stalls(self._received))]
            judge = Judge(self._received)
            clients = [Client(port, random.Random(self._rng.random()), judge) for _ in range(CLIENTS)]
            tasks += [asyncio.create_task(client.run()) for client in clients]
            try:
                await self.process.start(port, self._known, list(SERVERS), list(first_faults))
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await self.process.close()

    async def until_next_call(self) -> None:
        """Wait until the process has begun another call to discovery."""
        calls = self.process.discovery.calls
        while self.process.discovery.calls == calls:
            await asyncio.sleep(0.01)

    async def until_known(self) -> None:
        """Wait until the process has been written all changes, and no attempt is on its way any more."""
        end = time.monotonic() + TOLD_LIMIT_S
        while self.process.told.written(self.members.revision) == float("inf"):
            assert time.monotonic() < end, "the process was never told"
            await asyncio.sleep(0.02)
        await asyncio.sleep(ARRIVAL_S)

    def findings(self) -> list[str]:
        """What broke the rule on drains; the run must have had attempts."""
        assert self._received.attempts
        return self.process.late_attempts(self._received.longest_stall_s)


async def drain_beside_fault(
    folder: Path, settings: NodeSettings, break_discovery: Callable[[NodeProcess], None]
) -> list[str]:
    """Let servers leave right after a fault of discovery, which begins with a call of the watch.

    Returns:
        What broke the rule on drains.
    """
    case = DrainCase(folder, settings)
    async with case.serving():
        await case.until_known()
        await asyncio.sleep(SETTLED_S)
        await case.until_next_call()
        break_discovery(case.process)
        case.change_servers()
        await case.until_known()
    return case.findings()


async def drain_while_discovery_is_slow(folder: Path, settings: NodeSettings, delay_s: float) -> list[str]:
    """Let servers leave while discovery takes `delay_s` for each call; returns what broke the rule."""
    case = DrainCase(folder, settings)
    async with case.serving():
        await case.until_known()
        await asyncio.sleep(SETTLED_S)
        case.process.discovery.delay_s = delay_s
        for _ in range(2):  # the first of these calls replaces one that discovery answers as before
            await case.until_next_call()
        case.change_servers()
        await case.until_known()
    return case.findings()


async def start_with_outdated_list(
    folder: Path, settings: NodeSettings, first_faults: tuple[str, ...] = (), delay_s: float = 0.0
) -> list[str]:
    """Start a process whose configured list names servers that have left.

    Args:
        folder: Has the files of the process.
        settings: The settings of the process.
        first_faults: The faults of its first calls to discovery.
        delay_s: How long discovery takes for each call.

    Returns:
        What broke the rule on drains.
    """
    case = DrainCase(folder, settings)
    for discovery in case.process.discoveries:
        discovery.delay_s = delay_s
    case.change_servers()
    async with case.serving(first_faults):
        await case.until_known()
        await asyncio.sleep(settings.grace_s + SETTLED_S)
    return case.findings()


async def drain_as_discovery_moves(folder: Path, settings: NodeSettings) -> list[str]:
    """Let servers leave in the moment of a new configuration; its discovery does not answer the first call.

    Returns:
        What broke the rule on drains.
    """
    case = DrainCase(folder, settings)
    async with case.serving():
        await case.until_known()
        await asyncio.sleep(SETTLED_S)
        await case.until_next_call()
        case.process.discoveries[1].call_faults.append("hang")
        case.change_servers()
        case.process.move_discovery()
        await asyncio.sleep(settings.grace_s + SETTLED_S)
        await case.until_known()
    return case.findings()
