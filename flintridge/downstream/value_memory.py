"""Memory of the long value that a client connection reads: waited for, held, passed on or released."""

from flintridge.core.memory_budget import MemoryBudget
from flintridge.runtime.clock import Clock

MEMORY_WAIT_MS = 1_000.0  # so long a long value may wait for memory


class ValueMemory:
    """The reservation of one connection, for one value at a time.

    Attributes:
        awaited: Whether it is being waited for, before any byte of the value is read.
        wait_ms: How long the last one was waited for.
    """

    __slots__ = ("_budget", "_clock", "_reserved_bytes", "awaited", "wait_ms")

    def __init__(self, budget: MemoryBudget, clock: Clock) -> None:
        self.awaited = False
        self.wait_ms = 0.0
        self._budget = budget
        self._clock = clock
        self._reserved_bytes = 0

    async def reserve(self, count: int) -> bool:
        """Reserve `count` bytes; False where they are not free within MEMORY_WAIT_MS."""
        requested_at = self._clock.now()
        self.awaited = True
        try:
            granted = await self._budget.reserve(count, MEMORY_WAIT_MS)
        finally:
            self.awaited = False
        self.wait_ms = self._clock.now() - requested_at
        self._reserved_bytes = count if granted else 0
        return granted

    def take(self) -> int:
        """Pass on what is reserved: how many bytes the caller has to release from now on."""
        reserved_bytes = self._reserved_bytes
        self._reserved_bytes = 0
        return reserved_bytes

    def release(self) -> None:
        """Release what is reserved, if anything is."""
        self._budget.release(self.take())
