"""The open client connections of a process: their limit, and how one yields to another beyond it."""

import asyncio
from collections.abc import Iterator

from flintridge.codec.memcache.encoder import encode_rejection
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.eviction import EvictionOrder
from flintridge.downstream.lingering_close import abort_connection, close_lingering
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters

# Connections beyond the limit, on the spare descriptors, that are in a lingering close at a time.
MAX_LINGERING_BEYOND_LIMIT = 4


class OpenConnections:
    """Client connections that are open, without those that were rejected or evicted.

    Attributes:
        limit: So many may be open at a time; what is open beyond a lowered limit is evicted as others come.
        eviction_order: In which they are evicted.
        lingering_rejected: How many that were rejected are in their lingering close.
        lingering_evicted: Those that were evicted and are in their lingering close, the first evicted first.
    """

    def __init__(self, limit: int, clock: Clock, counters: Counters) -> None:
        """Begin with none.

        Args:
            limit: So many may be open at a time.
            clock: Of the node.
            counters: Of the node.
        """
        self.limit = limit
        self.eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self.lingering_rejected = 0
        self.lingering_evicted: dict[ClientConnection, None] = {}
        # A dict, not a set: it is walked in the order of arrival, and two nodes given the same do the same.
        self._open: dict[ClientConnection, None] = {}
        self._clock = clock
        self._counters = counters

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """In the order of arrival; what is walked may change meanwhile."""
        return iter(list(self._open))

    def add(self, connection: ClientConnection) -> None:
        """A connection was accepted."""
        self._open[connection] = None
        self.eviction_order.touch(connection)

    def remove(self, connection: ClientConnection) -> None:
        """A connection has ended, evicted or not."""
        self._open.pop(connection, None)
        self.eviction_order.remove(connection)
        self.lingering_evicted.pop(connection, None)

    def ensure_capacity(self) -> bool:
        """Evict one if the limit is reached; False where it is and none may be evicted."""
        return len(self._open) < self.limit or self.evict_one()

    def evict_one(self) -> bool:
        """Evict the first connection in the eviction order; False where none may be."""
        connection = self.eviction_order.first_evictable()
        if connection is None:
            return False
        self._counters.add("connections_evicted")
        self._open.pop(connection, None)
        self.lingering_evicted[connection] = None
        connection.evict()
        self.eviction_order.remove(connection)
        self._bound_lingering()
        return True

    async def reject(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Say to a client that the connection limit is reached, and close its connection.

        Guards the request that is on its way: closed without a word it would be lost to its client, which
        may come again if it was rejected. Nothing of it is read, so it was never executed.
        """
        self._counters.add("connections_rejected")
        writer.writelines(encode_rejection(0.0))
        if self.lingering_rejected >= MAX_LINGERING_BEYOND_LIMIT:
            abort_connection(writer)
            return
        self.lingering_rejected += 1
        self._bound_lingering()
        try:
            await close_lingering(self._clock, reader, writer)
        finally:
            self.lingering_rejected -= 1

    def abort_all(self) -> None:
        """Close every connection at once; what was responded is still written out."""
        for connection in [*self._open, *self.lingering_evicted]:
            connection.abort()

    def _bound_lingering(self) -> None:
        """Abort evicted connections beyond MAX_LINGERING_BEYOND_LIMIT.

        Guards the spare descriptors: what was evicted yields to what was rejected and may be asking.
        """
        while self.lingering_evicted:
            if self.lingering_rejected + len(self.lingering_evicted) <= MAX_LINGERING_BEYOND_LIMIT:
                return
            first = next(iter(self.lingering_evicted))
            del self.lingering_evicted[first]
            first.abort()
