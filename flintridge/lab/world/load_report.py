"""The load report of a cache server: refreshed at random intervals, with noise."""

import random

REFRESH_INTERVAL_MS = (100.0, 400.0)
NOISE_STDDEV = 0.05  # as a fraction of the figure

LoadFigures = dict[str, float]
"""The figures of a load report, by name."""


class LoadReport:
    """Counts the work of a server and computes the figures of the report at each refresh.

    Attributes:
        refresh_at: When the next refresh is due (ms of the run).
        figures: The load as of the last refresh.
    """

    __slots__ = ("_busy_ms", "_completed", "_hits", "_misses", "_rng", "_since", "figures", "refresh_at")

    def __init__(self, rng: random.Random, now: float) -> None:
        """Start with all figures at 0.

        Args:
            rng: Source of the noise and of the refresh intervals.
            now: Time of the run in milliseconds.
        """
        self._rng = rng
        self._busy_ms = 0.0
        self._completed = 0
        self._hits = 0
        self._misses = 0
        self._since = now
        self.figures: LoadFigures = dict.fromkeys(("qps", "util", "x0", "inflight", "queue"), 0.0)
        self.refresh_at = now + rng.uniform(*REFRESH_INTERVAL_MS)

    def add_busy(self, busy_ms: float) -> None:
        """Add busy time, averaged over all cores (ms)."""
        self._busy_ms += busy_ms

    def add_completed(self, *, hit: bool, write: bool) -> None:
        """Count a completed request."""
        self._completed += 1
        if write:
            return
        if hit:
            self._hits += 1
        else:
            self._misses += 1

    def refresh(self, now: float, in_flight: int, queued: int) -> None:
        """Compute the figures from the counts since the last refresh.

        Args:
            now: Time of the run in milliseconds.
            in_flight: Number of requests that currently run or wait.
            queued: Number of requests that currently wait.
        """
        elapsed_ms = max(1.0, now - self._since)
        lookups = self._hits + self._misses
        figures = {
            "qps": self._completed / elapsed_ms * 1000,
            "util": min(1.0, self._busy_ms / elapsed_ms),
            "x0": self._hits / lookups if lookups else self.figures["x0"],
            "inflight": float(in_flight),
            "queue": float(queued),
        }
        gauss = self._rng.gauss
        self.figures = {
            name: max(0.0, value * (1 + gauss(0, NOISE_STDDEV))) for name, value in figures.items()
        }
        self._busy_ms = 0.0
        self._completed = 0
        self._hits = 0
        self._misses = 0
        self._since = now
        self.refresh_at = now + self._rng.uniform(*REFRESH_INTERVAL_MS)
