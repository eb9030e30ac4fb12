"""One process's replica of the entries: writes, merging, expiry of tombstones, and synchronization.

Without I/O; times are float milliseconds of the process's own clock. A replica compares itself with others
by digests of buckets of keys, and takes the buckets that differ whole. `complete_up_to` says of each writer
up to which of its writes this replica received all: one of those that is not here was replaced or deleted,
and is neither accepted again nor kept by another replica that still has it. So nothing deleted returns,
however long a process was away.
"""

import copy
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Self

from flintridge.replication.comparison import (
    Comparison,
    DigestRequest,
    IncompatibleDigestsError,
    SnapshotChunk,
    SyncState,
)
from flintridge.replication.entry import (
    Dot,
    Entry,
    Key,
    Version,
    Writer,
    active_version,
    merge,
    with_write,
    without_versions,
)
from flintridge.replication.entry_table import EntryTable
from flintridge.replication.limits import ReplicaLimits, check_writer_count
from flintridge.replication.value_types import WriteRejectedError

STAMP_SHIFT_BITS = 16  # bits of a stamp below its milliseconds
MAX_STAMP = 1 << 62  # of what is accepted: later ones have to fit into the 63 bits of a message
CHUNK_BYTES = 16 * 1024  # of entries in a chunk, about; a bucket is never divided
UNPRODUCTIVE_SOURCE_FACTOR = 6.0  # times `sync_wait_ms`: for a source that is reachable, but delivers nothing


class Replica:
    """The state machine of one process's replica.

    Attributes:
        writer: This process.
        limits: Its bounds.
        time_of_day_offset: Makes a time of day in milliseconds of the clock, for stamps alone.
        sync_state: Whether it has synchronized.
        complete_up_to: Of each writer, up to which of its writes all were received.
        counts: Of what happened, by name.
        comparisons: Those under way, by their sources.
        on_change: Called with an entry whose versions changed.
    """

    def __init__(
        self,
        writer: Writer,
        limits: ReplicaLimits,
        now: float,
        time_of_day_offset: float = 0.0,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """`log_event` is called with an event's name and fields for what operators should see."""
        self.writer = writer
        self.limits = limits
        self.time_of_day_offset = time_of_day_offset
        self.sync_state = SyncState.UNSYNCHRONIZED
        self.complete_up_to: dict[Writer, int] = {}
        self.counts: Counter[str] = Counter()
        self.comparisons: dict[Writer, Comparison] = {}
        self.on_change: Callable[[Key, Entry], None] = lambda key, entry: None
        self._table = EntryTable(limits.bucket_count)
        self._log_event = log_event
        self._started_at = now
        self._synchronized_peer_at = -math.inf  # when one that has synchronized was last heard from
        self._last_chunk_at = -math.inf  # when one of those last sent a chunk
        self._write_count = 0
        self._last_stamp = 0
        self._last_comparison_number = 0
        self._next_expiry_bucket = 0

    @property
    def entries(self) -> dict[Key, Entry]:
        """All entries, those of tombstones included."""
        return self._table.entries

    @property
    def digests(self) -> list[int]:
        """The digest of each bucket."""
        return self._table.digests

    @property
    def write_count(self) -> int:
        """How many writes this process has made."""
        return self._write_count

    def root(self) -> int:
        """A digest of all entries, equal for replicas that hold the same."""
        return self._table.root()

    def active_version(self, key: Key, now: float) -> Version | None:
        """The version of a key that applies at `now`, if any."""
        entry = self.entries.get(key)
        return None if entry is None else active_version(key[0], entry, now)

    def sorted_bucket(self, bucket: int) -> list[Key]:
        """The keys of a bucket.

        Raises:
            IndexError: There is no such bucket.
        """
        return sorted(self._table.keys_in(bucket))

    def conflicting_keys(self) -> Iterable[Key]:
        """The keys of which there are concurrent versions."""
        return (key for key, entry in self.entries.items() if len(entry.versions) > 1)

    # Writes

    def write(
        self,
        now: float,
        key: Key,
        body: bytes,
        author: str,
        reason: str,
        lifetime_ms: float = math.inf,
        deleted: bool = False,
    ) -> Version:
        """Replace what this replica holds of a key, at once.

        Args:
            now: The time, in milliseconds.
            key: The entry's type and name.
            body: The encoded value.
            author: Who writes.
            reason: What for.
            lifetime_ms: For how long it is active.
            deleted: Whether to write a tombstone.

        Raises:
            WriteRejectedError: It is beyond a bound; nothing is written.
        """
        self.limits.check_write(key, body, author, reason)
        if key not in self.entries:
            self.limits.check_entry_count(len(self.entries))
        if self.writer not in self.complete_up_to:
            check_writer_count(len(self.complete_up_to))
        if not lifetime_ms > 0:
            raise WriteRejectedError("it must last longer than 0 ms")
        self._last_stamp = max(int(now + self.time_of_day_offset) << STAMP_SHIFT_BITS, self._last_stamp + 1)
        self._write_count += 1
        self.complete_up_to[self.writer] = self._write_count
        dot = self.writer, self._write_count
        version = Version(dot, now, self._last_stamp, body, author, reason, lifetime_ms, deleted)
        self._put(key, with_write(self.entries.get(key, Entry()), version))
        return version

    # Merging

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        """Merge an entry of another replica, with its times on the local clock.

        Returns:
            Whether it was accepted.
        """
        if any(version.stamp >= MAX_STAMP for version in entry.versions):
            # Not in part either: what its writer had seen would end what is here, and leave nothing.
            self._report_clock_ahead(key, accepted=False)
            return False
        local = self.entries.get(key, Entry())
        local_dots = {version.dot for version in local.versions}
        if any(version.dot not in local_dots and self._is_ahead(version) for version in entry.versions):
            # A clock is wrong, the writer's or this one. That is no reason to lose what an operator said: a
            # stamp only puts concurrent versions in order.
            self._report_clock_ahead(key, accepted=True)
        ended_dots = {
            version.dot
            for version in entry.versions
            if version.dot not in local_dots and self._was_received(version.dot)
        }
        if ended_dots:
            self.counts["versions_ended"] += len(ended_dots)
            remaining = tuple(version for version in entry.versions if version.dot not in ended_dots)
            entry = Entry(remaining, entry.version_vector)
        for version in entry.versions:
            self._last_stamp = max(self._last_stamp, version.stamp)
        # Guards against tombstones that two replicas send one another for ever, each after expiring them.
        merged = self._merged(local, entry)
        self._put(key, self._unexpired(merged, now - self.limits.tombstone_ms))
        return True

    def _report_clock_ahead(self, key: Key, accepted: bool) -> None:
        self.counts["clock_ahead"] += 1
        self._log_event("state_clock_ahead", type=key[0], name=key[1], accepted=accepted)

    def _is_ahead(self, version: Version) -> bool:
        latest = version.written_at + self.time_of_day_offset + self.limits.max_clock_lead_ms
        return (version.stamp >> STAMP_SHIFT_BITS) > latest

    def _was_received(self, dot: Dot) -> bool:
        writer, count = dot
        return self.complete_up_to.get(writer, 0) >= count

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return merge(local, remote)

    def _put(self, key: Key, entry: Entry) -> None:
        before = self.entries.get(key)
        if entry == before:
            return
        self._table.put(key, entry)
        dots = [version.dot for version in entry.versions]
        dots_before = None if before is None else [version.dot for version in before.versions]
        if dots == dots_before:
            return
        if len(dots) > 1 and len(dots) > len(dots_before or ()):
            self.counts["conflicts"] += 1
        self.on_change(key, entry)

    # Expiry

    def expire(self, now: float, max_buckets: int | None = None) -> None:
        """Forget what has been inactive for long enough, and end a wait for a source that is over.

        Args:
            now: The time, in milliseconds.
            max_buckets: How many buckets to go through, from where the last call ended; None for all.
        """
        bucket_count = self.limits.bucket_count
        count = bucket_count if max_buckets is None else min(max_buckets, bucket_count)
        for _ in range(count):
            for key in self._table.keys_in(self._next_expiry_bucket):
                entry = self.entries[key]
                if not entry.is_permanent:
                    self._put(key, self._unexpired(entry, now - self.limits.tombstone_ms))
            self._next_expiry_bucket = (self._next_expiry_bucket + 1) % bucket_count
        if self.sync_state is not SyncState.SYNCHRONIZED and self._waited_long_enough(now):
            self._log_event("state_synchronized_alone", waited_ms=round(now - self._started_at))
            self.mark_synchronized()

    def _waited_long_enough(self, now: float) -> bool:
        without_peer_ms = now - max(self._started_at, self._synchronized_peer_at)
        if without_peer_ms >= self.limits.sync_wait_ms:
            return True
        # Guards the service against a source that is reachable, but whose exchanges never come through.
        without_chunk_ms = now - max(self._started_at, self._last_chunk_at)
        return without_chunk_ms >= UNPRODUCTIVE_SOURCE_FACTOR * self.limits.sync_wait_ms

    def mark_synchronized(self) -> None:
        """There is nobody to synchronize with: what is here is the state."""
        self.sync_state = SyncState.SYNCHRONIZED

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        """The entry without what was inactive before `until`.

        Only writes of which this replica received all may go: it could not tell others from new ones.
        """
        if all(
            version.inactive_since() < until and self._was_received(version.dot) for version in entry.versions
        ):
            entry = Entry((), entry.version_vector)
        # A write that replaces a version has to say so, however old that is: its writer's component stays.
        required_writers = {version.dot[0] for version in entry.versions}
        vector = tuple(
            component
            for component in entry.version_vector
            if component.writer in required_writers
            or component.written_at >= until
            or not self._was_received((component.writer, component.up_to))
        )
        return Entry(entry.versions, vector)

    # Comparisons with other replicas

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
            self._synchronized_peer_at = now
        differs = root != self.root()
        if peer_writes and not differs:
            # It holds what is held here: each of its writes until then is here, or was ended.
            self.complete_up_to[peer] = max(peer_writes, self.complete_up_to.get(peer, 0))
        return differs or (peer_synchronized and self.sync_state is not SyncState.SYNCHRONIZED)

    def next_request(self, source: Writer) -> DigestRequest:
        """The next request to that source: its comparison goes on where it stands, or begins."""
        if self.sync_state is SyncState.UNSYNCHRONIZED:
            self.sync_state = SyncState.SYNCHRONIZING
        comparison = self.comparisons.get(source)
        if comparison is None:
            self._last_comparison_number += 1
            comparison = Comparison(self._last_comparison_number, 0)
            self.comparisons[source] = comparison
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
            request.number,
            request.cursor,
            difference.end,
            self.sync_state is SyncState.SYNCHRONIZED,
            tuple(self.complete_up_to.items()),
            difference.entries,
            difference.buckets,
        )

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """Merge a chunk, with its entries' times on the local clock.

        Returns:
            Whether the comparison is complete.
        """
        comparison = self.comparisons.get(source)
        if comparison is None or (chunk.number, chunk.first) != (comparison.number, comparison.cursor):
            self.counts["chunks_out_of_order"] += 1  # duplicated, late, or of an abandoned comparison
            return False
        if chunk.source_synchronized:
            self._synchronized_peer_at = now
            self._last_chunk_at = now
        self._drop_ended(now, chunk)
        accepted = [self.receive(now, key, entry) for key, entry in chunk.entries]
        comparison = comparison.after(chunk, rejected_entries=not all(accepted))
        self.comparisons[source] = comparison
        if chunk.end < len(self.digests):
            return False
        del self.comparisons[source]
        self._complete(source, comparison)
        return True

    def _complete(self, source: Writer, comparison: Comparison) -> None:
        if not comparison.rejected_entries:
            for writer, count in comparison.complete_up_to or ():
                self.complete_up_to[writer] = max(count, self.complete_up_to.get(writer, 0))
        if comparison.source_synchronized:
            if self.sync_state is not SyncState.SYNCHRONIZED:
                self._log_event("state_synchronized", source=source[0], entries=len(self.entries))
            self.sync_state = SyncState.SYNCHRONIZED

    def abandon_comparison(self, source: Writer) -> None:
        """The source is gone; what was accepted stays, and another one is asked for the rest."""
        self.comparisons.pop(source, None)

    def _drop_ended(self, now: float, chunk: SnapshotChunk) -> None:
        """Drop what the source received and does not hold any more: it was replaced or deleted there."""
        source_dots = {key: {version.dot for version in entry.versions} for key, entry in chunk.entries}
        source_complete = dict(chunk.complete_up_to)
        for bucket in chunk.buckets:
            for key in self._table.keys_in(bucket):
                entry = self.entries[key]
                held_by_source = source_dots.get(key, set())
                ended_dots = {
                    version.dot
                    for version in entry.versions
                    if version.dot not in held_by_source
                    and source_complete.get(version.dot[0], 0) >= version.dot[1]
                }
                if ended_dots:
                    self.counts["versions_ended"] += len(ended_dots)
                    self._put(key, without_versions(entry, ended_dots, now))

    def clone(self) -> Self:
        """A replica of its own with the same content, for searches."""
        other = copy.copy(self)
        other._table = self._table.clone()
        other.counts = Counter(self.counts)
        other.complete_up_to = dict(self.complete_up_to)
        other.comparisons = dict(self.comparisons)
        return other
