"""The entries that one process holds: its writes, the merging of others' entries, and expiry.

Without I/O; times are float milliseconds of the process's own clock. `complete_up_to` says of each writer
up to which of its writes all were received: one of those that is not here was replaced or deleted, and is not
accepted again. So nothing deleted returns, however long a process was away.
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
        limits: Its bounds.
        stamps: The clock that stamps its writes.
        complete_up_to: Of each writer, up to which of its writes all were received.
        counts: Of what happened, by name.
        on_change: Called with an entry whose versions changed.
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
            limits: Its bounds.
            time_of_day_offset: Makes a time of day in milliseconds of the clock, for stamps alone.
            log_event: Called with an event's name and fields for what operators should see.
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
        """A digest of all entries, equal for stores that hold the same."""
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
        """Replace what is held of a key, at once.

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
        stamp = self.stamps.next_stamp(now)
        self._write_count += 1
        self.complete_up_to[self.writer] = self._write_count
        dot = self.writer, self._write_count
        version = Version(dot, now, stamp, body, author, reason, lifetime_ms, deleted)
        self._put(key, with_write(self.entries.get(key, Entry()), version))
        return version

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        """Merge an entry of another process, with its times on the local clock.

        Returns:
            Whether it was accepted.
        """
        if any(version.stamp >= MAX_STAMP for version in entry.versions):
            # Not in part either: what its writer had seen would end what is here, and leave nothing.
            self._report_clock_ahead(key, accepted=False)
            return False
        local = self.entries.get(key, Entry())
        local_dots = {version.dot for version in local.versions}
        new_versions = [version for version in entry.versions if version.dot not in local_dots]
        if any(self.stamps.is_ahead(version.stamp, version.written_at) for version in new_versions):
            # A clock is wrong, the writer's or this one. That is no reason to lose what an operator said: a
            # stamp only puts concurrent versions in order.
            self._report_clock_ahead(key, accepted=True)
        ended_dots = {version.dot for version in new_versions if self._was_received(version.dot)}
        if ended_dots:
            self.counts["versions_ended"] += len(ended_dots)
            remaining = tuple(version for version in entry.versions if version.dot not in ended_dots)
            entry = Entry(remaining, entry.version_vector)
        for version in entry.versions:
            self.stamps.observe(version.stamp)
        merged = self._merged(local, entry)
        # Guards against tombstones that two replicas send one another for ever, each after expiring them.
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
        """Forget what has been inactive for long enough.

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

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        """The entry without what was inactive before `until`.

        Only writes of which this process received all may go: it could not tell others from new ones.
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

    def clone(self) -> Self:
        """A store of its own with the same content, for searches."""
        clone = copy.copy(self)
        clone.stamps = copy.copy(self.stamps)
        clone.complete_up_to = dict(self.complete_up_to)
        clone.counts = Counter(self.counts)
        clone._table = self._table.clone()
        return clone
