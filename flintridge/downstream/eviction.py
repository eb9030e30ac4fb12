"""Connection eviction: the order in which client connections are closed for new ones.

Its cost is the same however many are open.
"""

from typing import Generic, Protocol, TypeVar


class EvictableConnection(Protocol):
    """A client connection, as far as its eviction goes.

    Attributes:
        has_requested: Whether a request ever came whole on it.
    """

    has_requested: bool

    @property
    def closing(self) -> bool:
        """Whether it is being closed."""

    @property
    def has_pending(self) -> bool:
        """Whether a command awaits its response, or its turn."""

    @property
    def idle(self) -> bool:
        """Whether it is between requests."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class EvictionOrder(Generic[ConnectionT]):
    """Connections in the order of their eviction.

    First those that close, then those that have requested, then those that never did; of each kind the least
    recently used first.

    The first request on a connection closed unread has failed, while a client whose connection was closed
    between requests sends its next one again. Guards new connections, each of which would otherwise be closed
    for the next one while idle ones that had requested stay open.

    Kept in order, and not searched: at the connection limit each new connection needs the first of them.
    """

    def __init__(self) -> None:
        # Dicts, as they keep their order, the least recently used first.
        self._closing: dict[ConnectionT, None] = {}
        self._requested: dict[ConnectionT, None] = {}
        self._never_requested: dict[ConnectionT, None] = {}

    def touch(self, connection: ConnectionT) -> None:
        """It was opened just now, was used, or begins to close."""
        self.remove(connection)
        if connection.closing:
            self._closing[connection] = None
        elif connection.has_requested:
            self._requested[connection] = None
        else:
            self._never_requested[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """It is no longer to be evicted, or not open any more."""
        self._never_requested.pop(connection, None)
        self._requested.pop(connection, None)
        self._closing.pop(connection, None)

    def first_evictable(self) -> ConnectionT | None:
        """The connection to evict; None where each of them has a response pending, or is about to."""
        for connection in self._closing:
            return connection
        for connection in self._requested:
            if not connection.has_pending and connection.idle:
                return connection
        for connection in self._never_requested:
            if not connection.has_pending:
                return connection
        return None
