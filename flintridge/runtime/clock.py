"""The clock of a node: milliseconds as floats, timers, and time limits on what is awaited."""

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from flintridge.errors import FlintridgeError

NS_PER_MS = 1_000_000
WAITED_MIN_S = 0.001  # a call of the selector that took less found what had been there before

T = TypeVar("T")


def to_ns(ms: float) -> int:
    """Milliseconds as the policy's whole nanoseconds."""
    return round(ms * NS_PER_MS)


def to_ms(ns: int) -> float:
    """The policy's nanoseconds as milliseconds."""
    return ns / NS_PER_MS


class Timer(Protocol):
    """A call that was scheduled."""

    def cancel(self) -> None:
        """Drop the call; nothing happens where it was made already."""


class Clock(Protocol):
    """What the parts of a node need to know of time."""

    def now(self) -> float:
        """Milliseconds from an arbitrary origin, moving forward only."""

    def from_unix(self, unix_ms: float) -> float:
        """An instant in Unix time on this clock; the same instant always gives the same figure."""

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        """Call `call(*args)` at the instant `at` of this clock."""

    def earliest_arrival(self) -> float:
        """No byte that is read in this iteration of the event loop had arrived before this instant."""


class ArrivalTrackingSelector(selectors.DefaultSelector):
    """Notes how long the input that an iteration of its event loop reads may have waited.

    Guards what is reckoned from the arrival of a request: under load an iteration takes some tenths of a
    second, and a request that came at its begin is read in the next one.

    Attributes:
        earliest_arrival_s: No input of this iteration had arrived before; seconds, as the loop's time.
    """

    def __init__(self) -> None:
        super().__init__()
        self._last_select_s = time.monotonic()
        self.earliest_arrival_s = self._last_select_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """As the base does it, and note the time."""
        called_s = time.monotonic()
        ready = super().select(timeout)
        returned_s = time.monotonic()
        if returned_s - called_s >= WAITED_MIN_S:
            self.earliest_arrival_s = returned_s
        else:  # it was there at once: it came at some time since the call before
            self.earliest_arrival_s = self._last_select_s
        self._last_select_s = returned_s
        return ready


class SystemClock:
    """The event loop's clock."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_ms: float | None = None,
        selector: ArrivalTrackingSelector | None = None,
    ) -> None:
        """Fix the difference to Unix time.

        Args:
            loop: Gives the time and runs the timers.
            unix_ms: The Unix time at this moment in milliseconds; None: the system's.
            selector: The loop's, where that notes arrivals.
        """
        self._loop = loop
        self._selector = selector
        # Fixed at the start: a restart is recognized by a changed instant, so a stepped system clock
        # must not move the instants that were converted before. It may have been stepped by now too: the
        # endpoint list corrects what it tells by `flintridge.discovery.server_starts`.
        unix_now_ms = time.time() * 1000 if unix_ms is None else unix_ms
        self._unix_origin_ms = unix_now_ms - self.now()

    def now(self) -> float:
        """Milliseconds of the loop's time."""
        return self._loop.time() * 1000

    def from_unix(self, unix_ms: float) -> float:
        """An instant in Unix time on this clock, whatever became of the system's clock since the start."""
        return unix_ms - self._unix_origin_ms

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        """Call `call(*args)` at the instant `at` of this clock."""
        return self._loop.call_at(at / 1000, call, *args)

    def earliest_arrival(self) -> float:
        """No byte read in this iteration had arrived before; now, where the selector notes nothing."""
        if self._selector is None:
            return self.now()
        return self._selector.earliest_arrival_s * 1000


class DeadlineExceededError(FlintridgeError):
    """What was awaited did not come within its time limit.

    It is no OSError: callers tell a connection that broke from a peer that is slow.
    """


async def with_timeout(clock: Clock, timeout_ms: float, awaitable: Awaitable[T]) -> T:
    """Await something for a limited time.

    Args:
        clock: Measures the time; this is why `asyncio.timeout` doesn't do, which knows the loop's only.
        timeout_ms: From now on; zero or less: it may do what it can without another iteration of the loop.
        awaitable: Is cancelled when the time has passed.

    Returns:
        What `awaitable` returned.

    Raises:
        DeadlineExceededError: The time passed first.
    """
    task = asyncio.current_task()
    assert task is not None
    expired = False

    def expire() -> None:
        nonlocal expired
        expired = True
        task.cancel()

    timer = clock.call_at(clock.now() + timeout_ms, expire)
    try:
        return await awaitable
    except asyncio.CancelledError:
        if expired and not task.uncancel():  # else whoever started this task cancelled it as well
            raise DeadlineExceededError from None
        raise
    finally:
        timer.cancel()


async def sleep(clock: Clock, ms: float) -> None:
    """Wait for so many milliseconds of `clock`."""
    woken = asyncio.Event()
    timer = clock.call_at(clock.now() + ms, woken.set)
    try:
        await woken.wait()
    finally:
        timer.cancel()
