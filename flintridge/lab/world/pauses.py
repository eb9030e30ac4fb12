"""Pauses of a server, like those of a process during a garbage collection."""

import random
from math import inf

from flintridge.lab.scenario.model import Span
from flintridge.lab.world.draws import draw


class PauseSchedule:
    """Pauses at exponentially distributed intervals; its owner calls `start` and `end` at their times.

    Attributes:
        active: Whether the server is paused.
        starts_at: When the next pause starts (ms of the run); valid only while the server is not paused.
        ends_at: When the current pause ends (ms of the run).
    """

    __slots__ = ("_duration_ms", "_interval_ms", "_rng", "active", "ends_at", "starts_at")

    def __init__(self, interval_ms: float, duration_ms: Span, rng: random.Random, now: float) -> None:
        """Draw the first pause.

        Args:
            interval_ms: Mean time from the end of a pause to the start of the next one (ms); 0 for no pauses.
            duration_ms: Duration of a pause (ms).
            rng: Source of random numbers.
            now: Time of the run in milliseconds.
        """
        self._interval_ms = interval_ms
        self._duration_ms = duration_ms
        self._rng = rng
        self.active = False
        self.starts_at = now + rng.expovariate(1.0 / interval_ms) if interval_ms else inf
        self.ends_at = inf

    def start(self, now: float) -> None:
        """Start a pause and draw its length."""
        self.active = True
        self.ends_at = now + draw(self._rng, self._duration_ms)

    def end(self, now: float) -> None:
        """End the pause and draw when the next one starts."""
        self.active = False
        self.starts_at = now + self._rng.expovariate(1.0 / self._interval_ms)
