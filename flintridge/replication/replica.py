"""One process's replica of the entries: its own entry store, synchronized with those of other processes.

Without I/O; times are float milliseconds of the process's own clock. A replica compares itself with others
by digests of buckets of keys, and takes the buckets that differ whole. What a source received and does not
hold any more was replaced or deleted there, and is dropped here too; see `entry_store`.
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

CHUNK_BYTES = 16 * 1024  # of entries in a chunk, about; a bucket is never divided


class Replica(EntryStore):
    """The state machine of one process's replica.

    Attributes:
        synchronization: How far it has synchronized, and its comparisons under way.
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
            limits: Its bounds.
            now: The time, in milliseconds.
            time_of_day_offset: Makes a time of day in milliseconds of the clock, for stamps alone.
            log_event: Called with an event's name and fields for what operators should see.
        """
        super().__init__(writer, limits, time_of_day_offset, log_event)
        self.synchronization = Synchronization(now, limits.sync_wait_ms)

    @property
    def sync_state(self) -> SyncState:
        """Whether it has synchronized."""
        return self.synchronization.state

    @property
    def comparisons(self) -> dict[Writer, Comparison]:
        """Those under way, by their sources."""
        return self.synchronization.comparisons

    def mark_synchronized(self) -> None:
        """There is nobody to synchronize with: what is here is the state."""
        self.synchronization.mark_synchronized()

    def expire(self, now: float, max_buckets: int | None = None) -> None:
        """Forget what has been inactive for long enough, and end a wait for a source that is over.

        Args:
            now: The time, in milliseconds.
            max_buckets: How many buckets to go through, from where the last call ended; None for all.
        """
        super().expire(now, max_buckets)
        if not self.synchronization.is_synchronized and self.synchronization.is_wait_over(now):
            waited_ms = now - self.synchronization.started_at
            self._log_event("state_synchronized_alone", waited_ms=round(waited_ms))
            self.mark_synchronized()

    def receive_root(
        self, now: float, peer: Writer, root: int, peer_synchronized: bool, peer_writes: int
    ) -> bool:
        """Take in what another replica says of itself.

        Args:
            now: The time, in milliseconds.
            peer: Its process.
            root: Its digest.
            peer_synchronized: Whether it has synchronized.
            peer_writes: How many writes that process has made.

        Returns:
            Whether to compare with it.
        """
        if peer_synchronized:
            self.synchronization.receive_synchronized_peer(now)
        differs = root != self.root()
        if peer_writes and not differs:
            # It holds what is held here: each of its writes until then is here, or was ended.
            self._raise_complete_up_to(peer, peer_writes)
        return differs or (peer_synchronized and not self.synchronization.is_synchronized)

    def next_request(self, source: Writer) -> DigestRequest:
        """The next request to that source: its comparison goes on where it stands, or begins."""
        comparison = self.synchronization.begin_or_resume(source)
        return DigestRequest(tuple(self.digests), comparison.cursor, comparison.number)

    def make_chunk(self, request: DigestRequest, max_bytes: int = CHUNK_BYTES) -> SnapshotChunk:
        """The response to another replica's request: about `max_bytes`, and at least one bucket.

        Raises:
            IncompatibleDigestsError: The other replica divides its keys in another way.
        """
        if len(request.digests) != len(self.digests):
            raise IncompatibleDigestsError(f"{len(request.digests)} digests; allowed: {len(self.digests)}")
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
        """Merge a chunk, with its entries' times on the local clock.

        Returns:
            Whether the comparison is complete.
        """
        if not self.synchronization.expects(source, chunk):
            self.counts["chunks_out_of_order"] += 1  # duplicated, late, or of an abandoned comparison
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
        """The source is gone; what was accepted stays, and another one is asked for the rest."""
        self.synchronization.abandon(source)

    def _drop_superseded(self, now: float, chunk: SnapshotChunk) -> None:
        """Drop what the source received and does not hold any more: it was replaced or deleted there."""
        source_dots = {key: {version.dot for version in entry.versions} for key, entry in chunk.entries}
        source_complete = dict(chunk.complete_up_to)
        for bucket in chunk.buckets:
            for key in self._table.keys_in(bucket):
                entry = self.entries[key]
                dots_at_source = source_dots.get(key, set())
                ended_dots = {
                    version.dot
                    for version in entry.versions
                    if version.dot not in dots_at_source
                    and source_complete.get(version.dot[0], 0) >= version.dot[1]
                }
                if ended_dots:
                    self.counts["versions_ended"] += len(ended_dots)
                    self._put(key, without_versions(entry, ended_dots, now))

    def clone(self) -> Self:
        """A replica of its own with the same content, for searches."""
        clone = super().clone()
        clone.synchronization = self.synchronization.clone()
        return clone
