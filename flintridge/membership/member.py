"""One process of a peer as this node knows it: its state, evidence that it was alive, and its datagrams."""

import math
from dataclasses import dataclass

from flintridge.membership.messages import GossipEntry, MemberState, ProcessId

SEQUENCE_WINDOW = 256  # how far behind the highest sequence number a datagram may arrive
NEVER = -math.inf
MAX_AGE_MS = float((1 << 40) - 1)  # highest age that a gossip entry can encode


@dataclass(slots=True, eq=False)
class Member:
    """A process, identified by name and incarnation. Times are float milliseconds of this node's clock.

    A process that restarts under its name, or runs beside another process of that name during an upgrade, is
    a separate member.
    """

    name: str
    incarnation: int
    refutations: int = 0
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    direct_alive_at: float = NEVER  # newest instant at which its own messages prove it alive
    indirect_alive_at: float = NEVER  # newest instant at which others' gossip entries prove it alive
    newest_sent_at: int = -1  # newest `sent_at` of its messages, by its clock; -1: none received
    newest_received_at: float = 0.0  # when the message with `newest_sent_at` was received
    # Shortest recent round trip, without the time that the echo waited at the peer; an upper bound.
    round_trip_ms: float | None = None
    gossiped_alive_at: float = NEVER  # the `last_alive_at` that was last queued for gossip
    remaining_transmissions: int = 0  # how many more messages shall carry its last state change
    pending_accusation: MemberState | None = None  # accusation that it has not been notified of yet
    reachable: bool = False  # as of the last reachability update
    highest_sequence: int = -1
    received_sequences: int = 0  # bitmap of the SEQUENCE_WINDOW numbers up to `highest_sequence`
    bytes_received: int = 0
    rejected: int = 0  # datagrams that were received before, or are too old to tell

    @property
    def process_id(self) -> ProcessId:
        """Name and incarnation of the process."""
        return ProcessId(self.name, self.incarnation)

    @property
    def last_alive_at(self) -> float:
        """The newest instant at which the process is proved to have been alive."""
        return max(self.direct_alive_at, self.indirect_alive_at)

    def accept_sequence(self, sequence: int) -> bool:
        """Record a datagram's sequence number; False if it was received before or is too old to tell.

        Guards against duplicated and replayed datagrams.
        """
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
        """Whether it has not failed or left, and is proved to have been alive at `threshold` or later."""
        return self.state < MemberState.FAILED and self.last_alive_at >= threshold

    def record_round_trip(self, sample_ms: float) -> None:
        """Lower the estimate to a shorter sample, or raise it by a tenth of the difference."""
        if self.round_trip_ms is None:
            self.round_trip_ms = sample_ms
        else:
            self.round_trip_ms = min(sample_ms, 0.9 * self.round_trip_ms + 0.1 * sample_ms)

    def gossip_entry(self, now: float, state: MemberState | None = None) -> GossipEntry:
        """Build the member's gossip entry at `now`; `state`, if given, replaces its own state."""
        age = min(now - self.last_alive_at, MAX_AGE_MS)
        entry_state = self.state if state is None else state
        return GossipEntry(self.name, self.incarnation, self.refutations, entry_state, math.ceil(age))
