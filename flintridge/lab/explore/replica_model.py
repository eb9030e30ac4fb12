"""The data types that make up a state of replicating processes."""

from dataclasses import dataclass
from typing import NamedTuple

from flintridge.replication.comparison import SnapshotChunk
from flintridge.replication.entry import Dot, Entry, Key, Writer, is_active
from flintridge.replication.replica import Replica

KEY: Key = ("hold", "g")  # in the second bucket, so that a comparison takes two chunks
KnownWrites = frozenset[Dot]


@dataclass(slots=True, frozen=True)
class RemainingSteps:
    """How often each kind of step may still occur, which keeps the number of states finite.

    Attributes:
        writes: A process writes the entry.
        deletions: A process deletes the entry.
        requests: A process requests the next chunk of a comparison.
        losses: A message is lost.
        duplicates: A message is duplicated.
        restarts: A process is killed and restarted with an empty replica.
        partitions: A process is cut off from the others.
        ticks: Time advances by one tick.
        summaries: A process sends its root digest, as nodes do in every datagram.
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
    """The knowledge of a comparison's source at the start of the comparison.

    Attributes:
        source: The source's writer.
        known: The writes that the source knew of.
        is_sound: The source's `ReplicaNode.is_sound`.
    """

    source: Writer
    known: KnownWrites
    is_sound: bool


class PastWrite(NamedTuple):
    """A write that has been made.

    Attributes:
        dot: The dot of the write.
        known: The earlier writes that the writing process knew of.
        is_deletion: Whether it deleted the entry.
    """

    dot: Dot
    known: KnownWrites
    is_deletion: bool


@dataclass(slots=True, frozen=True)
class ReplicaNode:
    """A process with its replica, and what an observer of the whole system knows of the process.

    Attributes:
        replica: The replica of the process.
        incarnation: The number of times the node was restarted.
        known: The writes that the process has received or made.
        is_sound: Whether the replica was synchronized in the initial state, or has completed a comparison
            with a source that was sound when the comparison was started.
        dropped: The writes that the process knew of but did not hold as active at some time.
        has_just_compared: Whether the process has neither written nor received anything since it completed a
            comparison.
        comparisons: The sources' knowledge, for the last comparison that was started with each source.
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
        """The name of the node."""
        return self.replica.writer[0]


class RootSummary(NamedTuple):
    """The summary that a replica sends of itself.

    Attributes:
        root: The root digest of the replica.
        is_synchronized: Whether the replica has synchronized.
        write_count: The number of writes that its process has made.
    """

    root: int
    is_synchronized: bool
    write_count: int


@dataclass(slots=True, frozen=True)
class MessageInFlight:
    """A message that has been sent and has not arrived yet.

    Attributes:
        target: The index of the process that it is sent to.
        source: The writer of the process that sent it.
        known: The writes that the message conveys to the recipient.
        content: The content of the message.
    """

    target: int
    source: Writer
    known: KnownWrites
    content: Entry | SnapshotChunk | RootSummary


def active_dots(replica: Replica, now: float) -> set[Dot]:
    """Return the dots of the versions that are active in the replica at `now`."""
    entry = replica.entries.get(KEY, Entry())
    return {version.dot for version in entry.versions if is_active(version, now)}
