"""The clock of a node: times as float milliseconds, timers, and timeouts of awaitables."""

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from flintridge.errors import FlintridgeError

NS_PER_MS = 1_000_000
MIN_SELECT_WAIT_S = 0.001  # if select() takes less, the input that it reports had arrived before the call

T = TypeVar("T")


def to_ns(ms: float) -> int:
    """Convert milliseconds to the whole nanoseconds that the policy uses."""
    return round(ms * NS_PER_MS)


def to_ms(ns: int) -> float:
    """Convert the policy's nanoseconds to milliseconds."""
    return ns / NS_PER_MS


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; does nothing if it has already been made."""


class Clock(Protocol):
    """The time source and timers that the parts of a node use."""

    def now(self) -> float:
        """The monotonic time in milliseconds since an arbitrary origin."""

    def from_unix(self, unix_ms: float) -> float:
        """Convert an instant in Unix time to this clock; the same instant always gives the same result."""

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        """Call `call(*args)` at the instant `at` of this clock."""

    def earliest_arrival(self) -> float:
        """A lower bound for the arrival of every byte that this iteration of the event loop reads."""


class ArrivalTrackingSelector(selectors.DefaultSelector):
    """Records how long the input that an iteration of the event loop reads may have waited.

    Deadlines are computed from the arrival of a request. While the node is held up within an iteration, for
    up to 150 ms, a request that arrives is not read before the next one.

    Attributes:
        earliest_arrival_s: No input of this iteration arrived before this instant, in seconds of the loop's
            time.
    """

    def __init__(self) -> None:
        super().__init__()
        self._last_select_s = time.monotonic()
        self.earliest_arrival_s = self._last_select_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Select as the base class does, and update `earliest_arrival_s`."""
        called_s = time.monotonic()
        ready = super().select(timeout)
        returned_s = time.monotonic()
        if returned_s - called_s >= MIN_SELECT_WAIT_S:
            self.earliest_arrival_s = returned_s
        else:  # the input was already there: it arrived at some time since the previous call returned
            self.earliest_arrival_s = self._last_select_s
        self._last_select_s = returned_s
        return ready


class SystemClock:
    """A `Clock` on the time and the timers of an event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_ms: float | None = None,
        selector: ArrivalTrackingSelector | None = None,
    ) -> None:
        """Fix the offset from Unix time.

        Args:
            loop: The event loop, which provides the time and runs the timers.
            unix_ms: The current Unix time in milliseconds; None to read the system clock.
            selector: The loop's selector, if it tracks arrivals.
        """
        self._loop = loop
        self._selector = selector
        # Fixed at the start: a server's restart is recognized by a changed start instant, so a step of the
        # system clock must not move instants that were converted before. The system clock may also be wrong
        # already: `flintridge.discovery.server_starts` corrects the starts in the endpoint list for that.
        unix_now_ms = time.time() * 1000 if unix_ms is None else unix_ms
        self._unix_origin_ms = unix_now_ms - self.now()

    def now(self) -> float:
        """The loop's time in milliseconds."""
        return self._loop.time() * 1000

    def from_unix(self, unix_ms: float) -> float:
        """Convert an instant in Unix time to this clock; steps of the system clock don't affect it."""
        return unix_ms - self._unix_origin_ms

    def call_at(self, at: float, call: Callable[..., None], *args: object) -> Timer:
        """Call `call(*args)` at the instant `at` of this clock."""
        return self._loop.call_at(at / 1000, call, *args)

    def earliest_arrival(self) -> float:
        """A lower bound for the arrival of the bytes read in this iteration; now, if none is tracked."""
        if self._selector is None:
            return self.now()
        return self._selector.earliest_arrival_s * 1000


class DeadlineExceededError(FlintridgeError):
    """An awaitable did not complete within its timeout.

    It is not an OSError, so that callers can distinguish a broken connection from a slow peer.
    """


async def with_timeout(clock: Clock, timeout_ms: float, awaitable: Awaitable[T]) -> T:
    """Await something with a timeout.

    Args:
        clock: Measures the timeout; `asyncio.timeout` can't be used, as it knows only the loop's clock.
        timeout_ms: Counted from now; if it is zero or less, the awaitable may still complete if it needs no
            further iteration of the event loop.
        awaitable: Cancelled when the timeout expires.

    Returns:
        The result of `awaitable`.

    Raises:
        DeadlineExceededError: The timeout expired before `awaitable` completed.
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
        if expired and not task.uncancel():  # otherwise this task was also cancelled from outside
            raise DeadlineExceededError from None
        raise
    finally:
        timer.cancel()


async def sleep(clock: Clock, ms: float) -> None:
    """Wait for `ms` milliseconds of `clock`."""
    woken = asyncio.Event()
    timer = clock.call_at(clock.now() + ms, woken.set)
    try:
        await woken.wait()
    finally:
        timer.cancel()
