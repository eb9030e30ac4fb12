"""Anti-entropy: when to compare this process's replica with another one, and with which."""

import math
from dataclasses import dataclass
from random import Random

from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Writer
from flintridge.replication.replica import Replica

# Time for which two replicas must differ before they are compared; writes in flight arrive in the meantime.
SETTLE_MS = 1_500.0
# Pause before the next comparison with a source that had nothing new, which may be so for a long time.
UNPRODUCTIVE_PAUSE_MS = 10_000.0
COMPARISON_PAUSE_MS = 1_000.0  # between two comparisons
STATUS_LIFETIME_MS = 30_000.0  # time for which the status of an unreachable peer is kept


@dataclass(slots=True)
class PeerStatus:
    """The status of its replica that a process last sent.

    Attributes:
        received_at: Time of the last message, in milliseconds.
        synchronized: Whether the replica has synchronized.
        differs_since: Time since which a comparison has been needed, in milliseconds; infinite if none is.
        not_before: Earliest time of the next comparison with the replica, in milliseconds.
    """

    received_at: float
    synchronized: bool
    differs_since: float = math.inf
    not_before: float = -math.inf


class ComparisonScheduler:
    """Chooses the sources of comparisons by the status that peers sent of their replicas."""

    def __init__(self, replica: Replica, rng: Random) -> None:
        """Create the scheduler for this process's `replica`."""
        self._replica = replica
        self._rng = rng
        self._peers: dict[Writer, PeerStatus] = {}
        self._next_at = -math.inf

    def receive_status(self, now: float, peer: Writer, synchronized: bool, differs: bool) -> None:
        """Record the status that a peer sent of its replica; `differs` is whether a comparison is needed."""
        status = self._peers.setdefault(peer, PeerStatus(now, synchronized))
        status.received_at = now
        status.synchronized = synchronized
        status.differs_since = min(status.differs_since, now) if differs else math.inf

    def choose_source(self, now: float, reachable: list[Writer]) -> Writer | None:
        """Choose the reachable process to compare with now; None if no comparison is due."""
        if now < self._next_at:
            return None
        reachable_set = set(reachable)
        self._forget_unreachable(now, reachable_set)
        is_synchronized = self._replica.sync_state is SyncState.SYNCHRONIZED
        settle_ms = SETTLE_MS if is_synchronized else 0.0
        due = [
            peer
            for peer, status in self._peers.items()
            if peer in reachable_set and now >= status.differs_since + settle_ms and now >= status.not_before
        ]
        synchronized = [peer for peer in due if self._peers[peer].synchronized]
        if not synchronized and is_synchronized:
            # The peers that have not synchronized are still fetching entries, possibly from here. They are
            # compared once they have synchronized.
            return None
        candidates = synchronized or due
        return self._rng.choice(sorted(candidates)) if candidates else None

    def _forget_unreachable(self, now: float, reachable: set[Writer]) -> None:
        for peer in [peer for peer in self._peers if peer not in reachable]:
            if now > self._peers[peer].received_at + STATUS_LIFETIME_MS:
                del self._peers[peer]

    def finish(self, now: float, peer: Writer, was_productive: bool) -> None:
        """Record the end of a comparison with a peer; `was_productive` is whether it changed the replica."""
        self._next_at = now + COMPARISON_PAUSE_MS * self._rng.uniform(0.5, 1.5)
        status = self._peers.get(peer)
        if status is None:
            return
        status.differs_since = math.inf
        # Prevents endless comparisons if it is the other replica that lacks entries, or rejects them.
        pause_ms = 0.0 if was_productive else UNPRODUCTIVE_PAUSE_MS * self._rng.uniform(0.8, 1.2)
        status.not_before = now + pause_ms
