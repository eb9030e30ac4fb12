"""Watch backoff: how long to wait after a failed call to discovery before the next one."""

import random

from flintridge.api import DiscoveryMode

NS_PER_MS = 1_000_000
MIN_PAUSE_FRACTION = 0.5  # of the longest pause
MAX_FIRST_PAUSE_MS = 500
# Pauses stay short, because the node is not notified when discovery is back.
MAX_DOUBLINGS_POLLED = 2
# A pushed list counts as notified as soon as discovery has it: after two failed calls, the third one has to
# be answered within the grace of a drain. Once discovery is back after an outage, the first one has to be.
FIRST_PAUSE_PER_GRACE_PUSHED = 0.25
MAX_PAUSE_PER_GRACE_PUSHED = 0.6
MIN_GRACE_MS = 200  # shorter ones do not shorten the pauses: discovery would be called without end


class WatchBackoff:
    """Computes the pauses after failed calls to discovery."""

    def __init__(self, discovery: DiscoveryMode, rng: random.Random, drain_grace_ns: int) -> None:
        """Start without a failure.

        Args:
            discovery: How endpoint lists are obtained.
            rng: Draws the pauses.
            drain_grace_ns: How long attempts may still begin at a draining server, in nanoseconds.
        """
        grace_ms = max(MIN_GRACE_MS, drain_grace_ns / NS_PER_MS)
        if discovery is DiscoveryMode.POLLED:
            self._first_pause_ms: float = MAX_FIRST_PAUSE_MS
            self._max_pause_ms: float = MAX_FIRST_PAUSE_MS * 2**MAX_DOUBLINGS_POLLED
        else:
            self._first_pause_ms = min(MAX_FIRST_PAUSE_MS, grace_ms * FIRST_PAUSE_PER_GRACE_PUSHED)
            self._max_pause_ms = min(MAX_FIRST_PAUSE_MS, grace_ms * MAX_PAUSE_PER_GRACE_PUSHED)
        self._next_pause_ms = self._first_pause_ms
        self._rng = rng

    def record_success(self) -> None:
        """Record that a call returned a list."""
        self._next_pause_ms = self._first_pause_ms

    def record_failure(self) -> int:
        """Record that a call failed.

        Returns:
            The time to wait before the next call, in nanoseconds.
        """
        longest_ms = self._next_pause_ms
        self._next_pause_ms = min(2 * longest_ms, self._max_pause_ms)
        return int(self._rng.uniform(MIN_PAUSE_FRACTION * longest_ms, longest_ms) * NS_PER_MS)
