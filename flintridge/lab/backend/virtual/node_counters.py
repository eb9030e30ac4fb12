"""Counters and histograms of nodes, across restarts of their processes."""

from collections import Counter

from flintridge.lab.backend.virtual.process import VirtualProcess
from flintridge.telemetry.counters import Counters


class NodeCounters:
    """Adds up the counters of all processes of each node.

    Attributes:
        histograms: The histograms of the last collected process, by node.
    """

    def __init__(self) -> None:
        """Start with empty sums."""
        self.histograms: dict[str, dict[str, dict[str, float]]] = {}
        self._totals: dict[str, Counter[str]] = {}

    def collect(self, process: VirtualProcess) -> None:
        """Add the counters of a process since the last collection, and reset them."""
        total = self._totals.setdefault(process.name, Counter())
        total.update(process.counters.snapshot())
        total.update({f"log_{event}": count for event, count in process.log.counts.items()})
        self.histograms[process.name] = process.counters.histograms()
        process.counters = Counters()
        process.log.counts.clear()

    def totals(self) -> dict[str, dict[str, int]]:
        """Return the sums by node, sorted by counter name."""
        return {node: dict(sorted(total.items())) for node, total in self._totals.items()}
