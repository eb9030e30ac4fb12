"""A memory budget: bytes are reserved before use, released once, and granted first come, first served."""

import asyncio
from collections import deque
from collections.abc import Callable

from flintridge.runtime.clock import Clock, Timer

# There can be three copies of a value up to this size: as read, as encoded for a server, in a write buffer.
SMALL_VALUE_BYTES = 64 * 1024
SMALL_VALUE_BUFFERS = 3


def bytes_to_reserve(length: int) -> int:
    """Return how many bytes to reserve for a written value of `length` bytes."""
    return length if length > SMALL_VALUE_BYTES else SMALL_VALUE_BUFFERS * length


class MemoryBudget:
    """A limited number of bytes that reservations share. Times are float milliseconds of `clock`."""

    def __init__(self, total: int, clock: Clock) -> None:
        self.total = total
        self.reserved = 0
        self._clock = clock
        self._waiting: deque[_Reservation] = deque()

    def try_reserve(self, count: int, keep_free: int = 0) -> bool:
        """Reserve bytes immediately; False if too few are free or other reservations are waiting.

        Args:
            count: The number of bytes.
            keep_free: The number of bytes that must remain free.
        """
        if count and (self._waiting or self.reserved + count + keep_free > self.total):
            return False
        self.reserved += count
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes and grant waiting reservations that now fit."""
        if not count:
            return
        self.reserved -= count
        assert self.reserved >= 0, "more bytes were released than reserved"
        self._grant_waiting()

    def resize(self, total: int) -> None:
        """Change the total; existing reservations stay."""
        self.total = total
        self._grant_waiting()

    def wait(self, count: int, time_limit: float, decided: Callable[[bool], None]) -> Callable[[], None]:
        """Reserve `count` bytes as soon as they are free, waiting at most `time_limit` milliseconds.

        All bytes are reserved together, before any is used, so two partial reservations cannot deadlock. They
        are granted in the order of the calls, so large reservations are not starved.

        Args:
            count: Number of bytes.
            time_limit: Longest wait, in milliseconds.
            decided: Called once, with True if the bytes are reserved and False if not.

        Returns:
            A function that cancels the wait.
        """
        reservation = _Reservation(count, decided)
        if count > self.total:
            reservation.decide(False)
            return lambda: None
        if self.try_reserve(count):
            reservation.decide(True)
        else:
            due = self._clock.now() + time_limit
            reservation.timer = self._clock.call_at(due, self._abandon, reservation)
            self._waiting.append(reservation)
        return lambda: self._cancel(reservation)

    async def reserve(self, count: int, time_limit: float) -> bool:
        """Reserve as `wait` does; True if the bytes are reserved. A cancelled call leaves none reserved."""
        decided: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def on_decision(granted: bool) -> None:
            if not decided.done():
                decided.set_result(granted)

        cancel = self.wait(count, time_limit, on_decision)
        try:
            return await decided
        except asyncio.CancelledError:
            if decided.done() and not decided.cancelled() and decided.result():
                self.release(count)
            cancel()
            raise

    def _grant_waiting(self) -> None:
        while self._waiting and self.reserved + self._waiting[0].count <= self.total:
            reservation = self._waiting.popleft()
            self.reserved += reservation.count
            reservation.decide(True)

    def _cancel(self, reservation: "_Reservation") -> None:
        if reservation.granted is None:
            self._abandon(reservation)

    def _abandon(self, reservation: "_Reservation") -> None:
        self._waiting.remove(reservation)
        reservation.decide(False)
        self._grant_waiting()


class _Reservation:
    """A reservation that waits or has been decided."""

    __slots__ = ("count", "decided", "granted", "timer")

    def __init__(self, count: int, decided: Callable[[bool], None]) -> None:
        self.count = count
        self.decided = decided
        self.granted: bool | None = None
        self.timer: Timer | None = None

    def decide(self, granted: bool) -> None:
        self.granted = granted
        if self.timer is not None:
            self.timer.cancel()
        self.decided(granted)
