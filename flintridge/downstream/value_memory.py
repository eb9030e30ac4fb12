"""The memory reservation for the value that a client connection reads."""

from flintridge.core.memory_budget import MemoryBudget
from flintridge.runtime.clock import Clock

# How long a value may wait for memory, however long its client waits. A client that has stopped within the
# value must get its error within 3 s of connecting, the wait included.
MAX_MEMORY_WAIT_MS = 1_000.0
# The part of its client's time that a value may wait for memory. The rest is left for an attempt.
MEMORY_WAIT_FRACTION = 0.5


class ValueMemory:
    """The reservation of one connection, for one value at a time.

    Attributes:
        awaited: Whether a value is waiting for memory. The connection is not read meanwhile.
        wait_ms: How long the last value waited for memory, in milliseconds.
    """

    __slots__ = ("_budget", "_clock", "_reserved_bytes", "awaited", "wait_ms")

    def __init__(self, budget: MemoryBudget, clock: Clock) -> None:
        self.awaited = False
        self.wait_ms = 0.0
        self._budget = budget
        self._clock = clock
        self._reserved_bytes = 0

    async def reserve(self, count: int, client_timeout_ms: float) -> bool:
        """Reserve memory, waiting until it is free or the client could hardly be answered any more.

        Args:
            count: The number of bytes.
            client_timeout_ms: How long the client waits for the response, in milliseconds.

        Returns:
            Whether the memory was reserved.
        """
        longest_wait_ms = min(MAX_MEMORY_WAIT_MS, MEMORY_WAIT_FRACTION * client_timeout_ms)
        requested_at = self._clock.now()
        self.awaited = True
        try:
            granted = await self._budget.reserve(count, longest_wait_ms)
        finally:
            self.awaited = False
        self.wait_ms = self._clock.now() - requested_at
        self._reserved_bytes = count if granted else 0
        return granted

    def take(self) -> int:
        """Hand the reservation over to the caller, who has to release the returned number of bytes."""
        reserved_bytes = self._reserved_bytes
        self._reserved_bytes = 0
        return reserved_bytes

    def release(self) -> None:
        """Release the reservation, if there is one."""
        self._budget.release(self.take())
