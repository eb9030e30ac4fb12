"""Arrival times of first attempts. The load is an open loop: it depends on the seed and not on responses.

Time is divided into steps and the rate into layers. Layer 0 is the baseline rate, and each further layer adds
the same rate again while a burst lasts. Each step of each layer has its own random stream. A reduced rate
thins out the candidates, by a random number of each candidate. So a burst never moves an arrival that also
occurs without it.
"""

import math
import random
from bisect import bisect_right
from collections.abc import Callable
from typing import NamedTuple

from flintridge.lab.scenario.model import Load
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw

STEP_MS = 250.0
SAMPLES_PER_STEP = 8  # the rate factor is sampled this often per step to find the number of layers
SEED_BITS = 64

RateFactor = Callable[[float], float]
"""Returns the multiple of the baseline rate at a time of the run (ms)."""


def baseline(_: float) -> float:
    """Return the rate factor without any burst: 1."""
    return 1.0


class Slot(NamedTuple):
    """An arrival. Its request depends only on `seed`, or on the line of a trace.

    Attributes:
        at_ms: When the request is scheduled.
        layer: The layer of the rate; in a trace, the repetition of the line, from 0.
        number: The index among the candidates of its layer and step; in a trace, the index of the line.
        seed: The seed of the request's random stream.
    """

    at_ms: float
    layer: int
    number: int
    seed: int


def stream(slot: Slot) -> random.Random:
    """Return the random generator for a slot's request and its attempts."""
    return random.Random(slot.seed)


def step_of(at_ms: float) -> int:
    """Return the number of the step that a time lies in."""
    return math.floor(at_ms / STEP_MS)


def layer_count(step: int, factor: RateFactor) -> int:
    """Return how many layers a step needs; in a burst one more than sampled, for peaks between samples."""
    maximum = max(factor((step + i / SAMPLES_PER_STEP) * STEP_MS) for i in range(SAMPLES_PER_STEP + 1))
    return 1 if maximum <= 1 else math.ceil(maximum) + 1


class RateShape:
    """The baseline rate over time, as a multiple of its mean.

    Attributes:
        peak: The largest multiple.
    """

    def __init__(self, load: Load, seeds: Seeds, start_ms: float, end_ms: float) -> None:
        self._kind = load.shape
        self._swing = 0.0 if load.shape == "flat" else load.swing
        self._period_ms = load.period_s * 1000
        self.peak = 1.0 + self._swing
        self._changes_ms: list[float] = []  # bursty: times at which the rate switches between high and low
        if load.shape == "bursty":
            rng = seeds.of("load/shape")
            at_ms = start_ms
            while at_ms < end_ms:
                at_ms += rng.expovariate(2 / self._period_ms)
                self._changes_ms.append(at_ms)

    def __call__(self, at_ms: float) -> float:
        """Return the multiple at a time of the run (ms)."""
        if self._kind == "wave":
            return 1.0 + self._swing * math.sin(math.tau * at_ms / self._period_ms)
        if self._kind == "bursty":
            is_low = bisect_right(self._changes_ms, at_ms) % 2
            return 1.0 - self._swing if is_low else 1.0 + self._swing
        return 1.0


class PoissonArrivals:
    """Poisson arrivals in [start_ms, end_ms), at the rate that load, shape and bursts give."""

    def __init__(self, load: Load, seeds: Seeds, start_ms: float, end_ms: float) -> None:
        self._seeds = seeds
        self._start_ms = start_ms
        self._end_ms = end_ms
        self._shape = RateShape(load, seeds, start_ms, end_ms)
        self._per_ms = draw(seeds.of("load/rate"), load.rate_per_s) / 1000 * self._shape.peak

    def step(self, step: int, factor: RateFactor = baseline) -> list[Slot]:
        """Return the arrivals of a step, in order of time. The same arguments give the same arrivals."""
        slots: list[Slot] = []
        for layer in range(layer_count(step, factor)):
            self._add_layer(layer, step, factor, slots)
        slots.sort()
        return slots

    def _add_layer(self, layer: int, step: int, factor: RateFactor, slots: list[Slot]) -> None:
        rng = self._seeds.of(f"load/arrivals/{layer}/{step}")
        end_ms = (step + 1) * STEP_MS
        at_ms = step * STEP_MS + rng.expovariate(self._per_ms)
        number = 0
        while at_ms < end_ms:
            # Drawn also for candidates that are thinned out, so that they don't change the next candidates.
            threshold = rng.random()
            seed = rng.getrandbits(SEED_BITS)
            if self._start_ms <= at_ms < self._end_ms:
                fraction = min(1.0, max(0.0, factor(at_ms) - layer))
                if threshold * self._shape.peak < self._shape(at_ms) * fraction:
                    slots.append(Slot(at_ms, layer, number, seed))
            at_ms += rng.expovariate(self._per_ms)
            number += 1
