"""Anti-entropy: when to compare this process's replica with another one, and with which."""

import math
from dataclasses import dataclass
from random import Random

from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Writer
from flintridge.replication.replica import Replica

SETTLE_MS = 1_500.0  # for which two replicas differ before one asks: what is on its way arrives meanwhile
UNPRODUCTIVE_PAUSE_MS = 10_000.0  # before one is asked again that had nothing new, as that may go on for long
COMPARISON_PAUSE_MS = 1_000.0  # between two comparisons
STATUS_LIFETIME_MS = 30_000.0  # for which a peer's message counts


@dataclass(slots=True)
class PeerStatus:
    """What a process last sent of its replica.

    Attributes:
        received_at: When, in milliseconds.
        synchronized: Whether it has synchronized.
        differs_since: Since when it holds something else than the local one; infinite where it does not.
        not_before: When it may be asked, in milliseconds.
    """

    received_at: float
    synchronized: bool
    differs_since: float = math.inf
    not_before: float = -math.inf


class ComparisonScheduler:
    """Chooses the sources of comparisons by what peers sent of their replicas."""

    def __init__(self, replica: Replica, rng: Random) -> None:
        """`replica`: this process's."""
        self._replica = replica
        self._rng = rng
        self._peers: dict[Writer, PeerStatus] = {}
        self._next_at = -math.inf

    def receive_status(self, now: float, peer: Writer, synchronized: bool, differs: bool) -> None:
        """Take in what a peer sent of its replica, and whether that calls for a comparison."""
        status = self._peers.setdefault(peer, PeerStatus(now, synchronized))
        status.received_at = now
        status.synchronized = synchronized
        status.differs_since = min(status.differs_since, now) if differs else math.inf

    def choose_source(self, now: float, reachable: list[Writer]) -> Writer | None:
        """Which of the reachable processes to compare with now; None where none is due."""
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
            # What the others hold in part is what they take from here just now; later they have synchronized.
            return None
        candidates = synchronized or due
        return self._rng.choice(sorted(candidates)) if candidates else None

    def _forget_unreachable(self, now: float, reachable: set[Writer]) -> None:
        for peer in [peer for peer in self._peers if peer not in reachable]:
            if now > self._peers[peer].received_at + STATUS_LIFETIME_MS:
                del self._peers[peer]

    def finish(self, now: float, peer: Writer, was_productive: bool) -> None:
        """A comparison with that peer is over; `was_productive` where it changed the replica."""
        self._next_at = now + COMPARISON_PAUSE_MS * self._rng.uniform(0.5, 1.5)
        status = self._peers.get(peer)
        if status is None:
            return
        status.differs_since = math.inf
        # Guards against asking for ever where it is the other side that lacks something, or rejects it.
        pause_ms = 0.0 if was_productive else UNPRODUCTIVE_PAUSE_MS * self._rng.uniform(0.8, 1.2)
        status.not_before = now + pause_ms
