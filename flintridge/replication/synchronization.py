"""How far a replica has synchronized with others: its state, its waits, and the comparisons under way.

Without I/O; times are float milliseconds of the process's own clock.
"""

import copy
import math
from typing import Self

from flintridge.replication.comparison import Comparison, SnapshotChunk, SyncState
from flintridge.replication.entry import Writer

UNPRODUCTIVE_SOURCE_FACTOR = 6.0  # times the wait: for a source that is reachable, but delivers nothing


class Synchronization:
    """The synchronization state of one replica.

    Attributes:
        state: Whether it has synchronized.
        started_at: When its process started, in milliseconds.
        comparisons: Those under way, by their sources.
    """

    def __init__(self, now: float, wait_ms: float) -> None:
        """`wait_ms`: for how long to wait for a peer that has synchronized."""
        self.state = SyncState.UNSYNCHRONIZED
        self.started_at = now
        self.comparisons: dict[Writer, Comparison] = {}
        self._wait_ms = wait_ms
        self._synchronized_peer_at = -math.inf  # when one that has synchronized last sent a message
        self._last_chunk_at = -math.inf  # when one of those last sent a chunk
        self._last_comparison_number = 0

    @property
    def is_synchronized(self) -> bool:
        """Whether the replica has all that some synchronized replica held."""
        return self.state is SyncState.SYNCHRONIZED

    def receive_synchronized_peer(self, now: float) -> None:
        """A peer that has synchronized sent a message."""
        self._synchronized_peer_at = now

    def receive_synchronized_chunk(self, now: float) -> None:
        """A peer that has synchronized delivered a chunk."""
        self._synchronized_peer_at = now
        self._last_chunk_at = now

    def is_wait_over(self, now: float) -> bool:
        """Whether there was no peer to synchronize with for long enough."""
        without_peer_ms = now - max(self.started_at, self._synchronized_peer_at)
        if without_peer_ms >= self._wait_ms:
            return True
        # Guards the service against a source that is reachable, but whose exchanges never come through.
        without_chunk_ms = now - max(self.started_at, self._last_chunk_at)
        return without_chunk_ms >= UNPRODUCTIVE_SOURCE_FACTOR * self._wait_ms

    def mark_synchronized(self) -> None:
        """What the replica holds from now on is the state."""
        self.state = SyncState.SYNCHRONIZED

    def begin_or_resume(self, source: Writer) -> Comparison:
        """The comparison with that source, where it stands; a new one where there is none."""
        if self.state is SyncState.UNSYNCHRONIZED:
            self.state = SyncState.SYNCHRONIZING
        comparison = self.comparisons.get(source)
        if comparison is None:
            self._last_comparison_number += 1
            comparison = Comparison(self._last_comparison_number, 0)
            self.comparisons[source] = comparison
        return comparison

    def expects(self, source: Writer, chunk: SnapshotChunk) -> bool:
        """Whether it is the next chunk of the comparison with that source."""
        comparison = self.comparisons.get(source)
        if comparison is None:
            return False
        return chunk.number == comparison.number and chunk.first == comparison.cursor

    def advance(self, source: Writer, chunk: SnapshotChunk, rejected_entries: bool) -> Comparison:
        """The comparison with that source, once its next chunk is applied."""
        comparison = self.comparisons[source].after(chunk, rejected_entries)
        self.comparisons[source] = comparison
        return comparison

    def abandon(self, source: Writer) -> None:
        """Forget the comparison with that source, if there is one."""
        self.comparisons.pop(source, None)

    def clone(self) -> Self:
        """One of its own with the same state."""
        clone = copy.copy(self)
        clone.comparisons = dict(self.comparisons)
        return clone
