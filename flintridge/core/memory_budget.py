"""Memory budgets: bytes are reserved before use, released once, and granted first come, first served.

Budgets form a tree: what is reserved of a budget is also reserved of its parent. The root is the memory that
a process may use for its clients; the others limit what each use may take of it.
"""

import asyncio
import sys
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
    """A limited number of bytes that reservations share. Times are float milliseconds of `clock`.

    Attributes:
        total: The number of bytes.
        reserved: How many of them are reserved; more than `total` after `charge` or `resize`.
    """

    def __init__(self, total: int, clock: Clock, parent: "MemoryBudget | None" = None) -> None:
        """Create a budget without reservations.

        Args:
            total: The number of bytes.
            clock: Times the waits for bytes.
            parent: A budget that this one takes its bytes from; None if there is none.
        """
        self.total = total
        self.reserved = 0
        self._clock = clock
        self._parent = parent
        self._root: MemoryBudget = self if parent is None else parent._root
        self._children: list[MemoryBudget] = []
        self._waiting_count = 0  # of this budget and of its children
        self._waiting: deque[_Reservation] = deque()
        if parent is not None:
            parent._children.append(self)

    def try_reserve(self, count: int, keep_free: int = 0) -> bool:
        """Reserve bytes immediately; False if too few are free or other reservations are waiting.

        Args:
            count: The number of bytes.
            keep_free: The number of bytes that must remain free.
        """
        if count and (self._waiting or not self.fits(count, keep_free)):
            return False
        self.charge(count)
        return True

    def charge(self, count: int) -> None:
        """Reserve bytes that are in use already, whether or not they are free."""
        self.reserved += count
        if self._parent is not None:
            self._parent.charge(count)

    def release(self, count: int) -> None:
        """Release reserved bytes and grant waiting reservations that now fit."""
        if not count:
            return
        self._return(count)
        if self._root._waiting_count:
            self._root.grant_waiting()

    def resize(self, total: int) -> None:
        """Change the total; existing reservations stay."""
        self.total = total
        self.grant_waiting()

    def fits(self, count: int, keep_free: int = 0) -> bool:
        """Whether this many bytes are free, and `keep_free` bytes beside them."""
        if self.reserved + count + keep_free > self.total:
            return False
        return self._parent is None or self._parent.fits(count)

    def _can_ever_fit(self, count: int) -> bool:
        return count <= self.total and (self._parent is None or self._parent._can_ever_fit(count))

    def _count_waiting(self, change: int) -> None:
        self._waiting_count += change
        if self._parent is not None:
            self._parent._count_waiting(change)

    def _return(self, count: int) -> None:
        self.reserved -= count
        assert self.reserved >= 0, "more bytes were released than reserved"
        if self._parent is not None:
            self._parent._return(count)

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
        if not self._can_ever_fit(count):
            reservation.decide(False)
            return lambda: None
        if self.try_reserve(count):
            reservation.decide(True)
        else:
            due = self._clock.now() + time_limit
            reservation.timer = self._clock.call_at(due, self._abandon, reservation)
            self._waiting.append(reservation)
            self._count_waiting(+1)
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

    def grant_waiting(self) -> None:
        """Grant the waiting reservations of this budget and of its children that fit now."""
        while self._waiting and self.fits(self._waiting[0].count):
            reservation = self._waiting.popleft()
            self._count_waiting(-1)
            self.charge(reservation.count)
            reservation.decide(True)
        for child in self._children:
            child.grant_waiting()

    def _cancel(self, reservation: "_Reservation") -> None:
        if reservation.granted is None:
            self._abandon(reservation)

    def _abandon(self, reservation: "_Reservation") -> None:
        self._waiting.remove(reservation)
        self._count_waiting(-1)
        reservation.decide(False)
        self.grant_waiting()


def unlimited_memory(clock: Clock) -> MemoryBudget:
    """Return a budget that is never used up, for a process without a memory limit."""
    return MemoryBudget(sys.maxsize, clock)


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
