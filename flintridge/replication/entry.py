"""One key: the versions that nobody who had seen them has replaced, and all that was ever seen of it.

`merge` is commutative, associative and idempotent. What decides is who had seen whom, never the order in
which words arrive nor a time of day; stamps only put versions in an order that all processes share.
"""

import math
from typing import NamedTuple

from flintridge.replication.value_types import rank

Writer = tuple[str, int]  # a process: its node's name, and its life, so that no dot is ever used twice
Dot = tuple[Writer, int]
Key = tuple[str, str]  # type and name


class Version(NamedTuple):
    """One write. `at`: when it was written, by the holder's own clock; it travels as an age."""

    dot: Dot
    at: float
    stamp: int  # of a hybrid logical clock
    body: bytes
    by: str
    why: str
    lasts: float = math.inf  # ms from `at` on
    deleted: bool = False

    def ends(self) -> float:
        return self.at + self.lasts

    def over_at(self) -> float:
        """Since when it counts no more; infinite where it does for ever."""
        return self.at if self.deleted else self.ends()


class Seen(NamedTuple):
    """All dots of that writer up to `upto` were seen, the last at `at`."""

    writer: Writer
    upto: int
    at: float


class Entry(NamedTuple):
    """Both in the order of their writers. Without versions it remembers what was there."""

    versions: tuple[Version, ...] = ()
    seen: tuple[Seen, ...] = ()

    @property
    def lasting(self) -> bool:
        """One version for ever, and nothing else to forget."""
        if len(self.versions) != 1 or len(self.seen) != 1:
            return False
        return not self.versions[0].deleted and self.versions[0].lasts == math.inf

    def has_seen(self, dot: Dot) -> bool:
        return any(one.writer == dot[0] and one.upto >= dot[1] for one in self.seen)


def merge(mine: Entry, other: Entry) -> Entry:
    """What whoever heard both knows: a version stays where each side has it or has never seen it."""
    versions: dict[Dot, Version] = {}
    for one, against in ((mine, other), (other, mine)):
        held = {version.dot: version for version in against.versions}
        for version in one.versions:
            twin = held.get(version.dot)
            if twin is not None:
                # The younger: ages are told too old by up to a trip, never too young.
                versions[version.dot] = version if version.at >= twin.at else twin
            elif not against.has_seen(version.dot):
                versions[version.dot] = version
    seen: dict[Writer, Seen] = {}
    for pair in (*mine.seen, *other.seen):
        before = seen.get(pair.writer)
        if before is None or pair[1:] > before[1:]:
            seen[pair.writer] = pair
    return Entry(tuple(versions[dot] for dot in sorted(versions)), tuple(seen[w] for w in sorted(seen)))


def written(entry: Entry, version: Version) -> Entry:
    """After a write by somebody who had seen all of it."""
    writer, count = version.dot
    replaced = {one.dot[0] for one in entry.versions}
    seen = {one.writer: one._replace(at=version.at) if one.writer in replaced else one for one in entry.seen}
    seen[writer] = Seen(writer, count, version.at)
    return Entry((version,), tuple(seen[one] for one in sorted(seen)))


def counts(version: Version, now: float) -> bool:
    return not version.deleted and now < version.ends()


def ordered(kind: str, entry: Entry, now: float) -> list[Version]:
    """The one that counts first; all processes choose the same."""
    return sorted(
        entry.versions,
        key=lambda one: (counts(one, now), rank(kind, one.body, one.lasts), one.stamp, one.dot),
        reverse=True,
    )


def winner(kind: str, entry: Entry, now: float) -> Version | None:
    """What holds now. None where it was deleted, is over, or never was."""
    order = ordered(kind, entry, now)
    return order[0] if order and counts(order[0], now) else None
