"""Defects that a replica could have; the exploration must find each."""

from flintridge.replication.comparison import SnapshotChunk
from flintridge.replication.entry import Entry, Key, Writer, merge
from flintridge.replication.replica import Replica


class ArrivalDecides(Replica):
    """What was received last is what applies."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return remote


class NewestStampDecides(Replica):
    """Of two writes that had not seen one another one is dropped."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        both = merge(local, remote)
        return Entry(
            tuple(sorted(both.versions, key=lambda version: (version.stamp, version.dot))[-1:]),
            both.version_vector,
        )


class TombstoneEndsUnseenVersions(Replica):
    """A tombstone ends versions that its writer had not seen."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        both = merge(local, remote)
        tombstones = tuple(version for version in both.versions if version.deleted)
        return Entry(tombstones or both.versions, both.version_vector)


class ReplacedVersionsKept(Replica):
    """Versions are only ever added."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        versions = {version.dot: version for version in (*local.versions, *remote.versions)}
        return Entry(tuple(versions[dot] for dot in sorted(versions)), merge(local, remote).version_vector)


class VersionVectorNotMerged(Replica):
    """What other replicas have seen is not merged."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return Entry(merge(local, remote).versions, local.version_vector)


class EmptyReplicaWins(Replica):
    """What a source lacks is dropped, whoever it is."""

    def _writers(self) -> set[Writer]:
        return {version.dot[0] for entry in self.entries.values() for version in entry.versions}

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        super()._drop_ended(
            now, chunk._replace(complete_up_to=tuple((writer, 1 << 62) for writer in self._writers()))
        )
        return super().apply_chunk(now, source, chunk)


class TombstoneExpiredEarly(Replica):
    """Tombstones expire by time alone, whether or not all earlier writes were received."""

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        is_inactive = all(version.inactive_since() < until for version in entry.versions)
        return Entry(
            () if is_inactive else entry.versions,
            tuple(component for component in entry.version_vector if component.written_at >= until),
        )


class DuplicateChunkMovesCursor(Replica):
    """A duplicate chunk moves the cursor on."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        comparison = self.comparisons.get(source)
        if comparison is not None and chunk.number == comparison.number and chunk.first < comparison.cursor:
            end = min(len(self.digests), comparison.cursor + chunk.end - chunk.first)
            chunk = chunk._replace(first=comparison.cursor, end=end)
        return super().apply_chunk(now, source, chunk)


class DotReused(Replica):
    """A new incarnation writes as the one before."""

    def __init__(self, writer: Writer, *arguments: object, **options: object) -> None:
        node, _ = writer
        super().__init__((node, 0), *arguments, **options)  # type: ignore[arg-type]


class ReturnedNodeBelieved(Replica):
    """What it received, and was ended, is accepted again from a node that was away."""

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        complete_up_to = self.complete_up_to
        self.complete_up_to = {}
        is_accepted = super().receive(now, key, entry)
        self.complete_up_to = complete_up_to
        return is_accepted


class EndedKeptByReturnedNode(Replica):
    """A node that was away keeps what others have ended."""

    def _drop_ended(self, now: float, chunk: SnapshotChunk) -> None:
        pass


class CompleteAfterFirstChunk(Replica):
    """After the first chunk it counts all that the source received as received."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        is_complete = super().apply_chunk(now, source, chunk)
        self.complete_up_to.update(chunk.complete_up_to)
        return is_complete


class SynchronizedByAnySource(Replica):
    """It has synchronized with a source that has not."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        return super().apply_chunk(now, source, chunk._replace(source_synchronized=True))


class SynchronizedAfterFirstChunk(Replica):
    """It has synchronized after one chunk."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        is_complete = super().apply_chunk(now, source, chunk)
        if chunk.source_synchronized:
            self.mark_synchronized()
        return is_complete


REPLICATION_DEFECTS = (
    ArrivalDecides,
    NewestStampDecides,
    TombstoneEndsUnseenVersions,
    ReplacedVersionsKept,
    VersionVectorNotMerged,
    EmptyReplicaWins,
    TombstoneExpiredEarly,
    DuplicateChunkMovesCursor,
    DotReused,
    ReturnedNodeBelieved,
    EndedKeptByReturnedNode,
    CompleteAfterFirstChunk,
    SynchronizedByAnySource,
    SynchronizedAfterFirstChunk,
)
