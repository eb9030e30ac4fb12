"""Servers of a drain soak: one listener for each node process, which records when attempts arrive."""

import asyncio
import random
import time

from support.drain_judge import Attempts
from support.soak_servers import DisturbedCache, DisturbedOrigin, DisturbedServer, Received

KINDS: dict[str, type[DisturbedServer]] = {"box": DisturbedCache, "origin": DisturbedOrigin}


class Arrivals(list):
    """Records each attempt for one server, beside the list that all servers of a soak share."""

    def __init__(self, shared: list[tuple[float, str]], instants: list[float]) -> None:
        super().__init__()
        self._shared = shared
        self._instants = instants

    def append(self, attempt: tuple[float, str]) -> None:
        """Record an attempt."""
        self._shared.append(attempt)
        self._instants.append(attempt[0])


class ServersOfNode:
    """The listeners of all servers for one node process.

    Attributes:
        ports: The port of each server.
    """

    def __init__(
        self, received: Received, attempts: Attempts, rng: random.Random, fault_fraction: float
    ) -> None:
        self.ports: dict[str, int] = {}
        self._received = received
        self._attempts = attempts
        self._rng = rng
        self._fault_fraction = fault_fraction
        self._listeners: list[DisturbedServer] = []

    async def add(self, server: str) -> None:
        """Start the listener of a server."""
        instants = self._attempts.arrived_at.setdefault(server, [])
        received = Received(
            attempts=Arrivals(self._received.attempts, instants),
            executed=self._received.executed,
            closed_while_writing=self._received.closed_while_writing,
        )
        kind = KINDS[server.partition("-")[0]]
        listener = kind(random.Random(self._rng.random()), received, self._fault_fraction)
        await listener.start()
        self._listeners.append(listener)
        self.ports[server] = listener.port

    def close(self) -> None:
        """End all listeners."""
        for listener in self._listeners:
            listener.close()


async def measure_stalls(received: Received) -> None:
    """Measure for how long this process is held up, until cancelled."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.01)
        received.longest_stall_s = max(received.longest_stall_s, time.monotonic() - before - 0.01)
