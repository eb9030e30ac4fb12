"""When first tries come: an open loop, drawn ahead by the seed, whatever becomes of the answers.

Time is walked in steps, and the rate in layers: layer 0 is the usual rate, and each further one adds as much
again while a burst lasts. Each step of each layer has a stream of its own, and what a trough leaves out is
left out by a mark of each candidate's own. So a burst never moves an arrival that comes without it.
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
PROBES = 8  # places in a step at which a burst's factor is looked at, to know how many layers it needs

Factor = Callable[[float], float]
"""The multiple of the usual rate at an instant of the day (ms)."""


def usual(_: float) -> float:
    """No burst."""
    return 1.0


class Slot(NamedTuple):
    """A place for a first try, at `t` (ms): what is drawn for it depends on `seed` alone."""

    t: float
    layer: int
    place: int  # among those of its layer and step, or in a trace
    seed: int


def stream(slot: Slot) -> random.Random:
    """All randomness of a slot's request and of its tries."""
    return random.Random(slot.seed)


def step_of(t: float) -> int:
    """The step that an instant (ms) lies in."""
    return math.floor(t / STEP_MS)


def layers(number: int, factor: Factor) -> int:
    """How many layers a step needs; one more than seen at the probes, for what lies between them."""
    most = max(factor((number + i / PROBES) * STEP_MS) for i in range(PROBES + 1))
    return 1 if most <= 1 else math.ceil(most) + 1


class Shape:
    """The usual rate over time, as a multiple of its mean; `peak` is the most that it gets to."""

    def __init__(self, load: Load, seeds: Seeds, begin: float, end: float) -> None:
        """`begin` and `end` in ms."""
        self._kind = load.shape
        self._swing = 0.0 if load.shape == "flat" else load.swing
        self._period = load.period_s * 1000
        self.peak = 1.0 + self._swing
        self._turns: list[float] = []  # bursty: the instants at which high turns low, and low high
        if load.shape == "bursty":
            rng = seeds.of("load/shape")
            t = begin
            while t < end:
                t += rng.expovariate(2 / self._period)
                self._turns.append(t)

    def __call__(self, t: float) -> float:
        if self._kind == "wave":
            return 1.0 + self._swing * math.sin(math.tau * t / self._period)
        if self._kind == "bursty":
            low = bisect_right(self._turns, t) % 2
            return 1.0 - self._swing if low else 1.0 + self._swing
        return 1.0


class Arrivals:
    """Poisson arrivals over [begin, end) in ms, at the load's rate, shape and bursts."""

    def __init__(self, load: Load, seeds: Seeds, begin: float, end: float) -> None:
        self._seeds = seeds
        self._begin, self._end = begin, end
        self._shape = Shape(load, seeds, begin, end)
        self._per_ms = draw(seeds.of("load/rate"), load.rate_per_s) / 1000 * self._shape.peak

    def step(self, number: int, factor: Factor = usual) -> list[Slot]:
        """The slots of a step, in order of time. The same arguments give the same slots."""
        slots: list[Slot] = []
        for layer in range(layers(number, factor)):
            self._layer(layer, number, factor, slots)
        slots.sort()
        return slots

    def _layer(self, layer: int, number: int, factor: Factor, slots: list[Slot]) -> None:
        rng = self._seeds.of(f"load/arrivals/{layer}/{number}")
        begin, end = number * STEP_MS, (number + 1) * STEP_MS
        t, place = begin + rng.expovariate(self._per_ms), 0
        while t < end:
            # Drawn for each candidate, taken or not: what is left out must not move the next one.
            mark, seed = rng.random(), rng.getrandbits(64)
            if self._begin <= t < self._end:
                part = min(1.0, max(0.0, factor(t) - layer))
                if mark * self._shape.peak < self._shape(t) * part:
                    slots.append(Slot(t, layer, place, seed))
            t, place = t + rng.expovariate(self._per_ms), place + 1
