"""Measures the cost of evicting a connection for a new one, with few and with thousands of open connections.

    .venv-dev/bin/python -m benchmarks.place_cost

Prints the microseconds per new connection, and their growth with the number of open connections.
"""

import asyncio
import io
import time

from flintridge import api
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.listener import Downstream
from flintridge.runtime.clock import SystemClock
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import Log

SIZES = (100, 1000, 8000)
NEW_CONNECTIONS = 4000


class SilentConnection:
    """A connection on which nothing was ever sent."""

    has_pending = False
    has_requested = False
    closing = False
    idle = True

    def evict(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


class PassivePolicy:
    """A policy that does nothing."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Return no actions."""
        return []


async def measure(size: int) -> float:
    """Measure the microseconds per new connection, with `size` connections open."""
    clock = SystemClock(asyncio.get_running_loop())
    log = Log("bench", io.BytesIO())
    counters = Counters()
    settings = api.Settings()
    core = RequestLifecycle(PassivePolicy(), settings, clock, 1 << 20, log, counters)
    endpoints = EndpointList((), (), settings, clock)
    downstream = Downstream(core, settings, endpoints, clock, size, log, counters)
    for _ in range(size):
        downstream.connections.add(SilentConnection())  # type: ignore[arg-type]
    started_at = time.perf_counter()
    for _ in range(NEW_CONNECTIONS):
        assert downstream.connections.evict_one()
        downstream.connections.add(SilentConnection())  # type: ignore[arg-type]
    took = time.perf_counter() - started_at
    downstream.close()
    log.close()
    return took / NEW_CONNECTIONS * 1e6


def main() -> None:
    """Measure and print the cost at each size."""
    costs_us = {size: asyncio.run(measure(size)) for size in SIZES}
    first = costs_us[SIZES[0]]
    for size, us in costs_us.items():
        print(f"{size:6} open: {us:7.2f} us per new connection, {us / first:5.1f} times that of {SIZES[0]}")


if __name__ == "__main__":
    main()
