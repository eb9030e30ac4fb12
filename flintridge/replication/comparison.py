"""The messages of a comparison of two replicas, which are requests with digests and snapshot chunks."""

from enum import IntEnum
from typing import NamedTuple

from flintridge.errors import FlintridgeError
from flintridge.replication.entry import Entry, Key, Writer

# For each writer, the number up to which all of its writes were received.
WriteCounts = tuple[tuple[Writer, int], ...]


class SyncState(IntEnum):
    """Whether a replica has synchronized since its process started."""

    UNSYNCHRONIZED = 0  # no comparison has begun yet
    SYNCHRONIZING = 1
    SYNCHRONIZED = 2  # it has all entries that some synchronized replica had


class IncompatibleDigestsError(FlintridgeError, ValueError):
    """The other replica divides its keys into a different number of buckets."""


class DigestRequest(NamedTuple):
    """Requests the buckets that differ.

    Attributes:
        digests: Digest of each bucket of the requester.
        cursor: First bucket to compare.
        number: Number of the comparison.
    """

    digests: tuple[int, ...]
    cursor: int
    number: int


class SnapshotChunk(NamedTuple):
    """All entries of the buckets that differ, from bucket `first` to the one before `end`.

    Attributes:
        number: Number of the comparison.
        first: First bucket that was compared.
        end: Bucket after the last one that was compared.
        source_synchronized: Whether the responding replica has synchronized.
        complete_up_to: For each writer, the number up to which the responding replica received all of its
            writes.
        entries: Keys with their entries.
        buckets: Buckets that differ, and whose entries the chunk contains.
    """

    number: int
    first: int
    end: int
    source_synchronized: bool
    complete_up_to: WriteCounts
    entries: tuple[tuple[Key, Entry], ...]
    buckets: tuple[int, ...] = ()


class Comparison(NamedTuple):
    """A comparison with one source that is in progress.

    Attributes:
        number: Number of the comparison.
        cursor: Next bucket to compare.
        source_synchronized: Whether the source had synchronized in all chunks so far.
        rejected_entries: Whether any entry of the source was rejected.
        complete_up_to: The `complete_up_to` of the source's first chunk; None before that chunk.
    """

    number: int
    cursor: int
    source_synchronized: bool = True
    rejected_entries: bool = False
    complete_up_to: WriteCounts | None = None

    def after(self, chunk: SnapshotChunk, rejected_entries: bool) -> "Comparison":
        """Return the comparison as it is once a chunk has been applied."""
        return Comparison(
            self.number,
            chunk.end,
            self.source_synchronized and chunk.source_synchronized,
            self.rejected_entries or rejected_entries,
            chunk.complete_up_to if self.complete_up_to is None else self.complete_up_to,
        )
