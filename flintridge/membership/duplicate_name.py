"""Notices that another node was given this node's name by mistake.

Of two nodes with one name only one gets the acks of both, and nobody is reachable from the other.
"""

# Acks for another process are over by then where that was one that ran here before.
DUPLICATE_NAME_MS = 5_000.0
MAX_OTHER_INCARNATIONS = 8  # of this node's name, that are remembered


class DuplicateNameDetector:
    """Remembers the other incarnations of this node's name that receive acks here. Times are milliseconds."""

    def __init__(self) -> None:
        """Start with none."""
        self._first_ack_at: dict[int, float] = {}

    def clear(self) -> None:
        """Forget them: a newer process of this node gets its acks through this one."""
        self._first_ack_at.clear()

    def receive_ack(self, incarnation: int, now: float) -> bool:
        """An ack for that incarnation was received here.

        Returns:
            Whether that goes on for too long for it to have run here before.
        """
        if len(self._first_ack_at) >= MAX_OTHER_INCARNATIONS:
            return False
        first_ack_at = self._first_ack_at.setdefault(incarnation, now)
        return now - first_ack_at > DUPLICATE_NAME_MS
