"""Counts of figures in buckets that grow evenly: any size of figure, within 4.5% of it, in little memory."""

import math

STEPS = 8  # buckets to a doubling
LEAST = 2.0**-20  # what is less counts as this


class Histogram:
    """Figures of zero or more, in whatever unit the name of the histogram carries."""

    __slots__ = ("_buckets", "count", "max", "total")

    def __init__(self) -> None:
        self._buckets: dict[int, int] = {}
        self.count = 0
        self.total = 0.0
        self.max = 0.0

    def observe(self, value: float) -> None:
        """Raises ValueError for what is no figure of zero or more; nothing is counted then."""
        if not 0 <= value < math.inf:
            raise ValueError(f"{value!r} is not a figure of zero or more")
        bucket = math.ceil(math.log2(max(value, LEAST)) * STEPS)
        self._buckets[bucket] = self._buckets.get(bucket, 0) + 1
        self.count += 1
        self.total += value
        self.max = max(self.max, value)

    def quantile(self, part: float) -> float:
        """The figure that such a part (0 to 1) of all does not exceed; 0 where there are none."""
        left = max(1, math.ceil(part * self.count))
        for bucket in sorted(self._buckets):
            left -= self._buckets[bucket]
            if left <= 0:
                return min(self.max, 2 ** ((bucket - 0.5) / STEPS))
        return 0.0

    def snapshot(self) -> dict[str, float]:
        figures = {"count": self.count, "total": self.total, "max": self.max}
        parts = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999}
        return figures | {name: self.quantile(part) for name, part in parts.items()}
