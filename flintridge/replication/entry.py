"""One key of the replicated map: its concurrent versions, and a version vector of all writes it has seen.

`merge` is commutative, associative and idempotent. Its result depends on which writer had seen which write,
never on the order in which messages arrive or on the time of day. Stamps only put versions in an order that
all processes share.
"""

import math
from typing import NamedTuple

from flintridge.replication.value_types import precedence

# Plain tuples, because digests hash their `repr` and are compared between nodes of different releases.
Writer = tuple[str, int]  # a process: its node's name, and its incarnation, which keeps each dot unique
Dot = tuple[Writer, int]  # one write: its writer, and its number among that writer's writes
Key = tuple[str, str]  # the entry's type and name


class Version(NamedTuple):
    """One write of a key.

    Attributes:
        dot: Identifies the write.
        written_at: Time of the write, in milliseconds of the local clock; messages contain it as an age.
        stamp: Stamp of the write by the writer's hybrid logical clock.
        body: The encoded value; see `value_types`.
        author: Author of the write.
        reason: Reason for the write, in the author's words.
        lifetime_ms: Time for which the version is active, from `written_at` on.
        deleted: Whether the version is a tombstone.
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
        """End of the lifetime, in milliseconds; infinite if the version never expires."""
        return self.written_at + self.lifetime_ms

    def inactive_since(self) -> float:
        """Time since which it is a tombstone or expired, in milliseconds; infinite if it never will be."""
        return self.written_at if self.deleted else self.expires_at()


class VectorComponent(NamedTuple):
    """A component of a version vector: all of a writer's writes up to a number were seen.

    Attributes:
        writer: The process that made the writes.
        up_to: Number of the last write that was seen.
        written_at: Time at which that write was made or last replaced, in milliseconds of the local clock.
    """

    writer: Writer
    up_to: int
    written_at: float


class Entry(NamedTuple):
    """The content of a replica for one key. Without versions, it only records which writes were seen.

    Attributes:
        versions: Versions that were not replaced by a writer who had seen them, in the order of their dots.
        version_vector: Components of the version vector, in the order of their writers.
    """

    versions: tuple[Version, ...] = ()
    version_vector: tuple[VectorComponent, ...] = ()

    @property
    def is_permanent(self) -> bool:
        """Whether time does not change the entry: it is a single version that never expires."""
        if len(self.versions) != 1 or len(self.version_vector) != 1:
            return False
        return not self.versions[0].deleted and self.versions[0].lifetime_ms == math.inf

    def has_seen(self, dot: Dot) -> bool:
        """Whether the version vector covers a write."""
        writer, count = dot
        return any(
            component.writer == writer and component.up_to >= count for component in self.version_vector
        )


def merge(local: Entry, remote: Entry) -> Entry:
    """Combine two entries of a key: a version remains if each side has it or has never seen it."""
    versions: dict[Dot, Version] = {}
    for entry, opposite in ((local, remote), (remote, local)):
        opposite_versions = {version.dot: version for version in opposite.versions}
        for version in entry.versions:
            same_write = opposite_versions.get(version.dot)
            if same_write is not None:
                # Keep the younger one: a received age is too high by up to the transit time, never too low.
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
    """Return the entry after a write whose writer had seen all of the entry."""
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
    """Return the entry without some versions, which then count as seen and as replaced at `now`."""
    writers = {dot[0] for dot in dots}
    vector = tuple(
        component._replace(written_at=now) if component.writer in writers else component
        for component in entry.version_vector
    )
    return Entry(tuple(version for version in entry.versions if version.dot not in dots), vector)


def is_active(version: Version, now: float) -> bool:
    """Whether a version is neither a tombstone nor expired at `now`, in milliseconds."""
    return not version.deleted and now < version.expires_at()


def by_precedence(type_name: str, entry: Entry, now: float) -> list[Version]:
    """Sort the versions by precedence, with the one that applies first; all processes choose the same."""
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
    """The version that applies at `now`; None if it was deleted, has expired or never existed."""
    versions = by_precedence(type_name, entry, now)
    if versions and is_active(versions[0], now):
        return versions[0]
    return None
