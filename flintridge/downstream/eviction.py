"""Connection eviction: the order in which client connections are closed to make room for new ones.

The cost of an operation does not grow with the number of open connections.
"""

from typing import Generic, Protocol, TypeVar


class EvictableConnection(Protocol):
    """The state of a client connection that decides about its eviction.

    Attributes:
        has_requested: Whether a complete request was ever received on it.
    """

    has_requested: bool

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""

    @property
    def has_pending(self) -> bool:
        """Whether a command awaits processing or its response."""

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests."""

    @property
    def has_unread_responses(self) -> bool:
        """Whether responses that were written are still in this process."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class EvictionOrder(Generic[ConnectionT]):
    """Connections in the order of their eviction.

    Connections that are closing come first, then those that have sent a request, then those that never did;
    within each group the least recently used comes first.

    A client whose connection is closed between requests retries its next request, whereas the first request
    on a connection that is closed without reading it has failed. The order protects new connections: each of
    them would otherwise be closed for the next one, while idle connections that have sent requests stay open.

    The order is maintained rather than searched, since at the connection limit each new connection needs its
    first element.
    """

    def __init__(self) -> None:
        # Dicts keep their insertion order; the least recently used connection comes first.
        self._closing: dict[ConnectionT, None] = {}
        self._requested: dict[ConnectionT, None] = {}
        self._never_requested: dict[ConnectionT, None] = {}

    def touch(self, connection: ConnectionT) -> None:
        """Move a connection to the end of its group: it was opened, was used, or begins to close."""
        self.remove(connection)
        if connection.closing:
            self._closing[connection] = None
        elif connection.has_requested:
            self._requested[connection] = None
        else:
            self._never_requested[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has ended or can no longer be evicted."""
        self._never_requested.pop(connection, None)
        self._requested.pop(connection, None)
        self._closing.pop(connection, None)

    def first_evictable(self) -> ConnectionT | None:
        """Return the connection to evict; None if each of them has a command or a response pending."""
        for connection in self._closing:
            if not connection.has_unread_responses:
                return connection
        for connection in self._requested:
            if connection.idle and _is_evictable(connection):
                return connection
        for connection in self._never_requested:
            if _is_evictable(connection):
                return connection
        return None


def _is_evictable(connection: EvictableConnection) -> bool:
    return not connection.has_pending and not connection.has_unread_responses
