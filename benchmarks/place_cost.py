"""What it costs to make place for a newcomer, with few connections open and with thousands.

    .venv-dev/bin/python -m benchmarks.place_cost

Prints microseconds a newcomer, and how they grow with the number open.
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
NEWCOMERS = 4000


class Crowd:
    """A connection that never said anything."""

    has_pending = has_requested = closing = False
    idle = True

    def evict(self) -> None: ...

    def abort(self) -> None: ...


def come(side: Downstream, one: Crowd) -> None:
    side._connections[one] = None  # type: ignore[index]
    side.eviction_order.touch(one)  # type: ignore[arg-type]


class Silent:
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        return []


async def cost(size: int) -> float:
    clock, log, counters = SystemClock(asyncio.get_running_loop()), Log("bench", io.BytesIO()), Counters()
    settings = api.Settings()
    core = RequestLifecycle(Silent(), settings, clock, 1 << 20, log, counters)
    transports = EndpointList((), (), settings, clock)
    side = Downstream(core, settings, transports, clock, size, log, counters)
    for _ in range(size):
        come(side, Crowd())
    began = time.perf_counter()
    for _ in range(NEWCOMERS):
        assert side._evict_one()
        come(side, Crowd())
    took = time.perf_counter() - began
    side._connections.clear()
    side.close()
    log.close()
    return took / NEWCOMERS * 1e6


def main() -> None:
    figures = {size: asyncio.run(cost(size)) for size in SIZES}
    first = figures[SIZES[0]]
    for size, us in figures.items():
        print(f"{size:6} open: {us:7.2f} us a newcomer, {us / first:5.1f} times that of {SIZES[0]}")


if __name__ == "__main__":
    main()
