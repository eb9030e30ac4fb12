"""The requests of a run and their arrival times, which do not depend on what the nodes do."""

import math
import random
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from flintridge.lab.load import trace
from flintridge.lab.load.arrivals import (
    STEP_MS,
    PoissonArrivals,
    RateFactor,
    Slot,
    baseline,
    step_of,
    stream,
)
from flintridge.lab.load.generated_requests import GeneratedRequest, RequestGenerator
from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.objects import Objects


class ScheduledRequest(NamedTuple):
    """A request, and the random generator for everything that its attempts draw."""

    request: GeneratedRequest
    rng: random.Random


class ArrivalSchedule:
    """The arrivals of a run, step by step, and the request of each.

    Attributes:
        start_ms: The start of the warm-up, at or before 0.
        end_ms: The end of the run.
        keys: The keys and their popularity.
        generator: Generates requests; also available when a trace is replayed.
    """

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        node_zones: Sequence[str],
        size_of: Callable[[str], int] | None = None,
        base: Path | None = None,
    ) -> None:
        """Create a schedule.

        Args:
            scenario: The scenario.
            seeds: Random generators by name.
            node_zones: The zone of each node.
            size_of: Returns the size in bytes of a key's value; None: as in the simulated servers.
            base: The directory that the trace's path is relative to; None: the working directory.

        Raises:
            OSError: The trace can't be read.
            ValueError: The trace does not match the scenario.
        """
        size_of = size_of or Objects(scenario, seeds).size
        self.start_ms = -scenario.warmup_s * 1000
        self.end_ms = scenario.length_s * 1000
        self.keys = Keys(scenario.keys, seeds, self.start_ms)
        self.generator = RequestGenerator(scenario, seeds, self.keys, size_of, node_zones)
        self._arrivals: PoissonArrivals | trace.Replay
        self._requests: RequestGenerator | trace.Replay
        if scenario.load.trace:
            requests = trace.read((base or Path()) / scenario.load.trace, scenario)
            replay = trace.Replay(requests, seeds, self.keys, size_of, self.start_ms, self.end_ms)
            self._arrivals = replay
            self._requests = replay
        else:
            self._arrivals = PoissonArrivals(scenario.load, seeds, self.start_ms, self.end_ms)
            self._requests = self.generator

    def step(self, step: int, factor: RateFactor = baseline) -> list[Slot]:
        """Return the arrivals of a step, in order of time."""
        return self._arrivals.step(step, factor)

    def request(self, slot: Slot) -> ScheduledRequest:
        """Return the request of an arrival. Call this in the order of the arrivals' times."""
        rng = stream(slot)
        return ScheduledRequest(self._requests.generate(slot, rng), rng)

    def all(self) -> Iterator[GeneratedRequest]:
        """Yield the requests of the whole run, at the baseline rate."""
        for step in range(step_of(self.start_ms), math.ceil(self.end_ms / STEP_MS)):
            for slot in self.step(step):
                yield self.request(slot).request
