"""The parts of a state of replicating processes."""

from dataclasses import dataclass
from typing import NamedTuple

from flintridge.replication.comparison import SnapshotChunk
from flintridge.replication.entry import Dot, Entry, Key, Writer, is_active
from flintridge.replication.replica import Replica

KEY: Key = ("hold", "g")  # in the second bucket, so that a comparison takes two chunks
KnownWrites = frozenset[Dot]


@dataclass(slots=True, frozen=True)
class RemainingSteps:
    """How often each may still happen.

    Attributes:
        writes: A process writes.
        deletions: A process deletes.
        requests: A process requests the next chunk of a comparison.
        losses: A message is lost.
        duplicates: A message is duplicated.
        restarts: A process is killed and starts empty.
        partitions: A process is cut off from the others.
        ticks: Time advances.
        summaries: A process sends its digest, as it does with every datagram.
    """

    writes: int = 2
    deletions: int = 1
    requests: int = 1
    losses: int = 0
    duplicates: int = 0
    restarts: int = 0
    partitions: int = 0
    ticks: int = 0
    summaries: int = 0


class StartedComparison(NamedTuple):
    """What a comparison's source knew when it was started."""

    source: Writer
    known: KnownWrites
    is_sound: bool


class PastWrite(NamedTuple):
    """A write, what its writer knew before it, and whether it was a deletion."""

    dot: Dot
    known: KnownWrites
    is_deletion: bool


@dataclass(slots=True, frozen=True)
class ReplicaNode:
    """A process with its replica, and what an omniscient observer knows of it.

    Attributes:
        replica: Its replica.
        incarnation: How often it was restarted.
        known: The writes of which it was told.
        is_sound: Whether its state comes, over whatever others, from one that had synchronized.
        dropped: The writes that it knew and did not hold, at any time.
        has_just_compared: Whether it has just come to the end of a comparison.
        comparisons: What its sources knew, for each comparison that it has started.
    """

    replica: Replica
    incarnation: int = 0
    known: KnownWrites = frozenset()
    is_sound: bool = True
    dropped: KnownWrites = frozenset()
    has_just_compared: bool = False
    comparisons: tuple[StartedComparison, ...] = ()

    @property
    def name(self) -> str:
        """Its node."""
        return self.replica.writer[0]


class RootSummary(NamedTuple):
    """What a replica says of itself: its digest, whether it has synchronized, how much it has written."""

    root: int
    is_synchronized: bool
    write_count: int


@dataclass(slots=True, frozen=True)
class MessageInFlight:
    """A message on its way.

    Attributes:
        target: The index of the process to which it goes.
        source: The process that sent it.
        known: The writes of which it tells.
        content: What it says.
    """

    target: int
    source: Writer
    known: KnownWrites
    content: Entry | SnapshotChunk | RootSummary


def active_dots(replica: Replica, now: float) -> set[Dot]:
    """Return the writes that the replica holds at that time."""
    entry = replica.entries.get(KEY, Entry())
    return {version.dot for version in entry.versions if is_active(version, now)}
