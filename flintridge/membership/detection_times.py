"""Maximum age of evidence and length of a suspicion, from the fleet's size and its byte budget."""

import math
from dataclasses import dataclass
from typing import Self

from flintridge.membership.probe_schedule import PROBE_INTERVAL_MS

MIN_MAX_AGE_MS = 4_000.0  # lower bound of the maximum age of evidence
GOSSIP_CYCLES = 16.0  # the maximum age also leaves time to receive the entries of all members this often
SUSPICION_MS = 1_500.0  # multiplied by the decimal logarithm of the fleet's size where that is over 1
# Bounds of the assumed number of gossip entries in a datagram, which depends on the byte budget.
MAX_TYPICAL_ENTRIES = 24.0
MIN_TYPICAL_ENTRIES = 4.0
BYTES_PER_S_PER_ENTRY = 330.0  # byte budget that allows one more entry in a datagram


@dataclass(slots=True, frozen=True)
class DetectionTimes:
    """The time limits of one node's failure detection, in milliseconds.

    Attributes:
        max_age_ms: Evidence older than this does not count.
        suspicion_ms: How long a suspicion lasts.
    """

    max_age_ms: float
    suspicion_ms: float

    @classmethod
    def for_fleet(cls, fleet_size: int, bytes_per_s: float) -> Self:
        """Compute the time limits of a node in a fleet.

        Args:
            fleet_size: Number of nodes, this one included.
            bytes_per_s: Bytes per second that a node may send in datagrams.
        """
        # Two kinds of datagrams bring gossip: acks of this node's own probes, and receipts for its acks.
        entries_per_probe = 2 * _typical_entries(bytes_per_s)
        gossip_ms = GOSSIP_CYCLES * PROBE_INTERVAL_MS * fleet_size / entries_per_probe
        return cls(
            max_age_ms=MIN_MAX_AGE_MS + gossip_ms,
            suspicion_ms=SUSPICION_MS * max(1.0, math.log10(fleet_size + 1)),
        )


def _typical_entries(bytes_per_s: float) -> float:
    """Typical number of gossip entries about others in a datagram, as the byte budget allows."""
    return min(MAX_TYPICAL_ENTRIES, max(MIN_TYPICAL_ENTRIES, bytes_per_s / BYTES_PER_S_PER_ENTRY))
