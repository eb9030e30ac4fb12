"""Defects that a `Replica` could have.

The exhaustive exploration in `flintridge.lab.explore.replicas` must find each of them.
"""

from flintridge.replication.comparison import SnapshotChunk
from flintridge.replication.entry import Entry, Key, Writer, merge
from flintridge.replication.replica import Replica

ANY_WRITE = 1 << 62  # greater than the number of any write


class LastArrivalWins(Replica):
    """The entry that arrives last replaces the local one instead of being merged with it."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return remote


class LastWriteWins(Replica):
    """Of two concurrent writes, the one with the older timestamp is dropped."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        merged = merge(local, remote)
        newest = max(merged.versions, key=lambda version: (version.stamp, version.dot), default=None)
        return Entry(() if newest is None else (newest,), merged.version_vector)


class TombstoneEndsUnseenVersions(Replica):
    """A tombstone also deletes concurrent versions that its writer had not seen."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        merged = merge(local, remote)
        tombstones = tuple(version for version in merged.versions if version.deleted)
        return Entry(tombstones or merged.versions, merged.version_vector)


class ReplacedVersionsRetained(Replica):
    """A merge keeps versions that have been replaced."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        versions = {version.dot: version for version in (*local.versions, *remote.versions)}
        return Entry(tuple(versions[dot] for dot in sorted(versions)), merge(local, remote).version_vector)


class VersionVectorNotMerged(Replica):
    """A merge does not merge the version vectors, but keeps the local one."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return Entry(merge(local, remote).versions, local.version_vector)


class EmptyReplicaWins(Replica):
    """Entries that a source lacks are dropped, even if the source is an empty replica."""

    def _writers(self) -> set[Writer]:
        return {version.dot[0] for entry in self.entries.values() for version in entry.versions}

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """See `Replica.apply_chunk`."""
        super()._drop_superseded(
            now, chunk._replace(complete_up_to=tuple((writer, ANY_WRITE) for writer in self._writers()))
        )
        return super().apply_chunk(now, source, chunk)


class TombstoneExpiredEarly(Replica):
    """Tombstones expire by time only, even if earlier writes have not been received yet."""

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        is_inactive = all(version.inactive_since() < until for version in entry.versions)
        return Entry(
            () if is_inactive else entry.versions,
            tuple(component for component in entry.version_vector if component.written_at >= until),
        )


class DuplicateChunkMovesCursor(Replica):
    """A duplicate chunk advances the cursor of the comparison, so that buckets are skipped."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """See `Replica.apply_chunk`."""
        comparison = self.comparisons.get(source)
        if comparison is not None and chunk.number == comparison.number and chunk.first < comparison.cursor:
            end = min(len(self.digests), comparison.cursor + chunk.end - chunk.first)
            chunk = chunk._replace(first=comparison.cursor, end=end)
        return super().apply_chunk(now, source, chunk)


class DotReused(Replica):
    """A new incarnation reuses the dots of the previous one."""

    def __init__(self, writer: Writer, *arguments: object, **options: object) -> None:
        node, _ = writer
        super().__init__((node, 0), *arguments, **options)  # type: ignore[arg-type]


class DeletedVersionAccepted(Replica):
    """A version whose tombstone has expired is accepted again from a node that was partitioned."""

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        """See `Replica.receive`."""
        complete_up_to = self.complete_up_to
        self.complete_up_to = {}
        is_accepted = super().receive(now, key, entry)
        self.complete_up_to = complete_up_to
        return is_accepted


class DeletedVersionsRetained(Replica):
    """After a partition, a node keeps versions that the others deleted and whose tombstones have expired."""

    def _drop_superseded(self, now: float, chunk: SnapshotChunk) -> None:
        pass


class CompleteAfterFirstChunk(Replica):
    """After the first chunk of a comparison, the replica takes itself to be as complete as its source."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """See `Replica.apply_chunk`."""
        is_complete = super().apply_chunk(now, source, chunk)
        self.complete_up_to.update(chunk.complete_up_to)
        return is_complete


class SynchronizedByAnySource(Replica):
    """The replica becomes synchronized by a comparison with a source that is not synchronized."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """See `Replica.apply_chunk`."""
        return super().apply_chunk(now, source, chunk._replace(source_synchronized=True))


class SynchronizedAfterFirstChunk(Replica):
    """The replica becomes synchronized after the first chunk of a comparison."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        """See `Replica.apply_chunk`."""
        is_complete = super().apply_chunk(now, source, chunk)
        if chunk.source_synchronized:
            self.mark_synchronized()
        return is_complete


REPLICATION_DEFECTS = (
    LastArrivalWins,
    LastWriteWins,
    TombstoneEndsUnseenVersions,
    ReplacedVersionsRetained,
    VersionVectorNotMerged,
    EmptyReplicaWins,
    TombstoneExpiredEarly,
    DuplicateChunkMovesCursor,
    DotReused,
    DeletedVersionAccepted,
    DeletedVersionsRetained,
    CompleteAfterFirstChunk,
    SynchronizedByAnySource,
    SynchronizedAfterFirstChunk,
)
