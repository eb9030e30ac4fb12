"""The entries that one process holds: its own writes, merged entries of other processes, and expiry.

Without I/O; times are float milliseconds of the process's own clock. `complete_up_to` has, for each writer,
the number up to which all of its writes were received. If one of these writes is not here, it was replaced or
deleted, and is not accepted again. So nothing deleted returns, however long a process was unreachable.
"""

import copy
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Self

from flintridge.replication.entry import (
    Dot,
    Entry,
    Key,
    Version,
    Writer,
    active_version,
    merge,
    with_write,
)
from flintridge.replication.entry_table import EntryTable
from flintridge.replication.hybrid_clock import MAX_STAMP, HybridClock
from flintridge.replication.limits import ReplicaLimits, check_writer_count
from flintridge.replication.value_types import WriteRejectedError


class EntryStore:
    """The entries of one process.

    Attributes:
        writer: This process.
        limits: Bounds of the store.
        stamps: Clock that stamps this process's writes.
        complete_up_to: For each writer, the number up to which all of its writes were received.
        counts: Number of events of each kind, by name.
        on_change: Called with the key and the entry whenever an entry's versions have changed.
    """

    def __init__(
        self,
        writer: Writer,
        limits: ReplicaLimits,
        time_of_day_offset: float = 0.0,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """Start without entries.

        Args:
            writer: This process.
            limits: Bounds of the store.
            time_of_day_offset: Milliseconds from the process's clock to the time of day, for stamps only.
            log_event: Called with the name and the fields of each event that operators should see.
        """
        self.writer = writer
        self.limits = limits
        self.stamps = HybridClock(time_of_day_offset, limits.max_clock_lead_ms)
        self.complete_up_to: dict[Writer, int] = {}
        self.counts: Counter[str] = Counter()
        self.on_change: Callable[[Key, Entry], None] = lambda key, entry: None
        self._table = EntryTable(limits.bucket_count)
        self._log_event = log_event
        self._write_count = 0
        self._next_expiry_bucket = 0

    @property
    def entries(self) -> dict[Key, Entry]:
        """All entries, including those of tombstones."""
        return self._table.entries

    @property
    def digests(self) -> list[int]:
        """The digest of each bucket."""
        return self._table.digests

    @property
    def write_count(self) -> int:
        """Number of writes that this process has made."""
        return self._write_count

    def root(self) -> int:
        """A digest of all entries, which is equal for stores with the same writes."""
        return self._table.root()

    def active_version(self, key: Key, now: float) -> Version | None:
        """The version of a key that applies at `now`; None if there is none."""
        entry = self.entries.get(key)
        return None if entry is None else active_version(key[0], entry, now)

    def sorted_bucket(self, bucket: int) -> list[Key]:
        """The keys of a bucket in sorted order.

        Raises:
            IndexError: There is no such bucket.
        """
        return sorted(self._table.keys_in(bucket))

    def conflicting_keys(self) -> Iterable[Key]:
        """The keys with concurrent versions."""
        return (key for key, entry in self.entries.items() if len(entry.versions) > 1)

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
        """Replace all versions of a key that are held here.

        Args:
            now: The current time in milliseconds.
            key: Type and name of the entry.
            body: The encoded value.
            author: Author of the write.
            reason: Reason for the write.
            lifetime_ms: Time for which the version is active.
            deleted: Whether to write a tombstone.

        Raises:
            WriteRejectedError: The write exceeds a bound; nothing is written.
        """
        self.limits.check_write(key, body, author, reason)
        if key not in self.entries:
            self.limits.check_entry_count(len(self.entries))
        if self.writer not in self.complete_up_to:
            check_writer_count(len(self.complete_up_to))
        if not lifetime_ms > 0:
            raise WriteRejectedError("the lifetime must be longer than 0 ms")
        stamp = self.stamps.next_stamp(now)
        self._write_count += 1
        self.complete_up_to[self.writer] = self._write_count
        dot = self.writer, self._write_count
        version = Version(dot, now, stamp, body, author, reason, lifetime_ms, deleted)
        self._put(key, with_write(self.entries.get(key, Entry()), version))
        return version

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        """Merge an entry of another process, whose times are on the local clock.

        Returns:
            Whether the entry was accepted.
        """
        if any(version.stamp >= MAX_STAMP for version in entry.versions):
            # Rejected as a whole: its version vector alone would remove the versions here and add none.
            self._report_clock_ahead(key, accepted=False)
            return False
        local = self.entries.get(key, Entry())
        local_dots = {version.dot for version in local.versions}
        new_versions = [version for version in entry.versions if version.dot not in local_dots]
        if any(self.stamps.is_ahead(version.stamp, version.written_at) for version in new_versions):
            # The clock of the writer or of this process is wrong. The operator's write is accepted all the
            # same, since a stamp only puts concurrent versions in order.
            self._report_clock_ahead(key, accepted=True)
        superseded_dots = {version.dot for version in new_versions if self._was_received(version.dot)}
        if superseded_dots:
            self.counts["versions_ended"] += len(superseded_dots)
            remaining = tuple(version for version in entry.versions if version.dot not in superseded_dots)
            entry = Entry(remaining, entry.version_vector)
        for version in entry.versions:
            self.stamps.observe(version.stamp)
        merged = self._merged(local, entry)
        # Otherwise two replicas would send each other tombstones forever, each after the other expired them.
        self._put(key, self._unexpired(merged, now - self.limits.tombstone_ms))
        return True

    def _report_clock_ahead(self, key: Key, accepted: bool) -> None:
        self.counts["clock_ahead"] += 1
        self._log_event("state_clock_ahead", type=key[0], name=key[1], accepted=accepted)

    def _was_received(self, dot: Dot) -> bool:
        writer, count = dot
        return self.complete_up_to.get(writer, 0) >= count

    def _raise_complete_up_to(self, writer: Writer, count: int) -> None:
        self.complete_up_to[writer] = max(count, self.complete_up_to.get(writer, 0))

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

    def expire(self, now: float, max_buckets: int | None = None) -> None:
        """Remove what has been inactive for `tombstone_ms`.

        Args:
            now: The current time in milliseconds.
            max_buckets: Number of buckets to process, from where the previous call ended; None for all.
        """
        bucket_count = self.limits.bucket_count
        count = bucket_count if max_buckets is None else min(max_buckets, bucket_count)
        for _ in range(count):
            for key in self._table.keys_in(self._next_expiry_bucket):
                entry = self.entries[key]
                if not entry.is_permanent:
                    self._put(key, self._unexpired(entry, now - self.limits.tombstone_ms))
            self._next_expiry_bucket = (self._next_expiry_bucket + 1) % bucket_count

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        """Return the entry without what has been inactive since before `until`.

        Only writes that `complete_up_to` covers are removed. Any other one would count as new if it were
        received again.
        """
        if all(
            version.inactive_since() < until and self._was_received(version.dot) for version in entry.versions
        ):
            entry = Entry((), entry.version_vector)
        # A write must show which versions it replaces, however old they are: its writer's component stays.
        required_writers = {version.dot[0] for version in entry.versions}
        vector = tuple(
            component
            for component in entry.version_vector
            if component.writer in required_writers
            or component.written_at >= until
            or not self._was_received((component.writer, component.up_to))
        )
        return Entry(entry.versions, vector)

    def clone(self) -> Self:
        """Return an independent store with the same content, for the exploration of interleavings."""
        clone = copy.copy(self)
        clone.stamps = copy.copy(self.stamps)
        clone.complete_up_to = dict(self.complete_up_to)
        clone.counts = Counter(self.counts)
        clone._table = self._table.clone()
        return clone
