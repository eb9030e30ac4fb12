"""The synchronization of a replica with others: its state, its waits, and the comparisons in progress.

Without I/O; times are float milliseconds of the process's own clock.
"""

import copy
import math
from typing import Self

from flintridge.replication.comparison import Comparison, SnapshotChunk, SyncState
from flintridge.replication.entry import Writer

# Multiple of the wait after which a source that is reachable but delivers nothing is no longer waited for.
UNPRODUCTIVE_SOURCE_FACTOR = 6.0


class Synchronization:
    """The synchronization state of one replica.

    Attributes:
        state: Whether the replica has synchronized.
        started_at: Time at which the process started, in milliseconds.
        comparisons: Comparisons in progress, by their sources.
    """

    def __init__(self, now: float, wait_ms: float) -> None:
        """Start at `now`; `wait_ms` is the time for which to wait for a synchronized peer."""
        self.state = SyncState.UNSYNCHRONIZED
        self.started_at = now
        self.comparisons: dict[Writer, Comparison] = {}
        self._wait_ms = wait_ms
        self._synchronized_peer_at = -math.inf  # last message or chunk from a synchronized peer
        self._last_chunk_at = -math.inf  # last chunk from a synchronized peer
        self._last_comparison_number = 0

    @property
    def is_synchronized(self) -> bool:
        """Whether the replica has all entries that some synchronized replica had."""
        return self.state is SyncState.SYNCHRONIZED

    def receive_synchronized_peer(self, now: float) -> None:
        """Record a message from a synchronized peer."""
        self._synchronized_peer_at = now

    def receive_synchronized_chunk(self, now: float) -> None:
        """Record a chunk from a synchronized peer."""
        self._synchronized_peer_at = now
        self._last_chunk_at = now

    def is_wait_over(self, now: float) -> bool:
        """Whether there has been no peer to synchronize with for long enough."""
        without_peer_ms = now - max(self.started_at, self._synchronized_peer_at)
        if without_peer_ms >= self._wait_ms:
            return True
        # A reachable source whose exchanges never succeed must not keep this node out of service.
        without_chunk_ms = now - max(self.started_at, self._last_chunk_at)
        return without_chunk_ms >= UNPRODUCTIVE_SOURCE_FACTOR * self._wait_ms

    def mark_synchronized(self) -> None:
        """Count the replica as synchronized from now on."""
        self.state = SyncState.SYNCHRONIZED

    def begin_or_resume(self, source: Writer) -> Comparison:
        """Return the comparison in progress with a source; begin one if there is none."""
        if self.state is SyncState.UNSYNCHRONIZED:
            self.state = SyncState.SYNCHRONIZING
        comparison = self.comparisons.get(source)
        if comparison is None:
            self._last_comparison_number += 1
            comparison = Comparison(self._last_comparison_number, 0)
            self.comparisons[source] = comparison
        return comparison

    def expects(self, source: Writer, chunk: SnapshotChunk) -> bool:
        """Whether a chunk is the next one of the comparison with a source."""
        comparison = self.comparisons.get(source)
        if comparison is None:
            return False
        return chunk.number == comparison.number and chunk.first == comparison.cursor

    def advance(self, source: Writer, chunk: SnapshotChunk, rejected_entries: bool) -> Comparison:
        """Record that the next chunk from a source has been applied, and return the comparison."""
        comparison = self.comparisons[source].after(chunk, rejected_entries)
        self.comparisons[source] = comparison
        return comparison

    def abandon(self, source: Writer) -> None:
        """Forget the comparison with a source, if there is one."""
        self.comparisons.pop(source, None)

    def clone(self) -> Self:
        """Return an independent copy with the same state."""
        clone = copy.copy(self)
        clone.comparisons = dict(self.comparisons)
        return clone
