"""How late the timers of the lab's own event loop are."""

import asyncio

from hdrh.histogram import HdrHistogram

from flintridge.lab.fabric import RunClock

SAMPLE_MS = 5.0  # between two samples, whatever else the loop does
MAX_LATENESS_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
US_PER_MS = 1000


class TimerLateness:
    """Samples how late timers are: a busy machine shows here, not as a slow node."""

    def __init__(self, clock: RunClock) -> None:
        """Sample from now on, until `close`.

        Args:
            clock: The run's clock.
        """
        self._clock = clock
        self._histogram = HdrHistogram(1, MAX_LATENESS_US, SIGNIFICANT_DIGITS)
        self._max_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._sample(clock.now())

    def reset(self) -> None:
        """Forget all samples so far: while all is set up, timers are late."""
        self._histogram.reset()
        self._max_ms = 0.0

    def close(self) -> None:
        """End the sampling."""
        if self._timer is not None:
            self._timer.cancel()

    def note(self, late_ms: float) -> None:
        """Note the lateness of another timer: only the largest is kept, as these are many.

        Args:
            late_ms: How late it was.
        """
        self._max_ms = max(self._max_ms, late_ms)

    def summary(self) -> dict[str, float]:
        """Return the number of samples (`samples`), percentiles and the largest (`max_ms`)."""
        histogram = self._histogram
        percentiles = {
            name: histogram.get_value_at_percentile(percentile) / US_PER_MS
            for name, percentile in PERCENTILES.items()
        }
        return {"samples": float(histogram.total_count), **percentiles, "max_ms": self._max_ms}

    def _sample(self, due_ms: float) -> None:
        now = self._clock.now()
        late_ms = now - due_ms
        self.note(late_ms)
        self._histogram.record_value(min(max(1, int(late_ms * US_PER_MS)), MAX_LATENESS_US))
        next_ms = max(now, due_ms + SAMPLE_MS)  # a loop that stood still is not made to catch up
        self._timer = self._clock.call_at(next_ms, self._sample, next_ms)
