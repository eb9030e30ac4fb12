"""A node's metrics: counts, and histograms of less frequent values; logged on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintridge.telemetry.histogram import Histogram


class Counters:
    """Counts and histograms by name; processing a request updates counts only."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add to the count of this name, which starts at 0."""
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        """The count of this name; 0 if nothing was added."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """All counts, sorted by name."""
        return dict(sorted(self._counts.items()))

    def observe(self, name: str, value: float) -> None:
        """Add a value to a histogram.

        Args:
            name: The name of the histogram, which ends with its unit, such as `list_ms`.
            value: A finite number, zero or more.

        Raises:
            ValueError: `value` is negative or not finite.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            # Imported here so that a node without histograms does not load the module.
            from flintridge.telemetry.histogram import Histogram

            histogram = Histogram()
            self._histograms[name] = histogram
        histogram.observe(value)

    def histograms(self) -> dict[str, dict[str, float]]:
        """The `Histogram.snapshot` of each histogram, sorted by name."""
        return {name: histogram.snapshot() for name, histogram in sorted(self._histograms.items())}
