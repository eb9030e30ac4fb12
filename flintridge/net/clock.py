"""The one clock of a node: float milliseconds, and the one conversion to the module's integer nanoseconds."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

NS = 1_000_000
T = TypeVar("T")


def to_ns(ms: float) -> int:
    return round(ms * NS)


def to_ms(ns: int) -> float:
    return ns / NS


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    def now(self) -> float:
        """Milliseconds from an arbitrary origin, moving forward only."""

    def from_unix(self, unix_ms: float) -> float:
        """An instant in Unix time on this clock; the same instant always gives the same figure."""

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer: ...


class SystemClock:
    """The event loop's clock; `unix_ms` is the Unix time at this moment, by default the system's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, unix_ms: float | None = None) -> None:
        self._loop = loop
        # Fixed at the start: a restart is told by a changed instant, so a stepped system clock
        # must not move the instants that were converted before.
        self._unix_origin = (time.time() * 1000 if unix_ms is None else unix_ms) - self.now()

    def now(self) -> float:
        return self._loop.time() * 1000

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - self._unix_origin

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        return self._loop.call_at(at / 1000, call, *args)


class OutOfTime(Exception):
    """What was waited for did not come within its limit."""


async def within(clock: Clock, limit: float, awaited: Awaitable[T]) -> T:
    """The result of `awaited`, or OutOfTime after `limit` milliseconds of this clock."""
    task = asyncio.current_task()
    assert task is not None
    late = False

    def expire() -> None:
        nonlocal late
        late = True
        task.cancel()

    timer = clock.call_at(clock.now() + limit, expire)
    try:
        return await awaited
    except asyncio.CancelledError:
        if late and not task.uncancel():  # else whoever started this task gave it up as well
            raise OutOfTime from None
        raise
    finally:
        timer.cancel()


async def sleep(clock: Clock, ms: float) -> None:
    woken = asyncio.Event()
    timer = clock.call_at(clock.now() + ms, woken.set)
    try:
        await woken.wait()
    finally:
        timer.cancel()
