"""Garbage collection at deterministic points of a run.

Finalizers have side effects: for example, that of StreamWriter closes its connection. A run is reproducible
only if finalizers run at the same points each time.
"""

import gc
from collections.abc import Generator
from contextlib import contextmanager

HANDLES_BETWEEN_COLLECTIONS = 200_000
COLLECTIONS_PER_FULL_ONE = 10
YOUNG_GENERATIONS = 1
ALL_GENERATIONS = 2


class HandleCountCollector:
    """Collects garbage after a fixed number of handles, in place of the interpreter's automatic collection.

    Attributes:
        active: Whether this collector is in use.
        handles_until_next: Handles to run before the next collection; the scheduler counts it down.
    """

    def __init__(self) -> None:
        self.active = False
        self.handles_until_next = HANDLES_BETWEEN_COLLECTIONS
        self._collections = 0

    def collect(self) -> None:
        """Collect young objects, or all generations once every COLLECTIONS_PER_FULL_ONE collections."""
        self.handles_until_next = HANDLES_BETWEEN_COLLECTIONS
        self._collections += 1
        full = self._collections % COLLECTIONS_PER_FULL_ONE == 0
        gc.collect(ALL_GENERATIONS if full else YOUNG_GENERATIONS)

    @contextmanager
    def replacing_automatic_collection(self) -> Generator[None, None, None]:
        """Use this collector in place of the interpreter's automatic collection for the `with` block."""
        enabled = gc.isenabled()
        gc.disable()
        self.active = True
        try:
            yield
        finally:
            if enabled:
                gc.enable()
