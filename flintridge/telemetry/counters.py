"""A node's metrics: counts, and histograms of rarer figures; logged on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintridge.telemetry.histogram import Histogram


class Counters:
    """Counts, which are all that a request adds to, and histograms, by name."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add to the count of that name, which begins at 0."""
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        """The count of that name; 0 where nothing was added."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """All counts, sorted by name."""
        return dict(sorted(self._counts.items()))

    def observe(self, name: str, value: float) -> None:
        """Add a figure to a histogram.

        Args:
            name: The histogram's, which says its unit, as `list_ms`.
            value: Zero or more.

        Raises:
            ValueError: `value` is no such figure.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            from flintridge.telemetry.histogram import Histogram  # not imported by a node that has none

            histogram = Histogram()
            self._histograms[name] = histogram
        histogram.observe(value)

    def histograms(self) -> dict[str, dict[str, float]]:
        """All histograms by name, each as `Histogram.snapshot` has it."""
        return {name: histogram.snapshot() for name, histogram in sorted(self._histograms.items())}
