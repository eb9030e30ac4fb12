"""What is known of one process of a peer: its state, the evidence that it was alive, and its datagrams."""

import math
from dataclasses import dataclass

from flintridge.membership.messages import GossipEntry, MemberState, ProcessId

SEQUENCE_WINDOW = 256  # sequence numbers of a process that may be received out of order
NEVER = -math.inf
MAX_AGE_MS = float((1 << 40) - 1)  # that an entry can carry


@dataclass(slots=True, eq=False)
class Member:
    """A process, known by name and incarnation. Times are float milliseconds of this node's clock.

    A process that starts anew under its name, or runs beside another of the name in an upgrade, is a member
    of its own.
    """

    name: str
    incarnation: int
    refutations: int = 0
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    direct_alive_at: float = NEVER  # it is proved to have been alive then, by its own messages
    indirect_alive_at: float = NEVER  # the same, by others' gossip entries
    newest_sent_at: int = -1  # of its messages, by its own clock; -1: none received
    newest_received_at: float = 0.0  # when that one was received
    # The shortest of late: an upper bound, as the time that the echo waited there is taken off.
    round_trip_ms: float | None = None
    gossiped_alive_at: float = NEVER  # the `last_alive_at` that was last queued for gossip
    remaining_transmissions: int = 0  # messages that shall still carry its last change
    pending_accusation: MemberState | None = None  # the accusation of which it is still to be notified
    reachable: bool = False  # at the last update
    highest_sequence: int = -1
    received_sequences: int = 0  # a bit for each of the SEQUENCE_WINDOW numbers up to the highest
    bytes_received: int = 0
    rejected: int = 0  # datagrams that were received before, or may have been

    @property
    def process_id(self) -> ProcessId:
        """Its name and incarnation."""
        return ProcessId(self.name, self.incarnation)

    @property
    def last_alive_at(self) -> float:
        """The newest instant at which it is proved to have been alive."""
        return max(self.direct_alive_at, self.indirect_alive_at)

    def accept_sequence(self, sequence: int) -> bool:
        """Whether a datagram of that number is the first, and recent. Guards against doubles and replays."""
        ahead = sequence - self.highest_sequence
        if ahead > 0:
            shifted = self.received_sequences << min(ahead, SEQUENCE_WINDOW)
            self.received_sequences = (shifted | 1) & ((1 << SEQUENCE_WINDOW) - 1)
            self.highest_sequence = sequence
            return True
        if -ahead >= SEQUENCE_WINDOW or self.received_sequences >> -ahead & 1:
            return False
        self.received_sequences |= 1 << -ahead
        return True

    def is_alive_since(self, threshold: float) -> bool:
        """Whether it is not given up, and is proved to have been alive at `threshold` or later."""
        return self.state < MemberState.FAILED and self.last_alive_at >= threshold

    def record_round_trip(self, sample_ms: float) -> None:
        """Lower the estimate at once, or raise it by a tenth of the difference."""
        if self.round_trip_ms is None:
            self.round_trip_ms = sample_ms
        else:
            self.round_trip_ms = min(sample_ms, 0.9 * self.round_trip_ms + 0.1 * sample_ms)

    def gossip_entry(self, now: float, state: MemberState | None = None) -> GossipEntry:
        """The gossip entry on it at `now`; of `state` instead of its own where one is given."""
        age = min(now - self.last_alive_at, MAX_AGE_MS)
        entry_state = self.state if state is None else state
        return GossipEntry(self.name, self.incarnation, self.refutations, entry_state, math.ceil(age))
