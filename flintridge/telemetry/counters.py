"""What the node took in, sent and answered; printed on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintridge.telemetry.histogram import Histogram


class Counters:
    """A node's metrics: counts, which are all that a request adds to, and histograms of rarer things."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._counts.items()))

    def observe(self, name: str, value: float) -> None:
        """Add a figure of zero or more to the histogram of that name, which has its unit, as `list_ms`.

        Raises ValueError for any other figure.
        """
        if (histogram := self._histograms.get(name)) is None:
            from flintridge.telemetry.histogram import Histogram  # not held by a node that has none

            histogram = self._histograms[name] = Histogram()
        histogram.observe(value)

    def histograms(self) -> dict[str, dict[str, float]]:
        """By name: `count`, `total`, `max`, `p50`, `p90`, `p99` and `p999`."""
        return {name: held.snapshot() for name, held in sorted(self._histograms.items())}
