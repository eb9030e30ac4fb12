"""Acknowledgements of writes: those of this process's writes, and those pending for other writers."""

from collections import deque
from collections.abc import Iterable

from flintridge.replication.entry import Dot, Entry, Writer

MAX_TRACKED_WRITES = 256  # newest writes of this process for which the holders are recorded
MAX_PENDING_PER_WRITER = 256
# Writers with pending acknowledgements; some may be processes that are never reachable again.
MAX_WRITERS = 1024
MAX_PER_MESSAGE = 32


class Acknowledgements:
    """Acknowledgements from other nodes, and acknowledgements that are pending for their processes."""

    def __init__(self, peers: Iterable[str]) -> None:
        """Start without acknowledgements.

        Args:
            peers: Names of the other nodes.
        """
        self._peers = frozenset(peers)
        self._pending: dict[Writer, deque[int]] = {}  # numbers of the writer's own writes to acknowledge
        self._holders: dict[Dot, set[str]] = {}  # other nodes that have this process's newest writes

    def track(self, dot: Dot) -> None:
        """Start recording which nodes have a write of this process."""
        self._holders[dot] = set()
        while len(self._holders) > MAX_TRACKED_WRITES:
            del self._holders[next(iter(self._holders))]

    def holder_count(self, dot: Dot) -> int | None:
        """Count the nodes that are known to have a write of this process, this node included.

        Returns:
            The count; None if the write is too old, or was never made.
        """
        holders = self._holders.get(dot)
        return None if holders is None else 1 + len(holders)

    def holders(self, dot: Dot) -> frozenset[str]:
        """The other nodes that are known to have a write of this process."""
        return frozenset(self._holders.get(dot, ()))

    def receive(self, name: str, dot: Dot) -> None:
        """Record that node `name` has a write of this process."""
        holders = self._holders.get(dot)
        if holders is not None:
            holders.add(name)

    def receive_all(self, name: str) -> None:
        """Record that node `name` has all writes of this process, since their replicas are equal."""
        for holders in self._holders.values():
            holders.add(name)

    def add_pending(self, entry: Entry) -> None:
        """Add pending acknowledgements of an entry for the writers of its versions."""
        for version in entry.versions:
            writer, count = version.dot
            if writer[0] in self._peers:
                pending = self._pending.setdefault(writer, deque(maxlen=MAX_PENDING_PER_WRITER))
                if count not in pending:
                    pending.append(count)
        while len(self._pending) > MAX_WRITERS:
            del self._pending[next(iter(self._pending))]

    def is_pending(self, writer: Writer) -> bool:
        """Whether acknowledgements are pending for a writer."""
        return writer in self._pending

    def next_for(self, writer: Writer) -> tuple[int, ...]:
        """The numbers of the writer's own writes to acknowledge in the next message to it."""
        return tuple(self._pending.get(writer, ()))[:MAX_PER_MESSAGE]

    def mark_sent(self, writer: Writer, count: int) -> None:
        """Remove the first `count` pending acknowledgements for a writer, which were sent."""
        if not count:
            return
        pending = self._pending[writer]
        for _ in range(count):
            pending.popleft()
        if not pending:
            del self._pending[writer]
