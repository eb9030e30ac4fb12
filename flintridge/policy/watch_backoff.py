"""Watch backoff: how long after a failed call to discovery the next one is made."""

import random

from flintridge.api import DiscoveryMode

NS_PER_MS = 1_000_000
MIN_PAUSE_MS = 250
MAX_PAUSE_MS = 500
MAX_DOUBLINGS_POLLED = 2  # discovery may be back without a notice; where it pushes the pause stays short


class WatchBackoff:
    """The pauses between calls to discovery that fail."""

    def __init__(self, discovery: DiscoveryMode, rng: random.Random) -> None:
        self._max_doublings = MAX_DOUBLINGS_POLLED if discovery is DiscoveryMode.POLLED else 0
        self._rng = rng
        self._failures = 0  # in a row

    def record_success(self) -> None:
        """Take in that a call gave a list."""
        self._failures = 0

    def record_failure(self) -> int:
        """Take in that a call failed.

        Returns:
            How long to wait before the next one, in nanoseconds.
        """
        pause_ms = self._rng.uniform(MIN_PAUSE_MS, MAX_PAUSE_MS) * 2 ** min(
            self._failures, self._max_doublings
        )
        self._failures += 1
        return int(pause_ms * NS_PER_MS)
