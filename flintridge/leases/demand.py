"""Estimators of demand that rise quickly and fall slowly: a rate of requests, and a recent peak."""

import math

MIN_SAMPLE_MS = 50.0
FAST_HALF_LIFE_MS = 1_000.0
SLOW_HALF_LIFE_MS = 4_000.0


class RequestRate:
    """Requests a second: the greater of two exponentially weighted moving averages.

    A node asks for more as soon as more comes, and releases only what it has not needed for a while. Guards
    against leases that are passed to and fro by chance alone. Times are float milliseconds, passed in.
    """

    def __init__(self, now: float) -> None:
        """Counting begins at `now`."""
        self._sampled_at = now
        self._count = 0
        self._fast_per_s = 0.0
        self._slow_per_s = 0.0

    def add(self, count: int = 1) -> None:
        """Count requests."""
        self._count += count

    def update(self, now: float) -> None:
        """Take a sample; does nothing if the last one is younger than MIN_SAMPLE_MS."""
        elapsed_ms = now - self._sampled_at
        if elapsed_ms < MIN_SAMPLE_MS:
            return
        per_s = self._count * 1000 / elapsed_ms
        self._count = 0
        self._sampled_at = now
        self._fast_per_s += (per_s - self._fast_per_s) * (1 - math.pow(0.5, elapsed_ms / FAST_HALF_LIFE_MS))
        self._slow_per_s += (per_s - self._slow_per_s) * (1 - math.pow(0.5, elapsed_ms / SLOW_HALF_LIFE_MS))

    @property
    def per_s(self) -> float:
        """The estimate."""
        return max(self._fast_per_s, self._slow_per_s)


class RecentPeak:
    """The greatest value of late: rises at once, and halves every SLOW_HALF_LIFE_MS.

    Attributes:
        value: The estimate.
    """

    def __init__(self, now: float) -> None:
        """Nothing was seen before `now`."""
        self._updated_at = now
        self.value = 0.0

    def update(self, now: float, current: float) -> None:
        """Take in the current value."""
        decayed = self.value * math.pow(0.5, (now - self._updated_at) / SLOW_HALF_LIFE_MS)
        self.value = max(current, decayed)
        self._updated_at = now
