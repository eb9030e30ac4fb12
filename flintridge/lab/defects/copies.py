"""Mistakes that a copy could have; the explorer must find each."""

from flintridge.replication.entry import Entry, Key, Writer, merge
from flintridge.replication.replica import Replica, Slice, Standing


class ArrivalDecides(Replica):
    """What came last is what holds."""

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        return entry


class NewestStampDecides(Replica):
    """Of two writes that had not seen one another one is dropped."""

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        both = merge(mine, entry)
        return Entry(tuple(sorted(both.versions, key=lambda one: (one.stamp, one.dot))[-1:]), both.seen)


class HoldLostToRelease(Replica):
    """A deletion ends what it had not seen."""

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        both = merge(mine, entry)
        ends = tuple(one for one in both.versions if one.deleted)
        return Entry(ends or both.versions, both.seen)


class EndedKept(Replica):
    """Versions are only ever added."""

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        all_of_them = {one.dot: one for one in (*mine.versions, *entry.versions)}
        return Entry(tuple(all_of_them[dot] for dot in sorted(all_of_them)), merge(mine, entry).seen)


class SeenNotPassedOn(Replica):
    """What others have seen is not taken over."""

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        return Entry(merge(mine, entry).versions, mine.seen)


class EmptyCopyWins(Replica):
    """What a source lacks is dropped, whoever it is."""

    def _writers(self) -> set[Writer]:
        return {one.dot[0] for entry in self.entries.values() for one in entry.versions}

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        super()._end(now, got._replace(whole=tuple((writer, 1 << 62) for writer in self._writers())))
        return super().take(now, source, got)


class DeletionForgottenEarly(Replica):
    """By time alone, whether or not it had all that was written."""

    def _remembered(self, entry: Entry, until: float) -> Entry:
        over = all(one.over_at() < until for one in entry.versions)
        return Entry(() if over else entry.versions, tuple(one for one in entry.seen if one.at >= until))


class SliceTakenTwiceCounts(Replica):
    """A doubled slice moves the cursor on."""

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        one = self.passes.get(source)
        if one is not None and got.number == one.number and got.first < one.cursor:
            got = got._replace(first=one.cursor, end=min(len(self.digests), one.cursor + got.end - got.first))
        return super().take(now, source, got)


class DotReused(Replica):
    """A new life goes on under the name of the one before."""

    def __init__(self, me: Writer, *rest: object, **more: object) -> None:
        super().__init__((me[0], 0), *rest, **more)  # type: ignore[arg-type]


class ReturnedBelieved(Replica):
    """What it had, and was ended, is taken again from one that was away."""

    def hear(self, now: float, key: Key, entry: Entry) -> bool:
        whole, self.whole = self.whole, {}
        taken = super().hear(now, key, entry)
        self.whole = whole
        return taken


class KeptByTheReturned(Replica):
    """One that was away keeps what others have ended."""

    def _end(self, now: float, got: Slice) -> None:
        pass


class WholeFromPart(Replica):
    """With the first slice it believes to have had all that the source has."""

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        over = super().take(now, source, got)
        self.whole.update(got.whole)
        return over


class AnySourceWillDo(Replica):
    """It has caught up with one that has not."""

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        return super().take(now, source, got._replace(caught=True))


class FirstSliceIsAll(Replica):
    """It says that it has caught up after one slice."""

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        over = super().take(now, source, got)
        if got.caught:
            self.standing = Standing.CAUGHT
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
