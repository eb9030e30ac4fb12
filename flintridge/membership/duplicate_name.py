"""Detects that another node was given this node's name by mistake.

If two nodes have one name, only one of them gets the acks for both, and nobody is reachable from the other.
"""

# Acks for a process that ran here before stop arriving within this time.
DUPLICATE_NAME_MS = 5_000.0
MAX_OTHER_INCARNATIONS = 8  # other incarnations of this node's name that are remembered


class DuplicateNameDetector:
    """Remembers other incarnations of this node's name whose acks arrive here. Times are milliseconds."""

    def __init__(self) -> None:
        """Start with no incarnation remembered."""
        self._first_ack_at: dict[int, float] = {}

    def clear(self) -> None:
        """Forget all incarnations, as a newer process of this node gets its acks through this one."""
        self._first_ack_at.clear()

    def receive_ack(self, incarnation: int, now: float) -> bool:
        """Record that an ack for another incarnation of this node's name was received.

        Returns:
            Whether acks for it have arrived for more than DUPLICATE_NAME_MS, so that it is not a process that
            ran here before.
        """
        if len(self._first_ack_at) >= MAX_OTHER_INCARNATIONS:
            return False
        first_ack_at = self._first_ack_at.setdefault(incarnation, now)
        return now - first_ack_at > DUPLICATE_NAME_MS
