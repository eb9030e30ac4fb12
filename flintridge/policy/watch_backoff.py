"""Watch backoff: how long to wait after a failed call to discovery before the next one."""

import random

from flintridge.api import DiscoveryMode

NS_PER_MS = 1_000_000
MIN_PAUSE_MS = 250
MAX_PAUSE_MS = 500
# Pauses stay short, because the node is not notified when discovery is back. If the list is pushed, they are
# not doubled at all: a change then counts as announced as soon as discovery is back.
MAX_DOUBLINGS_POLLED = 2


class WatchBackoff:
    """Computes the pauses after failed calls to discovery."""

    def __init__(self, discovery: DiscoveryMode, rng: random.Random) -> None:
        self._max_doublings = MAX_DOUBLINGS_POLLED if discovery is DiscoveryMode.POLLED else 0
        self._rng = rng
        self._failures = 0  # consecutive

    def record_success(self) -> None:
        """Record that a call returned a list."""
        self._failures = 0

    def record_failure(self) -> int:
        """Record that a call failed.

        Returns:
            The time to wait before the next call, in nanoseconds.
        """
        pause_ms = self._rng.uniform(MIN_PAUSE_MS, MAX_PAUSE_MS) * 2 ** min(
            self._failures, self._max_doublings
        )
        self._failures += 1
        return int(pause_ms * NS_PER_MS)
