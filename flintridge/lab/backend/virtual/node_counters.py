"""Counters and histograms of nodes over the lives of their processes."""

from collections import Counter

from flintridge.lab.backend.virtual.process import VirtualProcess
from flintridge.telemetry.counters import Counters


class NodeCounters:
    """Adds up what the processes of each node counted.

    Attributes:
        histograms: By node, of its last process.
    """

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self.histograms: dict[str, dict[str, dict[str, float]]] = {}
        self._totals: dict[str, Counter[str]] = {}

    def collect(self, process: VirtualProcess) -> None:
        """Add what a process counted since it was last collected."""
        total = self._totals.setdefault(process.name, Counter())
        total.update(process.counters.snapshot())
        total.update({f"log_{event}": count for event, count in process.log.counts.items()})
        self.histograms[process.name] = process.counters.histograms()
        process.counters = Counters()
        process.log.counts.clear()

    def totals(self) -> dict[str, dict[str, int]]:
        """The sums by node, in the order of the counters' names."""
        return {node: dict(sorted(total.items())) for node, total in self._totals.items()}
