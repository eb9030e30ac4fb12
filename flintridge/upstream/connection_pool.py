"""Pool of the connections to servers: reuses idle ones, the most recent first, and limits their total number.

Pure functions decide which connection to use, close or evict; `ConnectionPool` carries that out.
"""

import enum
import errno
from collections import deque
from collections.abc import Mapping, Sequence

from flintridge.config.address import Address
from flintridge.core.memory_budget import MemoryBudget, unlimited_memory
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, with_timeout
from flintridge.runtime.streams import has_pending_input, reset_if_unsent
from flintridge.telemetry.counters import Counters
from flintridge.upstream.connection import UpstreamConnection, open_connection
from flintridge.upstream.idle_timeout import IdleTimeout

SWEEP_INTERVAL_MS = 250.0
# How long a connection is not reused if its last response did not carry a request id. A duplicate of that
# response can arrive some milliseconds late and would be taken for the response to the next request.
QUARANTINE_MS = 50.0
# What a connection uses, with the input and output that it may hold without a reservation.
CONNECTION_BYTES = 16 * 1024


class ConnectionLimitError(FlintridgeError, OSError):
    """The connection limit is reached, and no connection is idle."""

    def __init__(self) -> None:
        super().__init__(errno.EMFILE, "connection limit reached")


class IdleConnectionAction(enum.Enum):
    """What to do with an idle connection when one is needed."""

    USE = enum.auto()
    KEEP_QUARANTINED = enum.auto()
    CLOSE = enum.auto()


def action_for_idle_connection(
    connection: UpstreamConnection, address: Address, now: float, idle_timeout_ms: float
) -> IdleConnectionAction:
    """Decide whether an idle connection may be used for an exchange with the server at `address`.

    Args:
        connection: The idle connection.
        address: The server's current address.
        now: Milliseconds of the node's clock.
        idle_timeout_ms: A connection that has been idle for this long is closed instead.
    """
    if connection.unusable:
        return IdleConnectionAction.CLOSE
    if now < connection.quarantined_until:
        return IdleConnectionAction.KEEP_QUARANTINED
    if now - connection.idle_since >= idle_timeout_ms or connection.address != address:
        return IdleConnectionAction.CLOSE
    return IdleConnectionAction.USE


def server_to_evict_from(idle: Mapping[str, Sequence[UpstreamConnection]]) -> str | None:
    """Return the server whose connection has been idle for longest; None if there is no idle connection.

    Args:
        idle: Idle connections by server, the longest idle first.
    """
    candidates = (server for server, connections in idle.items() if connections)
    return min(candidates, key=lambda server: idle[server][0].idle_since, default=None)


class ConnectionPool:
    """All connections of a node to servers: keeps the idle ones and counts those in use.

    Attributes:
        max_connections: Maximum number of open connections.
        open_count: Number of connections that are open or being opened.
        idle_timeout: Time after which an idle connection is closed.
    """

    def __init__(
        self,
        max_connections: int,
        server_timeout_ms: float,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty pool and start to close expired connections periodically.

        Args:
            max_connections: Maximum number of open connections.
            server_timeout_ms: Time after which servers close idle connections, from the settings.
            clock: The node's clock.
            counters: The node's counters.
            memory: Memory for connections to servers; None: no limit.
        """
        self._memory = memory or unlimited_memory(clock)
        self.max_connections = max_connections
        self.open_count = 0
        self.idle_timeout = IdleTimeout(server_timeout_ms)
        self._clock = clock
        self._counters = counters
        self._idle: dict[str, deque[UpstreamConnection]] = {}  # by server, the most recently used last
        self._sweep_timer = clock.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def take_idle(self, server: str, address: Address) -> UpstreamConnection | None:
        """Take the most recently used idle connection to a server; None if no idle one may be used.

        Args:
            server: The server's id in the endpoint list.
            address: The server's current address.
        """
        connections = self._idle.get(server)
        if connections is None:
            return None
        now = self._clock.now()
        found: UpstreamConnection | None = None
        quarantined: list[UpstreamConnection] = []
        while connections and found is None:
            connection = connections.pop()
            action = action_for_idle_connection(connection, address, now, self.idle_timeout.current_ms)
            if action is IdleConnectionAction.KEEP_QUARANTINED:
                quarantined.append(connection)
                continue
            connection.reader.on_unexpected_data = None
            if action is IdleConnectionAction.CLOSE:
                self.close_connection(connection)
            elif has_pending_input(connection.writer.transport):  # not yet read by the event loop
                self._counters.add("connections_unexpected_data")
                self.close_connection(connection)
            else:
                found = connection
                connection.reused = True
                connection.idle_before_use_ms = now - connection.idle_since
                connection.bytes_read_before_use = connection.reader.read_bytes
        connections.extend(reversed(quarantined))
        if not connections:
            del self._idle[server]
        return found

    async def connect(self, address: Address, timeout_ms: float) -> UpstreamConnection:
        """Open a connection, and evict an idle one first if the limit is reached.

        Raises:
            ConnectionLimitError: The limit is reached, and no connection is idle.
            OSError: The connection was refused or failed.
            DeadlineExceededError: The connection was not established in time.
        """
        has_memory = self._memory.fits(CONNECTION_BYTES)
        if not has_memory:
            self._counters.add("server_connections_without_memory")
        if (self.open_count >= self.max_connections or not has_memory) and not self._evict():
            raise ConnectionLimitError
        self._count(+1)
        try:
            connection = await with_timeout(self._clock, timeout_ms, open_connection(address))
        except BaseException:
            self._count(-1)
            self._counters.add("connections_failed")
            raise
        connection.writer.transport.set_write_buffer_limits(high=0)
        self._counters.add("connections_opened")
        return connection

    def release(self, server: str, connection: UpstreamConnection, names_request: bool = True) -> None:
        """Return a connection to the pool after its exchange is complete.

        Args:
            server: The server's id.
            connection: The connection, which the caller must not use any more.
            names_request: Whether the last response on it carried the request's id.
        """
        if connection.unusable:  # bytes beyond the response arrived
            self._counters.add("connections_unexpected_data")
            self.close_connection(connection)
            return
        connection.set_read_limit()
        connection.idle_since = self._clock.now()
        connection.quarantined_until = 0.0 if names_request else connection.idle_since + QUARANTINE_MS
        connection.reader.on_unexpected_data = lambda: self._drop_idle(server, connection)
        self._idle.setdefault(server, deque()).append(connection)

    def close_connection(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not among the idle ones."""
        self._count(-1)
        connection.reader.on_unexpected_data = None
        reset_if_unsent(connection.writer.transport)
        if connection.writer.transport.get_write_buffer_size():
            # close() would still write the rest of an abandoned request.
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    def _count(self, change: int) -> None:
        """Count a connection that is opened (+1) or closed (-1), and its memory."""
        self.open_count += change
        if change > 0:
            self._memory.charge(CONNECTION_BYTES)
        else:
            self._memory.release(CONNECTION_BYTES)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        for connection in self._idle.pop(server, ()):
            self.close_connection(connection)

    def close_all_idle(self) -> None:
        """Close the idle connections to all servers."""
        for server in list(self._idle):
            self.close_idle(server)

    def stop_sweeping(self) -> None:
        """Stop the periodic closing of expired connections; call before the pool is discarded."""
        self._sweep_timer.cancel()

    def _drop_idle(self, server: str, connection: UpstreamConnection) -> None:
        """Close an idle connection on which data arrived that no request asked for."""
        self._counters.add("connections_unexpected_data")
        connections = self._idle.get(server, deque())
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self._idle[server]
            self.close_connection(connection)

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest, to any server; False if none is idle."""
        server = server_to_evict_from(self._idle)
        if server is None:
            return False
        self.close_connection(self._idle[server].popleft())  # the next sweep removes an empty deque
        return True

    def _sweep(self) -> None:
        """Close the idle connections that their servers have closed or will close soon."""
        now = self._clock.now()
        self.idle_timeout.expire_learned_timeout(now)
        for server, connections in list(self._idle.items()):
            remaining: deque[UpstreamConnection] = deque()
            for connection in connections:
                idle_ms = now - connection.idle_since
                if connection.unusable or idle_ms >= self.idle_timeout.current_ms:
                    self.close_connection(connection)
                else:
                    remaining.append(connection)
            if remaining:
                self._idle[server] = remaining
            else:
                del self._idle[server]  # servers come and go; keeping empty entries would leak memory
        self._sweep_timer = self._clock.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
