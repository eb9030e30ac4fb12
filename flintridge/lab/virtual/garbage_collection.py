"""Garbage collection at times that the program alone decides.

Finalizers have effects, as StreamWriter's closes its connection: a run is the same each time only if they run
at the same points of it.
"""

import gc
from collections.abc import Generator
from contextlib import contextmanager

HANDLES_BETWEEN_COLLECTIONS = 200_000
COLLECTIONS_PER_FULL_ONE = 10
YOUNG_GENERATIONS = 1
ALL_GENERATIONS = 2


class HandleCountCollector:
    """Collects garbage after a number of handles, instead of the interpreter.

    Attributes:
        active: Whether it collects.
        handles_until_next: Handles that run before the next collection; whoever runs them counts it down.
    """

    def __init__(self) -> None:
        self.active = False
        self.handles_until_next = HANDLES_BETWEEN_COLLECTIONS
        self._collections = 0

    def collect(self) -> None:
        """Collect garbage, all of it in one of several times."""
        self.handles_until_next = HANDLES_BETWEEN_COLLECTIONS
        self._collections += 1
        full = self._collections % COLLECTIONS_PER_FULL_ONE == 0
        gc.collect(ALL_GENERATIONS if full else YOUNG_GENERATIONS)

    @contextmanager
    def replacing_automatic_collection(self) -> Generator[None, None, None]:
        """Turns the interpreter's own collections off for a while."""
        enabled = gc.isenabled()
        gc.disable()
        self.active = True
        try:
            yield
        finally:
            if enabled:
                gc.enable()
