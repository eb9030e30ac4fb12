"""What two replicas exchange when they compare themselves: requests by digest, and snapshot chunks."""

from enum import IntEnum
from typing import NamedTuple

from flintridge.errors import FlintridgeError
from flintridge.replication.entry import Entry, Key, Writer

WriteCounts = tuple[tuple[Writer, int], ...]  # of each writer, up to which of its writes all were received


class SyncState(IntEnum):
    """Whether a replica has synchronized since its process started."""

    UNSYNCHRONIZED = 0  # no comparison has begun yet
    SYNCHRONIZING = 1
    SYNCHRONIZED = 2  # it has all that some replica held that had itself synchronized


class IncompatibleDigestsError(FlintridgeError, ValueError):
    """The other replica divides its keys into another number of buckets."""


class DigestRequest(NamedTuple):
    """Asks for the buckets that differ.

    Attributes:
        digests: One for each bucket of the requester.
        cursor: The bucket to begin with.
        number: Of the comparison.
    """

    digests: tuple[int, ...]
    cursor: int
    number: int


class SnapshotChunk(NamedTuple):
    """All entries of those buckets from `first` to `end` that differ.

    Attributes:
        number: Of the comparison.
        first: The first bucket that was compared.
        end: The bucket after the last one that was compared.
        source_synchronized: Whether the responding replica has synchronized.
        complete_up_to: Of each writer, up to which of its writes the responding replica received all.
        entries: Keys with their entries.
        buckets: Those that the chunk contains.
    """

    number: int
    first: int
    end: int
    source_synchronized: bool
    complete_up_to: WriteCounts
    entries: tuple[tuple[Key, Entry], ...]
    buckets: tuple[int, ...] = ()


class Comparison(NamedTuple):
    """A comparison with one source that is under way.

    Attributes:
        number: Of the comparison.
        cursor: The bucket to go on with.
        source_synchronized: Whether the source had synchronized in all chunks so far.
        rejected_entries: Whether an entry of it was not accepted.
        complete_up_to: The source's at the first chunk; None before.
    """

    number: int
    cursor: int
    source_synchronized: bool = True
    rejected_entries: bool = False
    complete_up_to: WriteCounts | None = None

    def after(self, chunk: SnapshotChunk, rejected_entries: bool) -> "Comparison":
        """The comparison once that chunk is applied."""
        return Comparison(
            self.number,
            chunk.end,
            self.source_synchronized and chunk.source_synchronized,
            self.rejected_entries or rejected_entries,
            chunk.complete_up_to if self.complete_up_to is None else self.complete_up_to,
        )
