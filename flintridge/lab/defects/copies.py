"""Mistakes that a copy could have; the explorer must find each."""

from flintridge.replication.comparison import SnapshotChunk, SyncState
from flintridge.replication.entry import Entry, Key, Writer, merge
from flintridge.replication.replica import Replica


class ArrivalDecides(Replica):
    """What came last is what holds."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return remote


class NewestStampDecides(Replica):
    """Of two writes that had not seen one another one is dropped."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        both = merge(local, remote)
        return Entry(
            tuple(sorted(both.versions, key=lambda one: (one.stamp, one.dot))[-1:]), both.version_vector
        )


class HoldLostToRelease(Replica):
    """A deletion ends what it had not seen."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        both = merge(local, remote)
        ends = tuple(one for one in both.versions if one.deleted)
        return Entry(ends or both.versions, both.version_vector)


class EndedKept(Replica):
    """Versions are only ever added."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        all_of_them = {one.dot: one for one in (*local.versions, *remote.versions)}
        return Entry(
            tuple(all_of_them[dot] for dot in sorted(all_of_them)), merge(local, remote).version_vector
        )


class SeenNotPassedOn(Replica):
    """What others have seen is not taken over."""

    def _merged(self, local: Entry, remote: Entry) -> Entry:
        return Entry(merge(local, remote).versions, local.version_vector)


class EmptyCopyWins(Replica):
    """What a source lacks is dropped, whoever it is."""

    def _writers(self) -> set[Writer]:
        return {one.dot[0] for entry in self.entries.values() for one in entry.versions}

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        super()._drop_ended(
            now, chunk._replace(complete_up_to=tuple((writer, 1 << 62) for writer in self._writers()))
        )
        return super().apply_chunk(now, source, chunk)


class DeletionForgottenEarly(Replica):
    """By time alone, whether or not it had all that was written."""

    def _unexpired(self, entry: Entry, until: float) -> Entry:
        over = all(one.inactive_since() < until for one in entry.versions)
        return Entry(
            () if over else entry.versions,
            tuple(one for one in entry.version_vector if one.written_at >= until),
        )


class SliceTakenTwiceCounts(Replica):
    """A doubled slice moves the cursor on."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        one = self.comparisons.get(source)
        if one is not None and chunk.number == one.number and chunk.first < one.cursor:
            chunk = chunk._replace(
                first=one.cursor, end=min(len(self.digests), one.cursor + chunk.end - chunk.first)
            )
        return super().apply_chunk(now, source, chunk)


class DotReused(Replica):
    """A new life goes on under the name of the one before."""

    def __init__(self, me: Writer, *rest: object, **more: object) -> None:
        super().__init__((me[0], 0), *rest, **more)  # type: ignore[arg-type]


class ReturnedBelieved(Replica):
    """What it had, and was ended, is taken again from one that was away."""

    def receive(self, now: float, key: Key, entry: Entry) -> bool:
        complete_up_to, self.complete_up_to = self.complete_up_to, {}
        taken = super().receive(now, key, entry)
        self.complete_up_to = complete_up_to
        return taken


class KeptByTheReturned(Replica):
    """One that was away keeps what others have ended."""

    def _drop_ended(self, now: float, chunk: SnapshotChunk) -> None:
        pass


class WholeFromPart(Replica):
    """With the first slice it believes to have had all that the source has."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        over = super().apply_chunk(now, source, chunk)
        self.complete_up_to.update(chunk.complete_up_to)
        return over


class AnySourceWillDo(Replica):
    """It has caught up with one that has not."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        return super().apply_chunk(now, source, chunk._replace(source_synchronized=True))


class FirstSliceIsAll(Replica):
    """It says that it has caught up after one slice."""

    def apply_chunk(self, now: float, source: Writer, chunk: SnapshotChunk) -> bool:
        over = super().apply_chunk(now, source, chunk)
        if chunk.source_synchronized:
            self.sync_state = SyncState.SYNCHRONIZED
        return over


COPYING = (
    ArrivalDecides,
    NewestStampDecides,
    HoldLostToRelease,
    EndedKept,
    SeenNotPassedOn,
    EmptyCopyWins,
    DeletionForgottenEarly,
    SliceTakenTwiceCounts,
    DotReused,
    ReturnedBelieved,
    KeptByTheReturned,
    WholeFromPart,
    AnySourceWillDo,
    FirstSliceIsAll,
)
