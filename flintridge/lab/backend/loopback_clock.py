"""The clock of a run in real time."""

import asyncio
import time
from collections.abc import Callable


class LoopbackClock:
    """The clock of a run on a real event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, start_s: float) -> None:
        """Create the clock of a run.

        Args:
            loop: The event loop.
            start_s: The time of the loop at which the run starts, in s.
        """
        self._loop = loop
        self._start_s = start_s
        self._unix_start_ms = (time.time() - loop.time() + start_s) * 1000

    def now(self) -> float:
        """Return the time of the run (ms); negative during the warm-up."""
        return (self._loop.time() - self._start_s) * 1000

    def unix_ms(self, at: float) -> float:
        """Convert a time of the run (ms) to Unix time (ms)."""
        return self._unix_start_ms + at

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call a function at a time of the run (ms)."""
        return self._loop.call_at(self._start_s + at / 1000, call, *args)

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call a function after a delay (ms)."""
        return self._loop.call_later(ms / 1000, call, *args)

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time of the run (ms)."""
        await asyncio.sleep((at - self.now()) / 1000)
