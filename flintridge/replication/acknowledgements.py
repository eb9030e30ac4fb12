"""Acknowledgements of writes: those received for this process's writes, and those due to other writers."""

from collections import deque
from collections.abc import Iterable

from flintridge.replication.entry import Dot, Entry, Writer

MAX_TRACKED_WRITES = 256  # newest writes of this process of which it is known who has them
MAX_PENDING_PER_WRITER = 256
MAX_WRITERS = 1024  # to whom acknowledgements are pending; some are processes that are never reachable again
MAX_PER_MESSAGE = 32


class Acknowledgements:
    """Those that are expected from other nodes, and those that are due to their processes."""

    def __init__(self, peers: Iterable[str]) -> None:
        """`peers`: the names of the other nodes."""
        self._peers = frozenset(peers)
        self._pending: dict[Writer, deque[int]] = {}  # the numbers of the writer's own writes
        self._holders: dict[Dot, set[str]] = {}  # of this process's newest writes

    def track(self, dot: Dot) -> None:
        """From now on count the nodes that have that write of this process."""
        self._holders[dot] = set()
        while len(self._holders) > MAX_TRACKED_WRITES:
            del self._holders[next(iter(self._holders))]

    def holder_count(self, dot: Dot) -> int | None:
        """How many nodes are known to have a write of this process, itself included.

        Returns:
            None where the write is too long ago, or never was.
        """
        holders = self._holders.get(dot)
        return None if holders is None else 1 + len(holders)

    def holders(self, dot: Dot) -> frozenset[str]:
        """The other nodes that are known to have that write of this process."""
        return frozenset(self._holders.get(dot, ()))

    def receive(self, name: str, dot: Dot) -> None:
        """Node `name` has that write of this process."""
        holders = self._holders.get(dot)
        if holders is not None:
            holders.add(name)

    def receive_all(self, name: str) -> None:
        """Node `name` holds what this process holds."""
        for holders in self._holders.values():
            holders.add(name)

    def owe(self, entry: Entry) -> None:
        """The writers of that entry have yet to be notified that it is here."""
        for version in entry.versions:
            writer, count = version.dot
            if writer[0] in self._peers:
                pending = self._pending.setdefault(writer, deque(maxlen=MAX_PENDING_PER_WRITER))
                if count not in pending:
                    pending.append(count)
        while len(self._pending) > MAX_WRITERS:
            del self._pending[next(iter(self._pending))]

    def is_pending(self, writer: Writer) -> bool:
        """Whether some are due to that process."""
        return writer in self._pending

    def next_for(self, writer: Writer) -> tuple[int, ...]:
        """The numbers of that process's writes to acknowledge with the next message."""
        return tuple(self._pending.get(writer, ()))[:MAX_PER_MESSAGE]

    def mark_sent(self, writer: Writer, count: int) -> None:
        """The first `count` of those due to that process were sent."""
        if not count:
            return
        pending = self._pending[writer]
        for _ in range(count):
            pending.popleft()
        if not pending:
            del self._pending[writer]
