"""One key of the replicated map: its concurrent versions, and a version vector of all writes it ever saw.

`merge` is commutative, associative and idempotent. What decides is which writer had seen which write, never
the order in which messages arrive nor a time of day; stamps only put versions in an order that all processes
share.
"""

import math
from typing import NamedTuple

from flintridge.replication.value_types import precedence

# Plain tuples: digests hash their `repr`, and those are compared between nodes of different releases.
Writer = tuple[str, int]  # a process: its node's name and its incarnation, so that no dot is ever used twice
Dot = tuple[Writer, int]  # one write: its writer, and its number among that writer's writes
Key = tuple[str, str]  # the entry's type and name


class Version(NamedTuple):
    """One write of a key.

    Attributes:
        dot: Identifies the write.
        written_at: When it was written, in milliseconds of the local clock; it travels as an age.
        stamp: Of a hybrid logical clock.
        body: The value, encoded; see `value_types`.
        author: Who wrote it.
        reason: What for, in the author's words.
        lifetime_ms: For how long it is active, from `written_at` on.
        deleted: Whether it is a tombstone.
    """

    dot: Dot
    written_at: float
    stamp: int
    body: bytes
    author: str
    reason: str
    lifetime_ms: float = math.inf
    deleted: bool = False

    def expires_at(self) -> float:
        """When its lifetime is over, in milliseconds; infinite where it never is."""
        return self.written_at + self.lifetime_ms

    def inactive_since(self) -> float:
        """Since when it is a tombstone or expired, in milliseconds; infinite where it never will be."""
        return self.written_at if self.deleted else self.expires_at()


class VectorComponent(NamedTuple):
    """A component of a version vector: all of that writer's writes up to a number were seen.

    Attributes:
        writer: The process.
        up_to: The number of the last write seen.
        written_at: When that one was written or last replaced, in milliseconds of the local clock.
    """

    writer: Writer
    up_to: int
    written_at: float


class Entry(NamedTuple):
    """What a replica holds of a key; without versions it only remembers what was there.

    Attributes:
        versions: Those that nobody who had seen them has replaced, in the order of their dots.
        version_vector: In the order of the writers.
    """

    versions: tuple[Version, ...] = ()
    version_vector: tuple[VectorComponent, ...] = ()

    @property
    def is_permanent(self) -> bool:
        """Whether it is one version without an end, and time changes nothing about it."""
        if len(self.versions) != 1 or len(self.version_vector) != 1:
            return False
        return not self.versions[0].deleted and self.versions[0].lifetime_ms == math.inf

    def has_seen(self, dot: Dot) -> bool:
        """Whether the version vector covers that write."""
        writer, count = dot
        return any(
            component.writer == writer and component.up_to >= count for component in self.version_vector
        )


def merge(local: Entry, remote: Entry) -> Entry:
    """Combine two entries of a key: a version stays where each side has it or has never seen it."""
    versions: dict[Dot, Version] = {}
    for entry, opposite in ((local, remote), (remote, local)):
        opposite_versions = {version.dot: version for version in opposite.versions}
        for version in entry.versions:
            same_write = opposite_versions.get(version.dot)
            if same_write is not None:
                # The younger: an age is received too old by up to a trip, never too young.
                is_younger = version.written_at >= same_write.written_at
                versions[version.dot] = version if is_younger else same_write
            elif not opposite.has_seen(version.dot):
                versions[version.dot] = version
    vector: dict[Writer, VectorComponent] = {}
    for component in (*local.version_vector, *remote.version_vector):
        known = vector.get(component.writer)
        if known is None or component[1:] > known[1:]:
            vector[component.writer] = component
    return Entry(
        tuple(versions[dot] for dot in sorted(versions)), tuple(vector[writer] for writer in sorted(vector))
    )


def with_write(entry: Entry, version: Version) -> Entry:
    """The entry after a write by somebody who had seen all of it."""
    writer, count = version.dot
    replaced_writers = {replaced.dot[0] for replaced in entry.versions}
    vector = {
        component.writer: component._replace(written_at=version.written_at)
        if component.writer in replaced_writers
        else component
        for component in entry.version_vector
    }
    vector[writer] = VectorComponent(writer, count, version.written_at)
    return Entry((version,), tuple(vector[key] for key in sorted(vector)))


def without_versions(entry: Entry, dots: set[Dot], now: float) -> Entry:
    """The entry without those versions: they count as seen, and as replaced from now on."""
    writers = {dot[0] for dot in dots}
    vector = tuple(
        component._replace(written_at=now) if component.writer in writers else component
        for component in entry.version_vector
    )
    return Entry(tuple(version for version in entry.versions if version.dot not in dots), vector)


def is_active(version: Version, now: float) -> bool:
    """Whether it is neither a tombstone nor expired at `now`, in milliseconds."""
    return not version.deleted and now < version.expires_at()


def by_precedence(type_name: str, entry: Entry, now: float) -> list[Version]:
    """The versions, the one that applies first; all processes choose the same."""
    return sorted(
        entry.versions,
        key=lambda version: (
            is_active(version, now),
            precedence(type_name, version.body, version.lifetime_ms),
            version.stamp,
            version.dot,
        ),
        reverse=True,
    )


def active_version(type_name: str, entry: Entry, now: float) -> Version | None:
    """The version that applies at `now`; None where it was deleted, has expired, or never was."""
    versions = by_precedence(type_name, entry, now)
    if versions and is_active(versions[0], now):
        return versions[0]
    return None
