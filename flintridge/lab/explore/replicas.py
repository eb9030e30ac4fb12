"""A few processes with replicas of one key, over links that lose, duplicate and delay, and may be cut.

The invariants follow from the causal order of the writes, and from which process has received which writes.
They state what each replica has to hold at all times, and what all replicas have to hold after the faults
have ended. All clocks advance by one unit in a tick; tombstones are kept for one and a half units.
"""

import itertools
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Self

from flintridge.lab.explore.replica_canonical import CanonicalForm
from flintridge.lab.explore.replica_invariants import ReplicaInvariants
from flintridge.lab.explore.replica_model import (
    KEY,
    MessageInFlight,
    PastWrite,
    RemainingSteps,
    ReplicaNode,
    RootSummary,
    StartedComparison,
    active_dots,
)
from flintridge.replication.comparison import SnapshotChunk, SyncState
from flintridge.replication.entry import Entry, Writer
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica

__all__ = ["RemainingSteps", "ReplicationState"]

NODE_NAMES = "abc"
LIMITS = ReplicaLimits(tombstone_ms=1.5, sync_wait_ms=float("inf"), bucket_count=2)
STARTED_AT = 100.0
TICK = 1.0

ReplicaBuilder = Callable[[Writer, ReplicaLimits, float], Replica]


@dataclass(slots=True, frozen=True)
class ReplicationState:
    """A state of the processes and of the messages between them.

    Attributes:
        processes: The processes.
        remaining: How often each kind of step may still occur.
        now: The time by all clocks.
        messages: The messages in flight.
        writes: All writes until now.
        isolated: The index of the process that is cut off from the others; None if none is.
        build: Builds each process's replica; a test passes a defective type here.
    """

    processes: tuple[ReplicaNode, ...]
    remaining: RemainingSteps
    now: float = STARTED_AT
    messages: tuple[MessageInFlight, ...] = ()
    writes: tuple[PastWrite, ...] = ()
    isolated: int | None = None
    build: ReplicaBuilder = Replica

    @classmethod
    def begin(
        cls,
        size: int,
        remaining: RemainingSteps,
        build: ReplicaBuilder = Replica,
        has_initial_entry: bool = False,
    ) -> Self:
        """Build the initial state.

        Args:
            size: The number of processes; all of them are synchronized.
            remaining: How often each kind of step may occur.
            build: Builds each process's replica; a test passes a defective type here.
            has_initial_entry: Whether all replicas hold an entry that the first process has written.
        """
        replicas = [build((NODE_NAMES[index], 0), LIMITS, STARTED_AT) for index in range(size)]
        for replica in replicas:
            replica.mark_synchronized()
        processes = tuple(ReplicaNode(replica) for replica in replicas)
        state = cls(processes, remaining, build=build)
        if not has_initial_entry:
            return state
        state = state._write(0, is_deletion=False)
        for message in state.messages:
            state = state._receive(message)
        for process in state.processes:
            process.replica.complete_up_to[replicas[0].writer] = 1
        return replace(state, messages=(), remaining=remaining)

    # Transitions

    def transitions(self) -> Iterator[tuple[str, Self]]:
        """See `State.transitions`."""
        if self.remaining.ticks:
            yield "time advances", self._tick()
        if self.isolated is not None:
            yield "the partition heals", replace(self, isolated=None)
        for index in range(len(self.processes)):
            yield from self._process_transitions(index)
            yield from self._pair_transitions(index)
        for message in dict.fromkeys(self.messages):
            yield from self._message_transitions(message)

    def _process_transitions(self, index: int) -> Iterator[tuple[str, Self]]:
        remaining = self.remaining
        process = self.processes[index]
        if remaining.writes:
            yield f"{process.name} writes", self._write(index, is_deletion=False)
        if remaining.deletions and process.replica.active_version(KEY, self.now) is not None:
            yield f"{process.name} deletes", self._write(index, is_deletion=True)
        if remaining.restarts:
            yield f"{process.name} is killed and restarted with an empty replica", self._restart(index)
        if remaining.partitions and self.isolated is None:
            partitioned = replace(
                self, isolated=index, remaining=replace(remaining, partitions=remaining.partitions - 1)
            )
            yield f"{process.name} is cut off from the others", partitioned

    def _pair_transitions(self, index: int) -> Iterator[tuple[str, Self]]:
        name = self.processes[index].name
        is_busy = any(
            isinstance(message.content, SnapshotChunk) and message.target == index
            for message in self.messages
        )
        for peer_index, peer in enumerate(self.processes):
            if peer_index == index or not self._is_connected(index, peer_index):
                continue
            if self.remaining.summaries:
                yield f"{name} sends its root digest to {peer.name}", self._send_summary(index, peer_index)
            if self.remaining.requests and not is_busy:
                yield f"{name} requests a chunk from {peer.name}", self._request(index, peer_index)

    def _message_transitions(self, message: MessageInFlight) -> Iterator[tuple[str, Self]]:
        remaining = self.remaining
        source_name = message.source[0]
        target_name = self.processes[message.target].name
        description = f"{type(message.content).__name__} from {source_name} to {target_name}"
        source = next(index for index, process in enumerate(self.processes) if process.name == source_name)
        if self._is_connected(source, message.target):
            yield f"{description} arrives", self._without(message)._receive(message)
        if remaining.losses:
            lost = replace(self._without(message), remaining=replace(remaining, losses=remaining.losses - 1))
            yield f"{description} is lost", lost
        if remaining.duplicates:
            duplicated = replace(
                self,
                messages=(*self.messages, message),
                remaining=replace(remaining, duplicates=remaining.duplicates - 1),
            )
            yield f"{description} is duplicated", duplicated

    def _is_connected(self, index: int, peer_index: int) -> bool:
        return self.isolated not in (index, peer_index)

    def _write(self, index: int, is_deletion: bool) -> Self:
        process = self.processes[index]
        remaining = self.remaining
        replica = process.replica.clone()
        dot = replica.write(self.now, KEY, b"", "", "", deleted=is_deletion).dot
        known = process.known | {dot}
        messages = tuple(
            MessageInFlight(peer_index, replica.writer, known, replica.entries[KEY])
            for peer_index in range(len(self.processes))
            if peer_index != index and self._is_connected(index, peer_index)
        )
        if is_deletion:
            remaining = replace(remaining, deletions=remaining.deletions - 1)
        else:
            remaining = replace(remaining, writes=remaining.writes - 1)
        written = self._with_process(
            index, replace(process, replica=replica, known=known, has_just_compared=False)
        )
        return replace(
            written,
            writes=(*self.writes, PastWrite(dot, process.known, is_deletion)),
            remaining=remaining,
            messages=(*self.messages, *messages),
        )

    def _restart(self, index: int) -> Self:
        previous = self.processes[index]
        incarnation = previous.incarnation + 1
        replica = self.build((previous.name, incarnation), LIMITS, self.now)
        state = replace(
            self,
            messages=tuple(message for message in self.messages if message.target != index),
            remaining=replace(self.remaining, restarts=self.remaining.restarts - 1),
        )
        return state._with_process(index, ReplicaNode(replica, incarnation, is_sound=False))

    def _request(self, index: int, source_index: int) -> Self:
        """Request a chunk; the response is in flight immediately, as requests are not modeled as messages."""
        process = self.processes[index]
        source = self.processes[source_index]
        writer = source.replica.writer
        replica = process.replica.clone()
        is_new = writer not in replica.comparisons
        request = replica.next_request(writer)
        comparisons = process.comparisons
        if is_new:
            of_other_sources = tuple(comparison for comparison in comparisons if comparison.source != writer)
            comparisons = (*of_other_sources, StartedComparison(writer, source.known, source.is_sound))
        chunk = source.replica.make_chunk(request, max_bytes=0)
        known = source.known if chunk.buckets else frozenset()
        state = self._with_process(index, replace(process, replica=replica, comparisons=comparisons))
        return replace(
            state,
            messages=(*self.messages, MessageInFlight(index, writer, known, chunk)),
            remaining=replace(self.remaining, requests=self.remaining.requests - 1),
        )

    def _send_summary(self, index: int, target: int) -> Self:
        process = self.processes[index]
        replica = process.replica
        is_synchronized = replica.sync_state is SyncState.SYNCHRONIZED
        summary = RootSummary(replica.root(), is_synchronized, replica.write_count)
        message = MessageInFlight(target, replica.writer, process.known, summary)
        remaining = replace(self.remaining, summaries=self.remaining.summaries - 1)
        return replace(self, messages=(*self.messages, message), remaining=remaining)

    def _receive(self, message: MessageInFlight) -> Self:
        process = self.processes[message.target]
        replica = process.replica.clone()
        content = message.content
        received = replace(process, replica=replica, has_just_compared=False)
        if isinstance(content, Entry):
            replica.receive(self.now, KEY, content)
            received = replace(received, known=process.known | message.known)
        elif isinstance(content, RootSummary):
            if replica.root() == content.root:
                received = replace(received, known=process.known | message.known)
            replica.receive_root(
                self.now, message.source, content.root, content.is_synchronized, content.write_count
            )
        else:
            received = self._receive_chunk(received, message, content)
        return self._with_process(message.target, received)

    def _receive_chunk(
        self, process: ReplicaNode, message: MessageInFlight, chunk: SnapshotChunk
    ) -> ReplicaNode:
        """Apply a chunk to the replica of `process`, and return the process with its updated knowledge."""
        replica = process.replica
        out_of_order = replica.counts["chunks_out_of_order"]
        is_complete = replica.apply_chunk(self.now, message.source, chunk)
        known = process.known
        is_sound = process.is_sound
        if replica.counts["chunks_out_of_order"] == out_of_order:
            known |= message.known
        if is_complete:
            started = next(
                comparison for comparison in process.comparisons if comparison.source == message.source
            )
            known |= started.known
            is_sound = is_sound or started.is_sound
        return replace(process, known=known, is_sound=is_sound, has_just_compared=is_complete)

    def _tick(self) -> Self:
        now = self.now + TICK
        processes = []
        for process in self.processes:
            replica = process.replica.clone()
            replica.expire(now)
            processes.append(replace(process, replica=replica))
        remaining = replace(self.remaining, ticks=self.remaining.ticks - 1)
        return replace(self, now=now, processes=tuple(processes), remaining=remaining)

    def _with_process(self, index: int, process: ReplicaNode) -> Self:
        dropped = process.dropped | (process.known - active_dots(process.replica, self.now))
        process = replace(process, dropped=dropped)
        return replace(self, processes=(*self.processes[:index], process, *self.processes[index + 1 :]))

    def _without(self, message: MessageInFlight) -> Self:
        index = self.messages.index(message)
        return replace(self, messages=self.messages[:index] + self.messages[index + 1 :])

    # Invariants and symmetry

    def violated_invariant(self) -> str:
        """See `State.violated_invariant`."""
        has_ticked = self.now != STARTED_AT
        return ReplicaInvariants(self.processes, self.writes, self.now, has_ticked).violated()

    def canonical_key(self) -> Hashable:
        """See `State.canonical_key`; the key is the smallest form over all numberings of the processes."""
        orders = itertools.permutations(range(len(self.processes)))
        canonical = min(
            CanonicalForm(self.processes, order, self.now).text(self.messages, self.writes, self.isolated)
            for order in orders
        )
        return canonical, self.remaining
