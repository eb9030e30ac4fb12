"""Estimators of demand that rise quickly and fall slowly: a request rate and a recent peak."""

import math

MIN_SAMPLE_MS = 50.0
FAST_HALF_LIFE_MS = 1_000.0
SLOW_HALF_LIFE_MS = 4_000.0


class RequestRate:
    """Request rate: the greater of two exponentially weighted moving averages.

    A node requests more units as soon as its rate rises, and releases units only after it has not needed them
    for a while. This keeps random variations from moving leases back and forth. The caller passes all times,
    in float milliseconds.
    """

    def __init__(self, now: float) -> None:
        """Start counting at `now`."""
        self._sampled_at = now
        self._count = 0
        self._fast_per_s = 0.0
        self._slow_per_s = 0.0

    def add(self, count: int = 1) -> None:
        """Count `count` more requests."""
        self._count += count

    def update(self, now: float) -> None:
        """Take a sample, unless the previous one is younger than MIN_SAMPLE_MS."""
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
        """The estimated rate in requests a second."""
        return max(self._fast_per_s, self._slow_per_s)


class RecentPeak:
    """Recent maximum of a value: rises with it immediately, and otherwise halves every SLOW_HALF_LIFE_MS.

    Attributes:
        value: The estimated peak.
    """

    def __init__(self, now: float) -> None:
        """Start at `now` with a peak of 0."""
        self._updated_at = now
        self.value = 0.0

    def update(self, now: float, current: float) -> None:
        """Update the peak with the current value."""
        decayed = self.value * math.pow(0.5, (now - self._updated_at) / SLOW_HALF_LIFE_MS)
        self.value = max(current, decayed)
        self._updated_at = now
