"""Values change at the origin all along, evenly over the keys."""

import asyncio

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario.model import Keys as KeysSpec
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.objects import Objects


class ValueChanges:
    """Changes values at exponentially distributed intervals."""

    def __init__(self, spec: KeysSpec, seeds: Seeds, objects: Objects, clock: RunClock) -> None:
        """Make a process that has not started.

        Args:
            spec: The keys, and how often their values change, which is not never.
            seeds: Where the draws come from.
            objects: The values.
            clock: The clock of the run.
        """
        self._spec = spec
        self._keys = Keys(spec, seeds)
        self._rng = seeds.of("changes")
        self._objects = objects
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin."""
        self._schedule(self._clock.now())

    def stop(self) -> None:
        """Change nothing any more."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, after: float) -> None:
        mean_interval_ms = 1000 / self._spec.change_per_s
        at = after + self._rng.expovariate(1 / mean_interval_ms)
        self._timer = self._clock.call_at(at, self._change, at)

    def _change(self, at: float) -> None:
        self._objects.update(self._keys.name(self._rng.randrange(self._spec.count)))
        self._schedule(at)
