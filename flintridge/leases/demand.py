"""How many come a second, and how many are there at once: quick to rise, slow to fall."""

import math

QUICK = 1_000.0  # ms in which half of what is newer counts
SLOW = 4_000.0


class RequestRate:
    """Times are float milliseconds, passed in.

    The greater of two means with memory: a node asks for more as soon as more comes, and gives back only what
    it has not needed for a while. Guards against parts that are passed to and fro by chance alone.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._count = 0
        self._quick = self._slow = 0.0  # a second

    def add(self, count: int = 1) -> None:
        self._count += count

    def look(self, now: float) -> None:
        """To be called every 50 ms or more seldom."""
        if (passed := now - self._at) < 50:
            return
        rate, self._count, self._at = self._count * 1000 / passed, 0, now
        self._quick += (rate - self._quick) * (1 - math.pow(0.5, passed / QUICK))
        self._slow += (rate - self._slow) * (1 - math.pow(0.5, passed / SLOW))

    @property
    def per_s(self) -> float:
        return max(self._quick, self._slow)


class RecentPeak:
    """The most that was there at once of late: rises at once, half of it is forgotten in SLOW."""

    def __init__(self, now: float) -> None:
        self._at, self.most = now, 0.0

    def look(self, now: float, there: float) -> None:
        self.most = max(there, self.most * math.pow(0.5, (now - self._at) / SLOW))
        self._at = now
