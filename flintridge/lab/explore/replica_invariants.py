"""The invariants of replicating processes.

They follow from the causal order of the writes, and from which process has received which writes.
"""

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
        """Create the invariants of a state.

        Args:
            processes: The processes.
            writes: All writes until now.
            now: The time by all clocks.
            has_ticked: Whether time has advanced since the start, so that tombstones may have expired.
        """
        self._processes = processes
        self._writes = writes
        self._now = now
        self._has_ticked = has_ticked

    def violated(self) -> str:
        """Return a sentence on an invariant that does not hold; empty if all hold.

        Some invariants have to hold now, others after all faults have ended and the replicas have converged.
        """
        for process in self._processes:
            violation = self._violated_by(process)
            if violation:
                return violation
        return self._violated_after_convergence()

    def _required(self, known: KnownWrites) -> set[Dot]:
        """Return the writes in `known` that must be active.

        These are the writes, other than deletions, that no write in `known` has replaced or deleted. A write
        replaces all earlier ones that its writer knew of.
        """
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
        # After a partition, a process may hold a replaced version whose replacement is forgotten, in addition
        # to the required ones, until it has completed a comparison.
        has_to_be_exact = not self._has_ticked or process.has_just_compared
        is_inexact = has_to_be_exact and held != required
        if is_inexact or not required <= held or held & process.dropped:
            return f"{process.name} holds {sorted(held)}; the writes it knows of require {sorted(required)}"
        if process.replica.sync_state is SyncState.SYNCHRONIZED and not process.is_sound:
            return f"{process.name} is synchronized, but its source was not"
        return ""

    def _violated_after_convergence(self) -> str:
        """Check the replicas after all faults have ended and each has been compared with each other one."""
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
            replica.expire(self._now)  # otherwise one could keep a tombstone that the others have removed
            held = active_dots(replica, self._now)
            if held != required:
                return f"after convergence {replica.writer[0]} holds {sorted(held)}, not {sorted(required)}"
        if len({tuple(replica.digests) for replica in replicas}) > 1:
            return "the replicas differ after convergence"
        return ""

    def _synchronize(self, replica: Replica, source: Replica) -> None:
        is_complete = False
        while not is_complete:
            chunk = source.make_chunk(replica.next_request(source.writer))
            is_complete = replica.apply_chunk(self._now, source.writer, chunk)
