"""Which client connection makes place for another one, at the same cost however many there are."""

from typing import Generic, Protocol, TypeVar


class Placed(Protocol):
    """A client's connection, as far as its place goes."""

    @property
    def closing(self) -> bool: ...

    @property
    def owed(self) -> bool: ...

    @property
    def idle(self) -> bool: ...

    asked: bool


C = TypeVar("C", bound=Placed)


class EvictionOrder(Generic[C]):
    """Connections in the order in which they make place: those that end, then those that have asked, then
    those that never did; of each kind the one unused for longest.

    The first request on a connection closed unread has failed, while a client whose connection was closed
    between requests sends its next one again. With the place full of idle ones that had asked, each new
    connection was closed for the next, and hardly a request arrived.

    Kept in order, and not looked for among all: in a crowd each newcomer asks, and the walk over some
    hundreds took half of the node's time.
    """

    def __init__(self) -> None:
        # Dicts, as they keep their order, the longest unused first.
        self._ending: dict[C, None] = {}
        self._asked: dict[C, None] = {}
        self._silent: dict[C, None] = {}

    def used(self, connection: C) -> None:
        """It came just now, was used, or ends."""
        self.left(connection)
        kind = self._ending if connection.closing else self._asked if connection.asked else self._silent
        kind[connection] = None

    def left(self, connection: C) -> None:
        for kind in (self._silent, self._asked, self._ending):
            kind.pop(connection, None)

    def first(self) -> C | None:
        """The one to make place; None where each of them is owed an answer, or about to be."""
        for connection in self._ending:
            return connection
        for connection in self._asked:
            if not connection.owed and connection.idle:
                return connection
        for connection in self._silent:
            if not connection.owed:
                return connection
        return None
