"""What has to hold of replicating processes, by who wrote what after having seen what, and who was told."""

import itertools
from collections.abc import Sequence

from flintridge.lab.explore.replica_model import KnownWrites, PastWrite, ReplicaNode, active_dots
from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Dot
from flintridge.replication.replica import Replica


class ReplicaInvariants:
    """The invariants of one state."""

    def __init__(
        self, processes: Sequence[ReplicaNode], writes: Sequence[PastWrite], now: float, has_ticked: bool
    ) -> None:
        """Take a state.

        Args:
            processes: All of them.
            writes: All that there were.
            now: The time, by all clocks.
            has_ticked: Whether time has advanced since the start, so that tombstones may have expired.
        """
        self._processes = processes
        self._writes = writes
        self._now = now
        self._has_ticked = has_ticked

    def violated(self) -> str:
        """Return which invariant does not hold now, or once nothing fails any more; empty where all do."""
        for process in self._processes:
            violation = self._violated_by(process)
            if violation:
                return violation
        return self._violated_after_convergence()

    def _required(self, known: KnownWrites) -> set[Dot]:
        """Return which of these writes apply: those that no writer of one of them had seen."""
        seen: set[Dot] = set()
        for write in self._writes:
            if write.dot in known:
                seen |= write.known
        return {
            write.dot
            for write in self._writes
            if write.dot in known and write.dot not in seen and not write.is_deletion
        }

    def _violated_by(self, process: ReplicaNode) -> str:
        required = self._required(process.known)
        held = active_dots(process.replica, self._now)
        # A process that was partitioned may hold a version beside one that was replaced and forgotten, until
        # it has compared.
        has_to_be_exact = not self._has_ticked or process.has_just_compared
        is_inexact = has_to_be_exact and held != required
        if is_inexact or not required <= held or held & process.dropped:
            return f"{process.name} holds {sorted(held)}; by what it was told {sorted(required)}"
        if process.replica.sync_state is SyncState.SYNCHRONIZED and not process.is_sound:
            return f"{process.name} says that it has caught up, with one that had not"
        return ""

    def _violated_after_convergence(self) -> str:
        """Check what all hold once nothing fails any more and each has compared with each."""
        replicas = [process.replica.clone() for process in self._processes]
        for replica in replicas:
            replica.comparisons.clear()
        for _ in range(2):
            for replica, source in itertools.permutations(replicas, 2):
                if replica.digests != source.digests:
                    self._synchronize(replica, source)
        known: KnownWrites = frozenset().union(*(process.known for process in self._processes))
        required = self._required(known)
        for replica in replicas:
            replica.expire(self._now)  # one may remember a tombstone for longer than the others
            held = active_dots(replica, self._now)
            if held != required:
                return (
                    f"after all is well {replica.writer[0]} holds {sorted(held)} and not {sorted(required)}"
                )
        if len({tuple(replica.digests) for replica in replicas}) > 1:
            return "the copies differ after all is well"
        return ""

    def _synchronize(self, replica: Replica, source: Replica) -> None:
        is_complete = False
        while not is_complete:
            chunk = source.make_chunk(replica.next_request(source.writer))
            is_complete = replica.apply_chunk(self._now, source.writer, chunk)
