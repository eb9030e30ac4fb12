"""Room in memory: kept before it is used, given back once, and waited for in the order of asking."""

import asyncio
from collections import deque
from collections.abc import Callable

from flintridge.net.clock import Clock, Timer


class Room:
    """So many bytes, shared. Times are float milliseconds of `clock`."""

    def __init__(self, total: int, clock: Clock) -> None:
        self.total = total
        self.used = 0
        self._clock = clock
        self._waiting: deque[_Wait] = deque()

    def take(self, count: int) -> bool:
        """Keep `count` bytes at once; False where there is no room, or others wait for some."""
        if count and (self._waiting or self.used + count > self.total):
            return False
        self.used += count
        return True

    def give(self, count: int) -> None:
        """Give back what was taken; whoever waits may have it."""
        if not count:
            return
        self.used -= count
        assert self.used >= 0, "more room was given back than taken"
        self._hand_out()

    def resize(self, total: int) -> None:
        self.total = total
        self._hand_out()

    def wait(self, count: int, limit: float, done: Callable[[bool], None]) -> Callable[[], None]:
        """`done` is told once: True with the room kept, False after `limit`. Returns what ends the waiting.

        Asked for as a whole, and before any of it is used: two that have half of theirs never wait for one
        another. In the order of asking: one that wants much is not passed by for ever.
        """
        wait = _Wait(count, done)
        if count > self.total:
            wait.tell(False)
            return lambda: None
        if self.take(count):
            wait.tell(True)
        else:
            wait.timer = self._clock.call_at(self._clock.now() + limit, self._late, wait)
            self._waiting.append(wait)
        return lambda: self._leave(wait)

    async def kept(self, count: int, limit: float) -> bool:
        """As `wait`. Whoever is cancelled meanwhile keeps nothing."""
        told: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        leave = self.wait(count, limit, lambda kept: None if told.done() else told.set_result(kept))
        try:
            return await told
        except asyncio.CancelledError:
            if told.done() and not told.cancelled() and told.result():
                self.give(count)
            leave()
            raise

    def _hand_out(self) -> None:
        while self._waiting and self.used + self._waiting[0].count <= self.total:
            wait = self._waiting.popleft()
            self.used += wait.count
            wait.tell(True)

    def _late(self, wait: "_Wait") -> None:
        self._waiting.remove(wait)
        wait.tell(False)
        self._hand_out()

    def _leave(self, wait: "_Wait") -> None:
        if wait.told is None:
            self._waiting.remove(wait)
            wait.tell(False)
            self._hand_out()


class _Wait:
    __slots__ = ("count", "done", "timer", "told")

    def __init__(self, count: int, done: Callable[[bool], None]) -> None:
        self.count = count
        self.done = done
        self.told: bool | None = None
        self.timer: Timer | None = None

    def tell(self, kept: bool) -> None:
        self.told = kept
        if self.timer is not None:
            self.timer.cancel()
        self.done(kept)
