"""The one clock of a node: float milliseconds, and the one conversion to the module's integer nanoseconds."""

import asyncio
import selectors
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

    def arrived_since(self) -> float:
        """No byte that is read in this turn of the event loop had come before this instant."""


class TurnSelector(selectors.DefaultSelector):
    """Notes how long what a turn of its event loop reads may have lain there.

    Guards what is reckoned from the arrival of a request: in a crowd a turn takes some tenths of a second,
    and a request that came at its begin is read in the next one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.since = self._looked = time.monotonic()  # seconds, as the loop's time

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        called = time.monotonic()
        found = super().select(timeout)
        looked = time.monotonic()
        # What was waited for came just now; what was there at once, at some time since the look before.
        self.since = looked if looked - called >= 0.001 else self._looked
        self._looked = looked
        return found


class SystemClock:
    """The event loop's clock; `unix_ms` is the Unix time at this moment, by default the system's, and `turns`
    the loop's selector where that notes its turns."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_ms: float | None = None,
        turns: TurnSelector | None = None,
    ) -> None:
        self._loop = loop
        self._turns = turns
        # Fixed at the start: a restart is told by a changed instant, so a stepped system clock
        # must not move the instants that were converted before.
        self._unix_origin = (time.time() * 1000 if unix_ms is None else unix_ms) - self.now()

    def now(self) -> float:
        return self._loop.time() * 1000

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - self._unix_origin

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        return self._loop.call_at(at / 1000, call, *args)

    def arrived_since(self) -> float:
        return self.now() if self._turns is None else self._turns.since * 1000


class DeadlineExceededError(Exception):
    """What was waited for did not come within its limit."""


async def within(clock: Clock, limit: float, awaited: Awaitable[T]) -> T:
    """The result of `awaited`, or DeadlineExceededError after `limit` milliseconds of this clock."""
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
            raise DeadlineExceededError from None
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
