"""Pool of the connections to servers: idle ones are used again, the latest first, and all are limited.

Which connection to use, to close or to evict is decided by plain functions; `ConnectionPool` carries it out.
"""

import enum
import errno
from collections import deque
from collections.abc import Mapping, Sequence

from flintridge.config.address import Address
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, with_timeout
from flintridge.runtime.streams import has_pending_input
from flintridge.telemetry.counters import Counters
from flintridge.upstream.connection import UpstreamConnection, open_connection
from flintridge.upstream.idle_timeout import IdleTimeout

SWEEP_INTERVAL_MS = 250.0
# A connection whose last response named no request is not used again for so long. Guards the next request
# against a duplicate of that response, which can come some milliseconds late and would pass for its own.
QUARANTINE_MS = 50.0


class ConnectionLimitError(FlintridgeError, OSError):
    """As many connections as the pool may hold are open, and none of them is idle."""

    def __init__(self) -> None:
        super().__init__(errno.EMFILE, "as many connections as allowed are open")


class IdleVerdict(enum.Enum):
    """What to do with an idle connection when one is needed."""

    USE = enum.auto()
    KEEP_QUARANTINED = enum.auto()
    CLOSE = enum.auto()


def judge_idle_connection(
    connection: UpstreamConnection, address: Address, now: float, idle_timeout_ms: float
) -> IdleVerdict:
    """Decide whether an idle connection may carry an exchange with the server at `address`.

    Args:
        connection: The idle one.
        address: Where its server is now.
        now: Milliseconds of the node's clock.
        idle_timeout_ms: One that has been idle for so long is not used.
    """
    if connection.unusable:
        return IdleVerdict.CLOSE
    if now < connection.quarantined_until:
        return IdleVerdict.KEEP_QUARANTINED
    if now - connection.idle_since >= idle_timeout_ms or connection.address != address:
        return IdleVerdict.CLOSE
    return IdleVerdict.USE


def server_to_evict_from(idle: Mapping[str, Sequence[UpstreamConnection]]) -> str | None:
    """The server whose first idle connection has been idle for longest; None if there is no idle connection.

    Args:
        idle: By server, the longest idle first.
    """
    candidates = (server for server, connections in idle.items() if connections)
    return min(candidates, key=lambda server: idle[server][0].idle_since, default=None)


class ConnectionPool:
    """All connections of a node to servers: those that carry an exchange are counted, the idle ones are kept.

    Attributes:
        max_connections: So many may be open.
        open_count: How many are open or being opened.
        idle_timeout: After which time an idle one is closed.
    """

    def __init__(
        self, max_connections: int, server_timeout_ms: float, clock: Clock, counters: Counters
    ) -> None:
        """Make an empty pool and begin to sweep it.

        Args:
            max_connections: As the attribute.
            server_timeout_ms: After which servers close idle connections, by the settings.
            clock: Of the node.
            counters: Of the node.
        """
        self.max_connections = max_connections
        self.open_count = 0
        self.idle_timeout = IdleTimeout(server_timeout_ms)
        self._clock = clock
        self._counters = counters
        self._idle: dict[str, deque[UpstreamConnection]] = {}  # by server, the latest used last
        self._sweep_timer = clock.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def take_idle(self, server: str, address: Address) -> UpstreamConnection | None:
        """Take the idle connection to a server that was used last; None if no idle one may be used.

        Args:
            server: The server's name in the endpoint list.
            address: Where it is now.
        """
        connections = self._idle.get(server)
        if connections is None:
            return None
        now = self._clock.now()
        found: UpstreamConnection | None = None
        quarantined: list[UpstreamConnection] = []
        while connections and found is None:
            connection = connections.pop()
            verdict = judge_idle_connection(connection, address, now, self.idle_timeout.current_ms)
            if verdict is IdleVerdict.KEEP_QUARANTINED:
                quarantined.append(connection)
                continue
            connection.reader.on_unexpected_data = None
            if verdict is IdleVerdict.CLOSE:
                self.close_connection(connection)
            elif has_pending_input(connection.writer.transport):  # which the event loop has not seen yet
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
        """Open a connection, and evict an idle one if the limit is reached.

        Raises:
            ConnectionLimitError: The limit is reached, and no connection is idle.
            OSError: It was refused.
            DeadlineExceededError: It did not come up in time.
        """
        if self.open_count >= self.max_connections and not self._evict():
            raise ConnectionLimitError
        self.open_count += 1
        try:
            connection = await with_timeout(self._clock, timeout_ms, open_connection(address))
        except BaseException:
            self.open_count -= 1
            self._counters.add("connections_failed")
            raise
        connection.writer.transport.set_write_buffer_limits(high=0)
        self._counters.add("connections_opened")
        return connection

    def release(self, server: str, connection: UpstreamConnection, names_request: bool = True) -> None:
        """Take a connection back once its exchange is complete.

        Args:
            server: Where it leads.
            connection: It is the pool's again.
            names_request: Whether the last response on it named its request.
        """
        if connection.unusable:  # more than the response came while it was passed on
            self._counters.add("connections_unexpected_data")
            self.close_connection(connection)
            return
        connection.idle_since = self._clock.now()
        connection.quarantined_until = 0.0 if names_request else connection.idle_since + QUARANTINE_MS
        connection.reader.on_unexpected_data = lambda: self._drop_idle(server, connection)
        self._idle.setdefault(server, deque()).append(connection)

    def close_connection(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not among the idle ones."""
        self.open_count -= 1
        connection.reader.on_unexpected_data = None
        if connection.writer.transport.get_write_buffer_size():
            # Else the rest of a request that was given up would still be written.
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    def close_idle(self, server: str) -> None:
        """Close the idle connections to one server."""
        for connection in self._idle.pop(server, ()):
            self.close_connection(connection)

    def close_all_idle(self) -> None:
        """Close the idle connections to all servers."""
        for server in list(self._idle):
            self.close_idle(server)

    def stop_sweeping(self) -> None:
        """Close no more idle connections for their age; before the pool is given up."""
        self._sweep_timer.cancel()

    def _drop_idle(self, server: str, connection: UpstreamConnection) -> None:
        """Close an idle connection on which something arrived: no request asked for it."""
        self._counters.add("connections_unexpected_data")
        connections = self._idle.get(server, deque())
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self._idle[server]
            self.close_connection(connection)

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest, to whichever server; whether there was one."""
        server = server_to_evict_from(self._idle)
        if server is None:
            return False
        self.close_connection(self._idle[server].popleft())  # an empty deque goes with the next sweep
        return True

    def _sweep(self) -> None:
        """Close the idle connections that their servers have closed, or are about to."""
        now = self._clock.now()
        self.idle_timeout.forget_outdated(now)
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
                del self._idle[server]  # guards memory: servers come and go
        self._sweep_timer = self._clock.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
