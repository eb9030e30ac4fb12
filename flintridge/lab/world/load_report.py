"""The load report of a cache server: refreshed now and then, with noise."""

import random

REFRESH_INTERVAL_MS = (100.0, 400.0)
NOISE_STDDEV = 0.05  # of a figure, as a fraction of it

LoadFigures = dict[str, float]
"""Figures by their names in a load report."""


class LoadReport:
    """Counts what a server does, and turns it into figures at each refresh.

    Attributes:
        refresh_at: When the next refresh is due (ms of the run).
        figures: The load as of the last refresh.
    """

    __slots__ = ("_busy_ms", "_completed", "_hits", "_misses", "_rng", "_since", "figures", "refresh_at")

    def __init__(self, rng: random.Random, now: float) -> None:
        """Begin with figures of 0.

        Args:
            rng: Where the noise and the times of refreshes come from.
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
        """Count time of the cores, as milliseconds of all of them together."""
        self._busy_ms += busy_ms

    def add_completed(self, *, hit: bool, write: bool) -> None:
        """Count a request that was executed."""
        self._completed += 1
        if write:
            return
        if hit:
            self._hits += 1
        else:
            self._misses += 1

    def refresh(self, now: float, in_flight: int, queued: int) -> None:
        """Take the figures anew.

        Args:
            now: Time of the run in milliseconds.
            in_flight: Requests that run or wait at present.
            queued: Those of them that wait.
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
