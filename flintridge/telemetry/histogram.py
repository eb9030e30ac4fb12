"""A histogram with exponential buckets: covers values of any size in little memory, within 4.5%."""

import math

BUCKETS_PER_DOUBLING = 8
SMALLEST_VALUE = 2.0**-20  # smaller values are counted in this one's bucket

QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999}


class Histogram:
    """A distribution of values of zero or more, in the unit that the histogram's name ends with.

    Attributes:
        count: The number of values.
        total: The sum of the values.
        max: The largest value; 0 if there are none.
    """

    __slots__ = ("_buckets", "count", "max", "total")

    def __init__(self) -> None:
        self._buckets: dict[int, int] = {}
        self.count = 0
        self.total = 0.0
        self.max = 0.0

    def observe(self, value: float) -> None:
        """Add a value.

        Raises:
            ValueError: The value is negative or not finite; it is not counted.
        """
        if not 0 <= value < math.inf:
            raise ValueError(f"{value!r} is not a finite number of zero or more")
        bucket = math.ceil(math.log2(max(value, SMALLEST_VALUE)) * BUCKETS_PER_DOUBLING)
        self._buckets[bucket] = self._buckets.get(bucket, 0) + 1
        self.count += 1
        self.total += value
        self.max = max(self.max, value)

    def quantile(self, fraction: float) -> float:
        """The value that the given fraction (0 to 1) of all values does not exceed; 0 if there are none."""
        remaining = max(1, math.ceil(fraction * self.count))
        for bucket in sorted(self._buckets):
            remaining -= self._buckets[bucket]
            if remaining <= 0:
                middle_of_bucket = 2 ** ((bucket - 0.5) / BUCKETS_PER_DOUBLING)
                return min(self.max, middle_of_bucket)
        return 0.0

    def snapshot(self) -> dict[str, float]:
        """The statistics `count`, `total`, `max`, `p50`, `p90`, `p99` and `p999`."""
        statistics = {"count": self.count, "total": self.total, "max": self.max}
        return statistics | {name: self.quantile(fraction) for name, fraction in QUANTILES.items()}
