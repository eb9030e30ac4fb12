"""Changes of values at the origin during the whole run, distributed uniformly over the keys."""

import asyncio

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario.model import Keys as KeysSpec
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.objects import Objects


class ValueChanges:
    """Changes values at exponentially distributed intervals."""

    def __init__(self, spec: KeysSpec, seeds: Seeds, objects: Objects, clock: RunClock) -> None:
        """Create a process that has not started.

        Args:
            spec: The scenario's keys; the rate at which their values change must be above 0.
            seeds: Source of random numbers.
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
        """Schedule the first change."""
        self._schedule(self._clock.now())

    def stop(self) -> None:
        """Cancel the next change."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, after: float) -> None:
        mean_interval_ms = 1000 / self._spec.change_per_s
        at = after + self._rng.expovariate(1 / mean_interval_ms)
        self._timer = self._clock.call_at(at, self._change, at)

    def _change(self, at: float) -> None:
        self._objects.update(self._keys.name(self._rng.randrange(self._spec.count)))
        self._schedule(at)
