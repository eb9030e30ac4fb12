"""A few processes with copies of one key, over links that lose, double and hold back, and may be cut.

The judge knows only who wrote what after having seen what, and whom that was told: from these follows what
each copy has to hold at every instant, and what all have to hold once nothing fails any more. All clocks make
one unit a step; deletions are remembered for one and a half.
"""

import itertools
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple, Self

from flintridge.replication.comparison import SnapshotChunk, SyncState
from flintridge.replication.entry import Dot, Entry, Key, Writer, is_active
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica

KEY: Key = ("hold", "g")  # in the second bucket, so that a pass has two slices
LIMITS = ReplicaLimits(tombstone_ms=1.5, sync_wait_ms=float("inf"), bucket_count=2)
START = 100.0
Known = frozenset[Dot]


@dataclass(slots=True, frozen=True)
class Left:
    """How often each may still happen."""

    writes: int = 2
    deletes: int = 1
    asks: int = 1
    losses: int = 0
    doubles: int = 0
    restarts: int = 0
    cuts: int = 0
    ticks: int = 0
    says: int = 0  # what a copy says of itself, as it rides on every datagram


@dataclass(slots=True, frozen=True)
class Process:
    """`sound`: whether its state comes, over whatever others, from one that had caught up."""

    copy: Replica
    life: int = 0
    known: Known = frozenset()
    sound: bool = True
    gone: Known = frozenset()  # what it knew and did not hold, at any time
    exact: bool = False  # it has just come to the end of a comparison
    begun: tuple[tuple[Writer, Known, bool], ...] = ()  # at the start of a pass: what its source knew


class Root(NamedTuple):
    root: int
    caught: bool
    own: int


@dataclass(slots=True, frozen=True)
class Flying:
    to: int
    source: Writer
    known: Known
    word: Entry | SnapshotChunk | Root


@dataclass(slots=True, frozen=True)
class Copies:
    """`make` builds a copy, so that a defect may be planted in each."""

    processes: tuple[Process, ...]
    left: Left
    now: float = START
    flying: tuple[Flying, ...] = ()
    past: tuple[tuple[Dot, Known, bool], ...] = ()  # of each write: what its writer knew; whether it deleted
    cut: int = -1  # that process is cut off from the others
    make: Callable[[Writer, ReplicaLimits, float], Replica] = Replica

    @classmethod
    def begin(
        cls,
        size: int,
        left: Left,
        make: Callable[[Writer, ReplicaLimits, float], Replica] = Replica,
        written: bool = False,
    ) -> Self:
        """`written`: one entry is in all copies."""
        copies = [make(("abc"[i], 0), LIMITS, START) for i in range(size)]
        for one in copies:
            one.mark_synchronized()
        world = cls(tuple(Process(one) for one in copies), left, make=make)
        if not written:
            return world
        world = world._write(0, deleted=False)
        for word in world.flying:
            world = world._arrives(word)
        for process in world.processes:
            process.copy.complete_up_to[copies[0].writer] = 1
        return replace(world, flying=(), left=left)

    # What can happen

    def steps(self) -> Iterator[tuple[str, Self]]:
        left = self.left
        if left.ticks:
            yield "time goes on", self._tick()
        if self.cut >= 0:
            yield "the cut heals", replace(self, cut=-1)
        for i, process in enumerate(self.processes):
            name = process.copy.writer[0]
            if left.writes:
                yield f"{name} writes", self._write(i, deleted=False)
            if left.deletes and process.copy.active_version(KEY, self.now) is not None:
                yield f"{name} deletes", self._write(i, deleted=True)
            if left.restarts:
                yield f"{name} is killed and starts empty", self._restart(i)
            if left.cuts and self.cut < 0:
                yield f"{name} is cut off", replace(self, cut=i, left=self._spend(cuts=-1))
            for j, other in enumerate(self.processes):
                if i != j and left.says and self._linked(i, j):
                    yield f"{name} says what it is to {other.copy.writer[0]}", self._say(i, j)
                busy = any(isinstance(one.word, SnapshotChunk) and one.to == i for one in self.flying)
                if i != j and left.asks and self._linked(i, j) and not busy:
                    yield f"{name} asks {other.copy.writer[0]}", self._ask(i, j)
        for word in dict.fromkeys(self.flying):
            yield from self._of_word(word)

    def _of_word(self, word: Flying) -> Iterator[tuple[str, Self]]:
        what = f"{type(word.word).__name__} from {word.source[0]} to {self.processes[word.to].copy.writer[0]}"
        source = next(i for i, one in enumerate(self.processes) if one.copy.writer[0] == word.source[0])
        if self._linked(source, word.to):
            yield f"{what} arrives", self._without(word)._arrives(word)
        if self.left.losses:
            yield f"{what} is lost", replace(self._without(word), left=self._spend(losses=-1))
        if self.left.doubles:
            doubled = replace(self, flying=(*self.flying, word), left=self._spend(doubles=-1))
            yield f"{what} is doubled", doubled

    def _linked(self, i: int, j: int) -> bool:
        return self.cut not in (i, j)

    def _write(self, i: int, deleted: bool) -> Self:
        process = self.processes[i]
        made = process.copy.clone()
        version = made.write(self.now, KEY, b"", "", "", deleted=deleted)
        dot = version.dot
        past = (*self.past, (dot, process.known, deleted))
        after = replace(process, copy=made, known=process.known | {dot}, exact=False)
        left = self._spend(**{"deletes" if deleted else "writes": -1})
        words = tuple(
            Flying(j, made.writer, after.known, made.entries[KEY])
            for j in range(len(self.processes))
            if j != i and self._linked(i, j)
        )
        return replace(self._with(i, after), past=past, left=left, flying=(*self.flying, *words))

    def _restart(self, i: int) -> Self:
        old = self.processes[i]
        made = self.make((old.copy.writer[0], old.life + 1), LIMITS, self.now)
        flying = tuple(one for one in self.flying if one.to != i)
        world = replace(self, flying=flying, left=self._spend(restarts=-1))
        return world._with(i, Process(made, old.life + 1, sound=False))

    def _ask(self, i: int, j: int) -> Self:
        process, other = self.processes[i], self.processes[j]
        made = process.copy.clone()
        fresh = other.copy.writer not in made.comparisons
        ask = made.next_request(other.copy.writer)
        begun = process.begun
        if fresh:
            rest = tuple(one for one in begun if one[0] != other.copy.writer)
            begun = (*rest, (other.copy.writer, other.known, other.sound))
        got = other.copy.make_chunk(ask, max_bytes=0)
        word = Flying(i, other.copy.writer, other.known if got.buckets else frozenset(), got)
        world = self._with(i, replace(process, copy=made, begun=begun))
        return replace(world, flying=(*self.flying, word), left=self._spend(asks=-1))

    def _say(self, i: int, j: int) -> Self:
        process = self.processes[i]
        made = process.copy
        word = Root(made.root(), made.sync_state is SyncState.SYNCHRONIZED, made.write_count)
        flying = (*self.flying, Flying(j, made.writer, process.known, word))
        return replace(self, flying=flying, left=self._spend(says=-1))

    def _arrives(self, word: Flying) -> Self:
        process = self.processes[word.to]
        made = process.copy.clone()
        known, sound, over = process.known, process.sound, False
        if isinstance(word.word, Entry):
            made.receive(self.now, KEY, word.word)
            known |= word.known
        elif isinstance(word.word, Root):
            if made.root() == word.word.root:
                known |= word.known
            made.receive_root(self.now, word.source, *word.word)
        else:
            turn = made.counts["chunks_out_of_order"]
            over = made.apply_chunk(self.now, word.source, word.word)
            if made.counts["chunks_out_of_order"] == turn:
                known |= word.known
            if over:
                began = next(one for one in process.begun if one[0] == word.source)
                known |= began[1]
                sound = sound or began[2]
        return self._with(word.to, replace(process, copy=made, known=known, sound=sound, exact=over))

    def _tick(self) -> Self:
        now = self.now + 1.0
        moved = []
        for process in self.processes:
            made = process.copy.clone()
            made.expire(now)
            moved.append(replace(process, copy=made))
        return replace(self, now=now, processes=tuple(moved), left=self._spend(ticks=-1))

    def _spend(self, **less: int) -> Left:
        return replace(self.left, **{name: getattr(self.left, name) + by for name, by in less.items()})

    def _with(self, i: int, process: Process) -> Self:
        gone = process.gone | (process.known - self._held(process.copy))
        process = replace(process, gone=gone)
        return replace(self, processes=(*self.processes[:i], process, *self.processes[i + 1 :]))

    def _without(self, word: Flying) -> Self:
        at = self.flying.index(word)
        return replace(self, flying=self.flying[:at] + self.flying[at + 1 :])

    # What must hold

    def _due(self, known: Known) -> set[Dot]:
        """What stands of these writes: nobody who wrote one of them had seen it."""
        seen = frozenset().union(*(past for dot, past, _ in self.past if dot in known))
        return {dot for dot, _, deleted in self.past if dot in known and dot not in seen and not deleted}

    def _held(self, copy: Replica) -> set[Dot]:
        entry = copy.entries.get(KEY, Entry())
        return {one.dot for one in entry.versions if is_active(one, self.now)}

    def broken(self) -> str:
        for process in self.processes:
            due, held = self._due(process.known), self._held(process.copy)
            # One that was away may see a write beside one that was replaced and forgotten, until it asks.
            early = held != due and (self.now == START or process.exact)
            if early or not due <= held or held & process.gone:
                return f"{process.copy.writer[0]} holds {sorted(held)}; by what it was told {sorted(due)}"
            if process.copy.sync_state is SyncState.SYNCHRONIZED and not process.sound:
                return f"{process.copy.writer[0]} says that it has caught up, with one that had not"
        return self._settled()

    def _settled(self) -> str:
        """Nothing fails any more, and each asks each."""
        copies = [process.copy.clone() for process in self.processes]
        for one in copies:
            one.comparisons.clear()
        for _ in range(2):
            for one, other in itertools.permutations(copies, 2):
                if one.digests == other.digests:
                    continue
                while not one.apply_chunk(
                    self.now, other.writer, other.make_chunk(one.next_request(other.writer))
                ):
                    pass
        due = self._due(frozenset().union(*(process.known for process in self.processes)))
        for one in copies:
            one.expire(self.now)  # one may remember what is over for longer than the others
            if (held := self._held(one)) != due:
                return f"after all is well {one.writer[0]} holds {sorted(held)} and not {sorted(due)}"
        return (
            "" if len({tuple(one.digests) for one in copies}) == 1 else "the copies differ after all is well"
        )

    # What cannot be told apart

    def key(self) -> Hashable:
        """By ages, not by the time; the least over all ways to call the processes."""
        best = None
        for order in itertools.permutations(range(len(self.processes))):
            called = {self.processes[i].copy.writer[0]: j for j, i in enumerate(order)}
            text = repr(
                (
                    [self._of_process(self.processes[i], called) for i in order],
                    sorted(repr(self._of_flying(one, called, order)) for one in self.flying),
                    sorted((_dot(dot, called), _dots(past, called), gone) for dot, past, gone in self.past),
                    order.index(self.cut) if self.cut >= 0 else -1,
                )
            )
            best = text if best is None or text < best else best
        return best, self.left

    def _of_entry(self, entry: Entry, called: dict[str, int]) -> object:
        versions = sorted(
            (_dot(one.dot, called), one.deleted, self.now - one.written_at) for one in entry.versions
        )
        seen = sorted(
            (_dot((one.writer, one.up_to), called), self.now - one.written_at) for one in entry.version_vector
        )
        return versions, seen

    def _of_process(self, process: Process, called: dict[str, int]) -> object:
        copy = process.copy
        whole = _dots(frozenset(copy.complete_up_to.items()), called)
        passes = sorted(
            (
                _dot((who, 0), called),
                one.number,
                one.cursor,
                one.source_synchronized,
                _dots(frozenset(one.complete_up_to or ()), called),
            )
            for who, one in copy.comparisons.items()
        )
        begun = sorted((_dot((who, 0), called), _dots(known, called), ok) for who, known, ok in process.begun)
        entry = self._of_entry(copy.entries.get(KEY, Entry()), called)
        me = copy.sync_state, process.life, process.sound, process.exact
        known = _dots(process.known, called), _dots(process.gone, called)
        return entry, me, whole, passes, begun, known

    def _of_flying(self, one: Flying, called: dict[str, int], order: tuple[int, ...]) -> object:
        word: object
        if isinstance(one.word, Entry):
            word = self._of_entry(one.word, called)
        elif isinstance(one.word, Root):
            same = [process.copy.root() == one.word.root for process in self.processes]
            word = one.word, [same[j] for j in order]
        else:
            entries = [self._of_entry(entry, called) for _, entry in one.word.entries]
            whole = _dots(frozenset(one.word.complete_up_to), called)
            word = (*one.word[:4], whole, one.word.buckets, entries)
        return order.index(one.to), _dot((one.source, 0), called), _dots(one.known, called), word


def _dot(dot: Dot, called: dict[str, int]) -> tuple[int, int, int]:
    return called[dot[0][0]], dot[0][1], dot[1]


def _dots(dots: Known, called: dict[str, int]) -> list[tuple[int, int, int]]:
    return sorted(_dot(dot, called) for dot in dots)
