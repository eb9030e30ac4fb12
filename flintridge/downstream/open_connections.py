"""The open client connections of a process, and their limit, beyond which they are evicted or rejected."""

import asyncio
from collections.abc import Iterator

from flintridge.codec.memcache.encoder import encode_rejection
from flintridge.core.memory_budget import MemoryBudget
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.eviction import EvictionOrder
from flintridge.downstream.lingering_close import abort_connection, close_lingering
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters

# Maximum number of connections in a lingering close beyond the connection limit; they use the spare
# file descriptors.
MAX_LINGERING_BEYOND_LIMIT = 4
# What a connection uses, with the input that is read without a reservation.
CONNECTION_BYTES = 12 * 1024
# What it may use in addition to read ahead while its commands wait. Half of the memory is kept for
# connections that do not read ahead.
READ_AHEAD_BYTES = 64 * 1024


class OpenConnections:
    """Client connections that are open, without those that were rejected or evicted.

    Attributes:
        limit: The maximum number of open connections. If the limit is lowered, connections beyond it are
            evicted as new ones arrive.
        memory: Memory for connections, a part of the process's: at its limit they are evicted as well.
        eviction_order: The order in which connections are evicted.
        lingering_rejected: The number of rejected connections that are in their lingering close.
        lingering_evicted: Evicted connections that are in their lingering close, in the order of eviction.
    """

    def __init__(self, limit: int, process_memory: MemoryBudget, clock: Clock, counters: Counters) -> None:
        """Start without connections.

        Args:
            limit: The maximum number of open connections.
            process_memory: Memory for everything that the process holds for its clients.
            clock: The node's clock.
            counters: The node's counters.
        """
        self.limit = limit
        self.memory = MemoryBudget(process_memory.total // 2, clock, process_memory)
        self.eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self.lingering_rejected = 0
        self.lingering_evicted: dict[ClientConnection, None] = {}
        # The memory of each connection in bytes, in the order of arrival.
        self._open: dict[ClientConnection, int] = {}
        self._clock = clock
        self._counters = counters

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over a copy in the order of arrival; connections may be added or removed meanwhile."""
        return iter(list(self._open))

    def add(self, connection: ClientConnection) -> None:
        """Add an accepted connection."""
        self.memory.charge(CONNECTION_BYTES)
        reads_ahead = self.memory.try_reserve(READ_AHEAD_BYTES, keep_free=self.memory.total // 2)
        self._open[connection] = CONNECTION_BYTES + (READ_AHEAD_BYTES if reads_ahead else 0)
        if reads_ahead:
            connection.allow_read_ahead()
        self.eviction_order.touch(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended, whether it was evicted or not."""
        self._remove_open(connection)
        self.eviction_order.remove(connection)
        self.lingering_evicted.pop(connection, None)

    def _remove_open(self, connection: ClientConnection) -> None:
        self.memory.release(self._open.pop(connection, 0))

    def ensure_capacity(self) -> bool:
        """Evict a connection if the limit is reached; returns False if none can be evicted."""
        if len(self._open) >= self.limit:
            return self.evict_one()
        if self.memory.fits(CONNECTION_BYTES):
            return True
        self._counters.add("connections_without_memory")
        return self.evict_one()

    def evict_one(self) -> bool:
        """Evict the first connection in the eviction order; returns False if none can be evicted."""
        connection = self.eviction_order.first_evictable()
        if connection is None:
            return False
        self._counters.add("connections_evicted")
        self._remove_open(connection)
        self.lingering_evicted[connection] = None
        connection.evict()
        self.eviction_order.remove(connection)
        self._limit_lingering()
        return True

    async def reject(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a `busy` rejection, since the connection limit is reached, and close the connection.

        Guards the request that may be in transit: if the connection were closed without a response, the
        request would be lost, whereas a rejected client may retry. No request is read from the connection, so
        none was executed.
        """
        self._counters.add("connections_rejected")
        writer.writelines(encode_rejection(0.0))
        if self.lingering_rejected >= MAX_LINGERING_BEYOND_LIMIT:
            abort_connection(writer)
            return
        self.lingering_rejected += 1
        self._limit_lingering()
        try:
            await close_lingering(self._clock, reader, writer)
        finally:
            self.lingering_rejected -= 1

    def abort_all(self) -> None:
        """Close every connection immediately; written responses are still flushed."""
        for connection in [*self._open, *self.lingering_evicted]:
            connection.abort()

    def _limit_lingering(self) -> None:
        """Abort evicted connections beyond MAX_LINGERING_BEYOND_LIMIT.

        Guards the spare file descriptors: evicted connections yield to rejected ones, which may carry a
        request.
        """
        while self.lingering_evicted:
            if self.lingering_rejected + len(self.lingering_evicted) <= MAX_LINGERING_BEYOND_LIMIT:
                return
            first = next(iter(self.lingering_evicted))
            del self.lingering_evicted[first]
            first.abort()
