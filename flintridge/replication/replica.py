"""One process's copy: writes, merging with what others hold, forgetting, and catching up.

Without I/O; times are float milliseconds of the process's own clock. A copy compares itself with others by
digests of ranges of keys (buckets), and takes those that differ whole. `whole` says of each writer up to
which of its writes this copy had all: one of those that is not here was ended, and is neither taken again nor
kept by another copy that has it still. So nothing deleted returns, however long a process was away.
"""

import copy
import hashlib
import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Self

from flintridge.replication.entry import Dot, Entry, Key, Seen, Version, Writer, merge, winner, written
from flintridge.replication.value_types import Refused

SHIFT = 16  # bits of a stamp below its milliseconds
SLICE = 16 * 1024  # bytes of entries in a slice, about; a bucket is never cut
MOST_WRITERS = 4096  # lives that ever wrote
PATIENCE = 6.0  # times `wait`, for one that has caught up and is heard, but gives nothing


class Standing(IntEnum):
    FRESH = 0  # nothing was taken yet
    CATCHING = 1
    CAUGHT = 2  # has all that some process held that had itself caught up


@dataclass(slots=True, frozen=True)
class Limits:
    """Milliseconds and bytes. `entries`: keys, those of remembered deletions included."""

    entries: int = 10_000
    entry_bytes: int = 512
    remember: float = 3_600_000.0
    wait: float = 10_000.0
    ahead: float = 60_000.0
    buckets: int = 256


class Ask(NamedTuple):
    """For what differs, from that bucket on."""

    digests: tuple[int, ...]
    cursor: int
    number: int  # of the pass


class Slice(NamedTuple):
    """All that was held in those of the buckets `first` to `end` that differ."""

    number: int
    first: int
    end: int
    caught: bool
    whole: tuple[tuple[Writer, int], ...]
    entries: tuple[tuple[Key, Entry], ...]
    sent: tuple[int, ...] = ()  # the buckets that are in it


class Pass(NamedTuple):
    """A comparison with one source that is under way."""

    number: int
    cursor: int
    caught: bool = True  # the source had caught up in all slices so far
    refused: bool = False  # something of it was not taken
    whole: tuple[tuple[Writer, int], ...] | None = None  # the source's, at the first slice


def _hash(text: str) -> int:
    """63 bits, as a word has place for."""
    made = hashlib.blake2b(text.encode(), digest_size=8, person=b"flintridge-copy").digest()
    return int.from_bytes(made) >> 1


class Replica:
    """`offset`: makes a time of day (ms) of the clock, for stamps alone. `told`: what staff should see."""

    def __init__(
        self,
        me: Writer,
        limits: Limits,
        now: float,
        offset: float = 0.0,
        told: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.me, self.limits, self.offset = me, limits, offset
        self.standing = Standing.FRESH
        self.entries: dict[Key, Entry] = {}
        self.digests = [0] * limits.buckets
        self._buckets: list[dict[Key, None]] = [{} for _ in range(limits.buckets)]
        self._root: int | None = None
        self._next_look = 0
        self.whole: dict[Writer, int] = {}
        self.counts: Counter[str] = Counter()
        self.passes: dict[Writer, Pass] = {}
        self.changed: Callable[[Key, Entry], None] = lambda key, entry: None
        self._told = told
        self._begun = now
        self._elder_at = -math.inf  # when one that has caught up was last heard
        self._given_at = -math.inf  # when one gave something
        self._count = 0
        self._stamp = 0
        self._number = 0

    # Writing

    def write(
        self,
        now: float,
        key: Key,
        body: bytes,
        by: str,
        why: str,
        lasts: float = math.inf,
        deleted: bool = False,
    ) -> Version:
        """In this copy at once. Raises Refused, and then nothing is written."""
        size = sum(len(text.encode()) for text in (*key, by, why)) + len(body)
        if size > self.limits.entry_bytes:
            raise Refused(f"{size} bytes are over entry_bytes of {self.limits.entry_bytes}")
        if key not in self.entries and len(self.entries) >= self.limits.entries:
            raise Refused(
                f"{len(self.entries)} entries are held, deletions included; allowed: {self.limits.entries}"
            )
        if self.me not in self.whole and len(self.whole) >= MOST_WRITERS:
            raise Refused(f"{len(self.whole)} processes have written; allowed: {MOST_WRITERS}")
        if not lasts > 0:
            raise Refused("it must last longer than 0 ms")
        self._stamp = max(int(now + self.offset) << SHIFT, self._stamp + 1)
        self._count += 1
        self.whole[self.me] = self._count
        version = Version((self.me, self._count), now, self._stamp, body, by, why, lasts, deleted)
        self._put(key, written(self.entries.get(key, Entry()), version), now)
        return version

    # What others hold

    def hear(self, now: float, key: Key, entry: Entry) -> bool:
        """An entry of another copy, with its times on the own clock. Whether it was taken."""
        if any((one.stamp >> SHIFT) > one.at + self.offset + self.limits.ahead for one in entry.versions):
            # Not in part either: what its writer had seen would end what is here, and leave nothing.
            self.counts["ahead"] += 1
            self._told("state_ahead", type=key[0], name=key[1])
            return False
        mine = self.entries.get(key, Entry())
        held = {one.dot for one in mine.versions}
        ended = {one.dot for one in entry.versions if one.dot not in held and self._had(one.dot)}
        if ended:
            self.counts["ended"] += len(ended)
            entry = Entry(tuple(one for one in entry.versions if one.dot not in ended), entry.seen)
        for one in entry.versions:
            self._stamp = max(self._stamp, one.stamp)
        # Guards against memories that two copies hand one another for ever, each after it has forgotten them.
        merged = self._merged(mine, entry)
        self._put(key, self._remembered(merged, now - self.limits.remember), now)
        return True

    def _had(self, dot: Dot) -> bool:
        return self.whole.get(dot[0], 0) >= dot[1]

    def _merged(self, mine: Entry, entry: Entry) -> Entry:
        return merge(mine, entry)

    def _put(self, key: Key, entry: Entry, now: float) -> None:
        before = self.entries.get(key)
        if entry == before:
            return
        bucket = _hash("\0".join(key)) % self.limits.buckets
        self._root = None
        if before is not None:
            self.digests[bucket] ^= digest(key, before)
        if entry.versions or entry.seen:
            self.entries[key] = entry
            self._buckets[bucket][key] = None
            self.digests[bucket] ^= digest(key, entry)
        else:
            self.entries.pop(key, None)
            self._buckets[bucket].pop(key, None)
        dots = [one.dot for one in entry.versions]
        if before is None or [one.dot for one in before.versions] != dots:
            if len(dots) > 1 and len(dots) > (len(before.versions) if before else 0):
                self.counts["conflicts"] += 1
            self.changed(key, entry)

    # Time

    def look(self, now: float, most: int | None = None) -> None:
        """What is over for long enough is forgotten, with what was seen: in `most` buckets more, or all."""
        size = len(self._buckets)
        for _ in range(size if most is None else min(most, size)):
            for key in list(self._buckets[self._next_look]):
                entry = self.entries[key]
                if not entry.lasting:
                    self._put(key, self._remembered(entry, now - self.limits.remember), now)
            self._next_look = (self._next_look + 1) % size
        begun, given = max(self._begun, self._elder_at), max(self._begun, self._given_at)
        # Guards the service against one that is heard, but whose exchanges never come through.
        late = now - begun >= self.limits.wait or now - given >= PATIENCE * self.limits.wait
        if self.standing is not Standing.CAUGHT and late:
            self._told("state_alone", waited_ms=round(now - self._begun))
            self.begin()

    def begin(self) -> None:
        """There is nobody to catch up with: what is here is the state."""
        self.standing = Standing.CAUGHT

    def _remembered(self, entry: Entry, until: float) -> Entry:
        """Only what this copy had all of goes: it could not tell the rest from what is new."""
        if all(one.over_at() < until and self._had(one.dot) for one in entry.versions):
            entry = Entry((), entry.seen)
        # A write that replaces a version has to say so, however old that is: its writer's pair stays.
        needed = {one.dot[0] for one in entry.versions}
        seen = tuple(
            one
            for one in entry.seen
            if one.writer in needed or one.at >= until or not self._had((one.writer, one.upto))
        )
        return Entry(entry.versions, seen)

    # Catching up

    def root(self) -> int:
        """The same for copies that hold the same."""
        if self._root is None:
            self._root = _hash(repr(self.digests))
        return self._root

    def told_root(self, now: float, source: Writer, root: int, caught: bool, own: int) -> bool:
        """What a copy said of itself, with how many writes of its own. Whether it should be asked."""
        if caught:
            self._elder_at = now
        if own and root == self.root():
            # It holds what is held here: each of its writes until then is here, or was ended.
            self.whole[source] = max(own, self.whole.get(source, 0))
        return root != self.root() or (caught and self.standing is not Standing.CAUGHT)

    @property
    def own(self) -> int:
        """How many writes this process has made."""
        return self._count

    def ask(self, source: Writer) -> Ask:
        """The next call to that source: the pass goes on where it stands."""
        if self.standing is Standing.FRESH:
            self.standing = Standing.CATCHING
        one = self.passes.get(source)
        if one is None:
            self._number += 1
            one = self.passes[source] = Pass(self._number, 0)
        return Ask(tuple(self.digests), one.cursor, one.number)

    def answer(self, ask: Ask, most: int = SLICE) -> Slice:
        """Raises Refused where the other side cuts its keys in another way."""
        if len(ask.digests) != len(self.digests):
            raise Refused(f"{len(ask.digests)} digests; allowed: {len(self.digests)}")
        taken: list[tuple[Key, Entry]] = []
        sent: list[int] = []
        size, end = 0, ask.cursor
        while end < len(self.digests) and (end == ask.cursor or size < most):
            if self.digests[end] != ask.digests[end]:
                sent.append(end)
                for key in sorted(self._buckets[end]):
                    taken.append((key, self.entries[key]))
                    size += weight(*taken[-1])
            end += 1
        caught = self.standing is Standing.CAUGHT
        return Slice(
            ask.number, ask.cursor, end, caught, tuple(self.whole.items()), tuple(taken), tuple(sent)
        )

    def take(self, now: float, source: Writer, got: Slice) -> bool:
        """A slice, with its entries' times on the own clock. Whether the pass is over."""
        one = self.passes.get(source)
        if one is None or (got.number, got.first) != (one.number, one.cursor):
            self.counts["slices_out_of_turn"] += 1  # doubled, late, or of a pass that is given up
            return False
        if got.caught:
            self._elder_at = self._given_at = now
        self._end(now, got)
        taken = [self.hear(now, key, entry) for key, entry in got.entries]
        one = Pass(
            one.number,
            got.end,
            one.caught and got.caught,
            one.refused or not all(taken),
            got.whole if one.whole is None else one.whole,
        )
        self.passes[source] = one
        if got.end < len(self.digests):
            return False
        del self.passes[source]
        if not one.refused:
            for writer, count in one.whole or ():
                self.whole[writer] = max(count, self.whole.get(writer, 0))
        if one.caught:
            if self.standing is not Standing.CAUGHT:
                self._told("state_caught_up", source=source[0], entries=len(self.entries))
            self.standing = Standing.CAUGHT
        return True

    def broke_off(self, source: Writer) -> None:
        """That source is not heard any more; what was taken stays, and another one is asked for the rest."""
        self.passes.pop(source, None)

    def _end(self, now: float, got: Slice) -> None:
        """What the source had, and does not have any more, was ended there."""
        theirs = {key: {one.dot for one in entry.versions} for key, entry in got.entries}
        had = dict(got.whole)
        for bucket in got.sent:
            for key in list(self._buckets[bucket]):
                entry, held = self.entries[key], theirs.get(key, set())
                gone = {
                    one.dot
                    for one in entry.versions
                    if one.dot not in held and had.get(one.dot[0], 0) >= one.dot[1]
                }
                if gone:
                    self.counts["ended"] += len(gone)
                    self._put(key, _without(entry, gone, now), now)

    def twin(self) -> Self:
        """Another one with the same content, for searches."""
        other = copy.copy(self)
        other.entries, other.digests = dict(self.entries), list(self.digests)
        other._buckets = [dict(one) for one in self._buckets]
        other.counts, other.whole, other.passes = Counter(self.counts), dict(self.whole), dict(self.passes)
        return other

    # For staff

    def holding(self, key: Key, now: float) -> Version | None:
        entry = self.entries.get(key)
        return None if entry is None else winner(key[0], entry, now)

    def bucket(self, i: int) -> list[Key]:
        """The keys of a range. Raises IndexError."""
        return sorted(self._buckets[i])

    def conflicts(self) -> Iterable[Key]:
        return (key for key, entry in self.entries.items() if len(entry.versions) > 1)


def _without(entry: Entry, dots: set[Dot], now: float) -> Entry:
    """They are seen, and gone, from now on."""
    writers = {dot[0] for dot in dots}
    seen = tuple(Seen(one.writer, one.upto, now if one.writer in writers else one.at) for one in entry.seen)
    return Entry(tuple(one for one in entry.versions if one.dot not in dots), seen)


def digest(key: Key, entry: Entry) -> int:
    """By dots alone, as times differ from one copy to another."""
    if entry.versions:
        return _hash(f"{key!r}{[one.dot for one in entry.versions]!r}")
    return _hash(f"{key!r} was {[one[:2] for one in entry.seen]!r}")


def weight(key: Key, entry: Entry) -> int:
    """Bytes of it, about."""
    texts = sum(len(one.body) + len(one.by) + len(one.why) + 48 for one in entry.versions)
    return texts + 32 * len(entry.seen) + len(key[0]) + len(key[1])
