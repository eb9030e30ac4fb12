"""How old evidence of a member may be, and how long a suspicion lasts, by the fleet's size and its bytes."""

import math
from dataclasses import dataclass
from typing import Self

from flintridge.membership.probe_schedule import PROBE_INTERVAL_MS

MIN_MAX_AGE_MS = 4_000.0  # evidence older than this does not count, at the least
GOSSIP_CYCLES = 16.0  # and not before entries of all members could have been received so often
SUSPICION_MS = 1_500.0  # times the decimal log of the fleet's size where that is over 1
TYPICAL_ENTRIES = 24.0  # of a datagram, at the most, where bytes allow
MIN_TYPICAL_ENTRIES = 4.0
BYTES_PER_S_AN_ENTRY = 330.0  # bytes a second for each entry that a datagram can then have


@dataclass(slots=True, frozen=True)
class DetectionTimes:
    """The times of one node's failure detection, in milliseconds.

    Attributes:
        max_age_ms: Older evidence does not count.
        suspicion_ms: How long a suspicion lasts.
    """

    max_age_ms: float
    suspicion_ms: float

    @classmethod
    def for_fleet(cls, fleet_size: int, bytes_per_s: float) -> Self:
        """The times of a node in a fleet.

        Args:
            fleet_size: Nodes, this one included.
            bytes_per_s: That a node may send in datagrams.
        """
        # With gossip come the acks of one's own probes, and the receipts for one's acks.
        entries_per_probe = 2 * _typical_entries(bytes_per_s)
        gossip_ms = GOSSIP_CYCLES * PROBE_INTERVAL_MS * fleet_size / entries_per_probe
        return cls(
            max_age_ms=MIN_MAX_AGE_MS + gossip_ms,
            suspicion_ms=SUSPICION_MS * max(1.0, math.log10(fleet_size + 1)),
        )


def _typical_entries(bytes_per_s: float) -> float:
    """Gossip entries of others in a datagram, as the bytes of a second allow."""
    return min(TYPICAL_ENTRIES, max(MIN_TYPICAL_ENTRIES, bytes_per_s / BYTES_PER_S_AN_ENTRY))
