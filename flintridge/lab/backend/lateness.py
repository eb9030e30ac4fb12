"""Measures how late the timers of the lab's own event loop fire."""

import asyncio

from hdrh.histogram import HdrHistogram

from flintridge.lab.fabric import RunClock

SAMPLE_MS = 5.0  # interval between two samples, however busy the loop is
MAX_LATENESS_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
US_PER_MS = 1000


class TimerLateness:
    """Samples the lateness of timers, to tell a busy machine from a slow node."""

    def __init__(self, clock: RunClock) -> None:
        """Start to sample, until `close` is called.

        Args:
            clock: The run's clock.
        """
        self._clock = clock
        self._histogram = HdrHistogram(1, MAX_LATENESS_US, SIGNIFICANT_DIGITS)
        self._max_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._sample(clock.now())

    def reset(self) -> None:
        """Discard all samples so far, because timers are late while the run is being set up."""
        self._histogram.reset()
        self._max_ms = 0.0

    def close(self) -> None:
        """Stop sampling."""
        if self._timer is not None:
            self._timer.cancel()

    def note(self, late_ms: float) -> None:
        """Record the lateness of another timer; only the maximum is kept, because there are many of them.

        Args:
            late_ms: How late the timer fired, in ms.
        """
        self._max_ms = max(self._max_ms, late_ms)

    def summary(self) -> dict[str, float]:
        """Return the number of samples (`samples`), percentiles and the maximum (`max_ms`)."""
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
        next_ms = max(now, due_ms + SAMPLE_MS)  # samples missed in a stall of the loop are skipped
        self._timer = self._clock.call_at(next_ms, self._sample, next_ms)
