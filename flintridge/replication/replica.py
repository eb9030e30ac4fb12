"""One process's replica of the entries: its own entry store, synchronized with those of other processes.

Without I/O; times are float milliseconds of the process's own clock. A replica is compared with others by
digests of buckets of keys, and fetches the buckets that differ as a whole. A version that a source received
but no longer holds was replaced or deleted there, and is dropped here too; see `entry_store`.
"""

from collections.abc import Callable
from typing import Self

from flintridge.replication.comparison import (
    Comparison,
    DigestRequest,
    IncompatibleDigestsError,
    SnapshotChunk,
    SyncState,
)
from flintridge.replication.entry import Writer, without_versions
from flintridge.replication.entry_store import EntryStore
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.synchronization import Synchronization

CHUNK_BYTES = 16 * 1024  # approximate size of the entries in a chunk; a bucket is never divided


class Replica(EntryStore):
    """The state machine of one process's replica.

    Attributes:
        synchronization: Synchronization state of the replica, and its comparisons in progress.
    """

    def __init__(
        self,
        writer: Writer,
        limits: ReplicaLimits,
        now: float,
        time_of_day_offset: float = 0.0,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """Start without entries.

        Args:
            writer: This process.
            limits: Bounds of the replica.
            now: The current time in milliseconds.
            time_of_day_offset: Milliseconds from the process's clock to the time of day, for stamps only.
            log_event: Called with the name and the fields of each event that operators should see.
        """
        super().__init__(writer, limits, time_of_day_offset, log_event)
        self.synchronization = Synchronization(now, limits.sync_wait_ms)

    @property
    def sync_state(self) -> SyncState:
        """Whether the replica has synchronized."""
        return self.synchronization.state

    @property
    def comparisons(self) -> dict[Writer, Comparison]:
        """The comparisons in progress, by their sources."""
        return self.synchronization.comparisons

    def mark_synchronized(self) -> None:
        """Count the replica as synchronized, because there is no peer to synchronize with."""
        self.synchronization.mark_synchronized()

    def expire(self, now: float, max_buckets: int | None = None) -> None:
        """Remove what has been inactive for `tombstone_ms`, and end the wait for a source when it is over.

        Args:
            now: The current time in milliseconds.
            max_buckets: Number of buckets to process, from where the previous call ended; None for all.
        """
        super().expire(now, max_buckets)
        if not self.synchronization.is_synchronized and self.synchronization.is_wait_over(now):
            waited_ms = now - self.synchronization.started_at
            self._log_event("state_synchronized_alone", waited_ms=round(waited_ms))
            self.mark_synchronized()

    def receive_root(
        self, now: float, peer: Writer, root: int, peer_synchronized: bool, peer_writes: int
    ) -> bool:
        """Apply the status that another replica sent.

        Args:
            now: The current time in milliseconds.
            peer: Process of the other replica.
            root: Digest of the other replica.
            peer_synchronized: Whether the other replica has synchronized.
            peer_writes: Number of writes that the other process has made.

        Returns:
            Whether to compare with the other replica.
        """
        if peer_synchronized:
            self.synchronization.receive_synchronized_peer(now)
        differs = root != self.root()
        if peer_writes and not differs:
            # The replicas are equal: each of the peer's writes so far is here, or was replaced or deleted.
            self._raise_complete_up_to(peer, peer_writes)
        return differs or (peer_synchronized and not self.synchronization.is_synchronized)

    def next_request(self, source: Writer) -> DigestRequest:
        """The next request to a source; begins a comparison if none is in progress with it."""
        comparison = self.synchronization.begin_or_resume(source)
        return DigestRequest(tuple(self.digests), comparison.cursor, comparison.number)

    def make_chunk(self, request: DigestRequest, max_bytes: int = CHUNK_BYTES) -> SnapshotChunk:
        """Respond to another replica's request with about `max_bytes` of entries from at least one bucket.

        Raises:
            IncompatibleDigestsError: The other replica divides its keys into a different number of buckets.
        """
        if len(request.digests) != len(self.digests):
            raise IncompatibleDigestsError(
                f"the request has {len(request.digests)} digests; expected: {len(self.digests)}"
            )
        difference = self._table.difference(request.digests, request.cursor, max_bytes)
        return SnapshotChunk(
            number=request.number,
            first=request.cursor,
            end=difference.end,
            source_synchronized=self.synchronization.is_synchronized,
            complete_up_to=tuple(self.complete_up_to.items()),
            entries=difference.entries,
            buckets=difference.buckets,
        )

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """Merge a chunk, whose entries' times are on the local clock.

        Returns:
            Whether the comparison is complete.
        """
        if not self.synchronization.expects(source, chunk):
            self.counts["chunks_out_of_order"] += 1  # duplicate, late, or of an abandoned comparison
            return False
        if chunk.source_synchronized:
            self.synchronization.receive_synchronized_chunk(now)
        self._drop_superseded(now, chunk)
        accepted = [self.receive(now, key, entry) for key, entry in chunk.entries]
        comparison = self.synchronization.advance(source, chunk, rejected_entries=not all(accepted))
        if chunk.end < len(self.digests):
            return False
        self.synchronization.abandon(source)
        self._complete(source, comparison)
        return True

    def _complete(self, source: Writer, comparison: Comparison) -> None:
        if not comparison.rejected_entries:
            for writer, count in comparison.complete_up_to or ():
                self._raise_complete_up_to(writer, count)
        if comparison.source_synchronized:
            if not self.synchronization.is_synchronized:
                self._log_event("state_synchronized", source=source[0], entries=len(self.entries))
            self.synchronization.mark_synchronized()

    def abandon_comparison(self, source: Writer) -> None:
        """End the comparison with a source. Accepted entries remain; another source is asked for the rest."""
        self.synchronization.abandon(source)

    def _drop_superseded(self, now: float, chunk: SnapshotChunk) -> None:
        """Drop versions that the source received but no longer holds: they were replaced or deleted there."""
        source_dots = {key: {version.dot for version in entry.versions} for key, entry in chunk.entries}
        source_complete = dict(chunk.complete_up_to)
        for bucket in chunk.buckets:
            for key in self._table.keys_in(bucket):
                entry = self.entries[key]
                dots_at_source = source_dots.get(key, set())
                superseded_dots = {
                    version.dot
                    for version in entry.versions
                    if version.dot not in dots_at_source
                    and source_complete.get(version.dot[0], 0) >= version.dot[1]
                }
                if superseded_dots:
                    self.counts["versions_ended"] += len(superseded_dots)
                    self._put(key, without_versions(entry, superseded_dots, now))

    def clone(self) -> Self:
        """Return an independent replica with the same content, for the exploration of interleavings."""
        clone = super().clone()
        clone.synchronization = self.synchronization.clone()
        return clone
